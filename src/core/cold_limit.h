#ifndef DS_CORE_COLD_LIMIT_H
#define DS_CORE_COLD_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* The cold phase of a service: how long a replica stays cold after its start,
   and how many requests per second it takes until then.  PER_S is 0 for a
   service without one.  */
struct ds_cold_rule
{
  uint64_t start_ms;
  double per_s;
};

/* A cold replica may receive PER_S x OVERAGE + SLACK requests in any second,
   from all hosts together.  */
struct ds_cold_bounds
{
  double overage;
  double slack;
};

/* Urgencies of requests, 0 the most urgent.  */
#define DS_COLD_URGENCIES 10
/* Longest time between the decision to send to a cold replica and the arrival
   there: that of a slow connection.  */
#define DS_COLD_ARRIVAL_MS 250
/* Remaining cold time that is not known: that of a whole start.  */
#define DS_COLD_UNKNOWN UINT64_MAX

/* What this host knows of the cold phase of one incarnation of a replica.  */
struct ds_cold_state
{
  uint64_t observed_ms;  /* when REMAINING_MS was received; 0 for never */
  uint64_t remaining_ms; /* or DS_COLD_UNKNOWN */
  uint64_t revision;     /* of the registration last read */
  uint64_t sent_ms;      /* of this host's last request */
  uint64_t doubted_ms;   /* since when it may have restarted; or 0 */
  uint64_t set_version;  /* of the set of hosts that RANK is for */
  unsigned rank;         /* of this host among the senders */
};

/* What this host knows of the hosts that share the limit.  */
struct ds_cold_limit
{
  struct ds_cold_bounds bounds;
  uint64_t self;     /* hash of its name */
  uint64_t *hosts;   /* hashes of the names of all registered hosts */
  size_t host_count; /* 0 before the first list */
  uint64_t set_version;
  uint64_t asked_ms;      /* when the list was requested */
  uint64_t registered_ms; /* when the registration was acknowledged; or 0 */
  bool settled;           /* all lists in use have it, as the store says */
  /* Until when requests that were refused for a cold replica are expected
     back.  */
  uint64_t expected_ms[DS_COLD_URGENCIES];
};

/* The share of one host in the limit of a replica.  */
struct ds_cold_share
{
  size_t hosts;        /* that may send; 0: none may */
  uint64_t spacing_ms; /* of the requests of each */
};

struct ds_cold_share ds_cold_limit_share (const struct ds_cold_bounds *bounds,
                                          const struct ds_cold_rule *rule,
                                          size_t host_count);
int ds_cold_limit_set_hosts (struct ds_cold_limit *limit, TALLOC_CTX *owner,
                             const uint64_t *hosts, size_t count,
                             uint64_t asked_ms);
void ds_cold_limit_begin_era (struct ds_cold_limit *limit);
bool ds_cold_limit_is_settled (const struct ds_cold_limit *limit,
                               uint64_t now_ms);
bool ds_cold_limit_needs_list (const struct ds_cold_limit *limit,
                               uint64_t now_ms);
bool ds_cold_limit_is_sender (const struct ds_cold_limit *limit,
                              const struct ds_cold_rule *rule,
                              struct ds_cold_state *state, uint64_t replica);
uint64_t ds_cold_limit_wait_ms (const struct ds_cold_limit *limit,
                                const struct ds_cold_rule *rule,
                                struct ds_cold_state *state, uint64_t replica,
                                unsigned urgency, uint64_t now_ms);
void ds_cold_limit_record_refusal (struct ds_cold_limit *limit,
                                   unsigned urgency, uint64_t wait_ms,
                                   uint64_t now_ms);
bool ds_cold_state_observe (struct ds_cold_state *state, uint64_t remaining_ms,
                            uint64_t revision, uint64_t now_ms);
void ds_cold_state_hear (struct ds_cold_state *state, uint64_t remaining_ms,
                         bool may_shorten, uint64_t now_ms);
void ds_cold_state_forget (struct ds_cold_state *state, uint64_t now_ms);
void ds_cold_state_doubt (struct ds_cold_state *state, uint64_t now_ms);
void ds_cold_state_end_doubt (struct ds_cold_state *state, uint64_t asked_ms);
uint64_t ds_cold_state_remaining_ms (const struct ds_cold_state *state,
                                     const struct ds_cold_rule *rule,
                                     uint64_t now_ms);

#endif
