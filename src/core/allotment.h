#ifndef DS_CORE_ALLOTMENT_H
#define DS_CORE_ALLOTMENT_H

#include "daisystep/error.h"
#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

struct json_t;

/* What a host can say to a request for tokens.  */
enum ds_budget_outcome
{
  DS_BUDGET_GRANTED,
  DS_BUDGET_EXHAUSTED,   /* the workspace's rest does not cover it */
  DS_BUDGET_UNAVAILABLE, /* nobody can tell now: the ledger cannot be reached
                          */
  DS_BUDGET_WAITING      /* being asked for */
};

/* One update of this host that the ledger has not confirmed.  */
struct ds_allotment_update
{
  bool in_flight;   /* an update covers the account */
  uint64_t version; /* of the limit that the update knew */
  uint64_t settled;
  uint64_t drawn;
  uint64_t returned;
};

/* Who keeps the fleet's share of a budget.  */
enum ds_allotment_home
{
  DS_HOME_UNKNOWN, /* too soon after the start to tell */
  DS_HOME_SELF,
  DS_HOME_OTHER
};

/* Tokens that pass from one host's share to another's, with the tokens that
   the sender's requests have used.  */
struct ds_token_transfer
{
  uint64_t tokens;
  uint64_t spent;
  uint64_t limit; /* the sender's, of configuration VERSION */
  uint64_t version;
};

/* What the other hosts have told of one workspace.  The home's figures are
   those of the host that keeps the fleet's share, if it is another one and
   alive.  */
struct ds_budget_peer_state
{
  uint64_t free; /* of all */
  uint64_t demand;
  uint64_t home_free;
  uint64_t home_ungranted; /* of the ledger */
  uint64_t home_settled;
  uint64_t home_reported_ms;  /* 0: it has told nothing */
  bool home_ledger_known;     /* the home has read the ledger */
  bool home_ledger_reachable; /* the home reaches the ledger */
};

/* This host's share of one workspace's prepaid budget.  All figures are
   tokens. FREE may be reserved, RESERVED belongs to running requests, SPENT
   was used and is not yet in the ledger.  */
struct ds_allotment
{
  struct ds_str workspace;
  enum ds_allotment_home home;
  uint64_t limit;   /* prepaid, of the newest configuration seen */
  uint64_t version; /* of that configuration */
  uint64_t free;
  uint64_t reserved;
  uint64_t spent;
  struct ds_allotment_update update;
  double demand;        /* tokens a second, of recent requests at their most */
  double demand_sum;    /* of weighted rates; DEMAND before its correction */
  double demand_weight; /* of the rates in DEMAND_SUM, up to 1 */
  uint64_t peer_free;   /* at other hosts, as they have told */
  double peer_demand;
  uint64_t demand_since_tick; /* since DEMAND was worked out last */
  uint64_t waiting_tokens;    /* by requests that wait */
  uint64_t peer_requested;    /* by other hosts, more than was free */
  uint64_t ledger_ungranted;  /* limit less what is granted and settled */
  uint64_t ledger_settled;
  uint64_t ledger_observed_ms; /* age of the two figures above */
  uint64_t last_request_ms;  /* when other hosts were last asked for tokens */
  uint64_t last_transfer_ms; /* when the home was last told */
  uint64_t peer_request_ms;  /* when ASKED last grew */
  bool known;                /* the ledger has been read */
  bool
      home_timed_out; /* a request waits and the home has not helped in time */
  bool suspended; /* the limit was lowered: nothing is free until the ledger
                   says so */
};

/* How much is held.  The home of a budget holds HOLD_S seconds of the fleet's
   demand, which outlast a cut from the store, while that is no more than PART
   of what the workspace has left; other hosts hold CUSHION_S seconds of their
   own demand.  */
struct ds_allotment_policy
{
  double hold_s;
  double max_fraction;
  double initial_fraction; /* part of the limit, before any request */
  uint64_t minimum;        /* tokens that are kept of an active workspace */
  double cushion_s;
};

/* One page of the ledger in the form that the store keeps.  */
struct ds_ledger_page;

void ds_allotment_set_limit (struct ds_allotment *allotment, uint64_t limit,
                             uint64_t version);
bool ds_allotment_reserve (struct ds_allotment *allotment, uint64_t tokens);
void ds_allotment_settle (struct ds_allotment *allotment, uint64_t reserved,
                          uint64_t used);
void ds_allotment_tick (struct ds_allotment *allotment, double seconds);
uint64_t ds_allotment_target (const struct ds_allotment *allotment,
                              const struct ds_allotment_policy *policy);
bool ds_allotment_needs_update (const struct ds_allotment *allotment,
                                const struct ds_allotment_policy *policy);
uint64_t ds_allotment_give (struct ds_allotment *allotment, uint64_t tokens,
                            uint64_t needed, uint64_t now_ms);
void ds_allotment_receive (struct ds_allotment *allotment,
                           const struct ds_token_transfer *transfer);
bool ds_allotment_make_transfer (struct ds_allotment *allotment,
                                 struct ds_token_transfer *transfer,
                                 const struct ds_allotment_policy *policy,
                                 bool closing);

int ds_ledger_page_decode (struct ds_ledger_page **out, TALLOC_CTX *owner,
                           const struct json_t *spec, struct ds_error *error);
int ds_ledger_page_new (struct ds_ledger_page **out, TALLOC_CTX *owner);
struct json_t *ds_ledger_page_encode (const struct ds_ledger_page *page);
uint64_t ds_ledger_page_update_number (const struct ds_ledger_page *page,
                                       struct ds_str writer);
int ds_ledger_page_set_update_number (struct ds_ledger_page *page,
                                      struct ds_str writer, uint64_t number);
void ds_ledger_page_remove_old_writers (struct ds_ledger_page *page,
                                        struct ds_str writer);
int ds_allotment_apply (struct ds_allotment *allotment,
                        struct ds_ledger_page *page,
                        const struct ds_allotment_policy *policy,
                        bool closing);
void ds_allotment_confirm (struct ds_allotment *allotment);
void ds_allotment_withdraw (struct ds_allotment *allotment);
void ds_allotment_observe (struct ds_allotment *allotment,
                           const struct ds_ledger_page *page, uint64_t now_ms);

#endif
