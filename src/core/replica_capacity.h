#ifndef DS_CORE_REPLICA_CAPACITY_H
#define DS_CORE_REPLICA_CAPACITY_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/* Prompt tokens that a replica of speed 1 prefills per millisecond; the
   engines of the two deployments reach 51 and 64.  */
#define DS_CAPACITY_TOKENS_PER_MS 50.0

/* MIN_SAMPLES first events or stretches of events are needed before an
   estimate is used fully.  Reports of other hosts count for REPORT_TTL_MS; 0
   switches learning off.  */
struct ds_capacity_options
{
  uint64_t min_samples;
  uint64_t report_ttl_ms;
};

/* The first event of an attempt that took TOOK_MS.  TOKENS are the prompt
   tokens that the replica had to prefill for it, AHEAD_TOKENS those of other
   requests that were there when it was sent.  */
struct ds_capacity_first_event
{
  uint64_t tokens;
  uint64_t ahead_tokens;
  uint64_t took_ms;
};

/* What one host, or a relay for several, has measured of a replica.  */
struct ds_capacity_report
{
  double speed;    /* 1: DS_CAPACITY_TOKENS_PER_MS; 0 for unknown */
  double stretch;  /* time to the first event / that of an idle replica */
  double gap_ms;   /* between two events; 0 for unknown */
  double samples;  /* that the figures stand for */
  uint64_t age_ms; /* of the latest sample */
};

/* Source of a report: a host or zone by the low bits of the hash of its name.
   RELAYED: a relay has summed it up from several hosts.  */
struct ds_capacity_source
{
  uint32_t id;
  bool relayed;
};

/* The estimate by the measurements of all hosts.  LIMIT is the number of slots
   until latency rises or a request is rejected.  */
struct ds_capacity_estimate
{
  double speed;     /* near 1 with few samples */
  double measured;  /* the speed by the samples alone; 1 without any */
  double certainty; /* of it: 0 without a sample, towards 1 with many */
  uint32_t limit;
  double stretch;
  double gap_ms;
  double samples;
};

struct ds_replica_capacity;

int ds_replica_capacity_new (struct ds_replica_capacity **out,
                             TALLOC_CTX *owner,
                             const struct ds_capacity_options *options,
                             uint32_t slots);
void ds_replica_capacity_record_sent (struct ds_replica_capacity *capacity,
                                      uint32_t running, uint64_t now_ms);
void ds_replica_capacity_record_first_event (
    struct ds_replica_capacity *capacity,
    const struct ds_capacity_first_event *event, uint64_t now_ms);
void ds_replica_capacity_record_gaps (struct ds_replica_capacity *capacity,
                                      uint64_t events, uint64_t took_ms,
                                      uint64_t now_ms);
void ds_replica_capacity_record_end (struct ds_replica_capacity *capacity,
                                     uint64_t now_ms);
void
ds_replica_capacity_record_rejection (struct ds_replica_capacity *capacity,
                                      uint32_t running, uint64_t now_ms);
void ds_replica_capacity_receive (struct ds_replica_capacity *capacity,
                                  struct ds_capacity_source source,
                                  const struct ds_capacity_report *report,
                                  uint64_t now_ms);
struct ds_capacity_estimate
ds_replica_capacity_estimate (struct ds_replica_capacity *capacity,
                              uint64_t now_ms);
uint32_t ds_replica_capacity_room (struct ds_replica_capacity *capacity,
                                   uint32_t running, uint64_t now_ms);

/* For whom a report is meant: the own measurements for other hosts or relays,
   those of the zone for relays of other zones, those of all for the zone.  */
enum ds_capacity_scope
{
  DS_CAPACITY_OWN,
  DS_CAPACITY_ZONE,
  DS_CAPACITY_FLEET,
  DS_CAPACITY_SCOPES
};

bool ds_replica_capacity_take_report (struct ds_replica_capacity *capacity,
                                      enum ds_capacity_scope scope, bool keep,
                                      struct ds_capacity_report *out,
                                      uint64_t now_ms);
bool ds_replica_capacity_take_change (struct ds_replica_capacity *capacity,
                                      struct ds_capacity_estimate *out,
                                      uint64_t now_ms);

#endif
