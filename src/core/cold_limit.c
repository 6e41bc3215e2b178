/* Limits what a cold replica receives from all hosts together, without a
   message between them.

   Load: the replicas of a zone, up to a third of 600, return together, all
   cold, while the callers of 390 hosts keep sending.  A replica that receives
   well above its limit crashes, and the zone starts anew.

   For each replica, rendezvous hashing over the registered hosts chooses a few
   senders, each of which sends at a fixed spacing.  All hosts that may send
   agree on the senders for the following reason.  A host uses its list for
   LIST_VALID_MS after it requested it, and sends nothing to cold replicas for
   LIST_VALID_MS and a margin after its registration was acknowledged.  So
   every list in use contains every host that may send at that moment, and a
   host that is among the first of a larger set is also among the first of
   these. Both times are durations on the clock of one host.  */

#include "core/cold_limit.h"

#include <string.h>

/* Senders of one replica.  With four, all are down in one of 16 cases if half
   of the hosts are.  */
#define SENDERS_MAX 4
/* Senders beyond those chosen that the limit must bear, such as a host that
   was suspended while its clock stood still.  */
#define EXTRA_SENDERS 1
#define SECOND_MS 1000
/* Outlasts the partitions of 8 s that were observed.  */
#define LIST_VALID_MS 9000
/* The difference keeps the last arrivals from those senders that a new host
   replaces out of any second with arrivals from it.  */
#define REGISTRATION_WAIT_MS                                                  \
  (LIST_VALID_MS + SECOND_MS + DS_COLD_ARRIVAL_MS + 1)
/* Age from which a list is read again while a replica is cold.  */
#define LIST_RENEW_MS (LIST_VALID_MS / 2)
/* A list that is missing or has expired is read within this time, unless the
   store is unreachable.  */
#define LIST_RETRY_MS 1000
/* Callers return within this time after the one that they were told.  */
#define RETURN_SPREAD_MS 300
/* Longest time for which the return of an urgent request is awaited.  */
#define RETURN_MAX_MS 2000

static uint64_t
mix_hash (uint64_t value)
{
  value ^= value >> 33;
  value *= UINT64_C (0xff51afd7ed558ccd);
  value ^= value >> 33;
  value *= UINT64_C (0xc4ceb9fe1a85ec53);
  return value ^ (value >> 33);
}

static uint64_t
until (uint64_t then_ms, uint64_t now_ms)
{
  return then_ms > now_ms ? then_ms - now_ms : 0;
}

/* Returns the share of a host in the limit of a cold replica, with HOST_COUNT
   hosts registered.

   With spacing S, a host causes at most (1000 + DS_COLD_ARRIVAL_MS) / S + 1
   arrivals in any second, rounded down.  If its link stalls, one request whose
   connection was just established may arrive with the next one: 1000 / S + 2.
   Both are kept within the host's part of the limit, and the sum of the rates
   within that of the RULE.  */
struct ds_cold_share
ds_cold_limit_share (const struct ds_cold_bounds *bounds,
                     const struct ds_cold_rule *rule, size_t host_count)
{
  double limit = rule->per_s * bounds->overage + bounds->slack;
  size_t hosts = host_count < SENDERS_MAX ? host_count : SENDERS_MAX;
  uint64_t part;
  uint64_t spacing_ms;
  uint64_t least_ms;

  if (hosts == 0 || limit < 1 || rule->per_s <= 0)
    return (struct ds_cold_share){ .hosts = 0 };
  while (hosts > 1 && limit < (double)(2 * (hosts + EXTRA_SENDERS)))
    hosts--;
  part = (uint64_t)(limit / (double)(hosts + EXTRA_SENDERS));
  /* Below a limit of two there is no room for an extra sender, and below four
     none for a stall.  */
  if (part == 0)
    part = 1;
  least_ms = (SECOND_MS + DS_COLD_ARRIVAL_MS) / part + 1;
  if (part > 1 && SECOND_MS / (part - 1) + 1 > least_ms)
    least_ms = SECOND_MS / (part - 1) + 1;
  spacing_ms = (uint64_t)((double)(hosts * SECOND_MS) / rule->per_s) + 1;
  return (struct ds_cold_share){
    .hosts = hosts,
    .spacing_ms = spacing_ms > least_ms ? spacing_ms : least_ms,
  };
}

/* Replaces the set of hosts by COUNT registered HOSTS, hashes of their names,
   of a list that was requested at ASKED_MS.  Returns 0 or -1 if memory is
   exhausted; the set before stays then.  */
int
ds_cold_limit_set_hosts (struct ds_cold_limit *limit, TALLOC_CTX *owner,
                         const uint64_t *hosts, size_t count,
                         uint64_t asked_ms)
{
  uint64_t *copy = talloc_array (owner, uint64_t, (unsigned)count + 1);

  if (copy == NULL)
    return -1;
  if (count > 0)
    memcpy (copy, hosts, count * sizeof copy[0]);
  talloc_free (limit->hosts);
  limit->hosts = copy;
  limit->host_count = count;
  limit->asked_ms = asked_ms;
  limit->set_version++;
  return 0;
}

/* Forgets the set of hosts and that this host is registered: the store has
   returned from an older copy, which may lack registrations.  A host that
   lists them before they are written again would choose other senders, so all
   hosts wait as after a first registration.  */
void
ds_cold_limit_begin_era (struct ds_cold_limit *limit)
{
  limit->host_count = 0;
  limit->set_version++;
  limit->registered_ms = 0;
  limit->settled = false;
}

/* Returns the time until every list in use has this host, which is
   registered.  */
static uint64_t
settled_in_ms (const struct ds_cold_limit *limit, uint64_t now_ms)
{
  return limit->settled
             ? 0
             : until (limit->registered_ms + REGISTRATION_WAIT_MS, now_ms);
}

/* Whether every list in use has this host.  That holds for its later
   incarnations too, as long as the registration is not removed.  */
bool
ds_cold_limit_is_settled (const struct ds_cold_limit *limit, uint64_t now_ms)
{
  return limit->registered_ms > 0 && settled_in_ms (limit, now_ms) == 0;
}

/* Whether the list of hosts should be read again before it expires.  */
bool
ds_cold_limit_needs_list (const struct ds_cold_limit *limit, uint64_t now_ms)
{
  return limit->host_count == 0 || now_ms - limit->asked_ms >= LIST_RENEW_MS;
}

/* Returns the rank of this host among the senders of REPLICA, by the last
   list; SENDERS_MAX if it is none.  A host whose registration was removed is
   none.  */
static unsigned
find_rank (const struct ds_cold_limit *limit, uint64_t replica)
{
  uint64_t key = mix_hash (replica);
  uint64_t own = mix_hash (limit->self ^ key);
  unsigned rank = 0;
  bool listed = false;

  for (size_t i = 0; i < limit->host_count && rank < SENDERS_MAX; i++)
    {
      uint64_t weight = mix_hash (limit->hosts[i] ^ key);

      if (limit->hosts[i] == limit->self)
        listed = true;
      else if (weight > own)
        rank++;
    }
  return listed ? rank : SENDERS_MAX;
}

/* Whether this host is among the senders of REPLICA, of whose requests RULE
   allows some.  The rank is kept in STATE.  */
bool
ds_cold_limit_is_sender (const struct ds_cold_limit *limit,
                         const struct ds_cold_rule *rule,
                         struct ds_cold_state *state, uint64_t replica)
{
  if (limit->set_version == 0)
    return false;
  if (state->set_version != limit->set_version)
    {
      state->rank = find_rank (limit, replica);
      state->set_version = limit->set_version;
    }
  return state->rank
         < ds_cold_limit_share (&limit->bounds, rule, limit->host_count).hosts;
}

/* Whether a request more urgent than URGENCY is expected back.  */
static bool
expects_more_urgent (const struct ds_cold_limit *limit, unsigned urgency,
                     uint64_t now_ms)
{
  for (unsigned i = 0; i < urgency && i < DS_COLD_URGENCIES; i++)
    if (limit->expected_ms[i] > now_ms)
      return true;
  return false;
}

static uint64_t
least (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

/* Returns the time until a request of URGENCY may be sent to REPLICA, 0 if
   this host may send it now: until the next turn of this host or, if it is no
   sender, of any that is, and until the replica is warm at the latest.

   A turn is left to a more urgent request that was refused and is expected
   back, for one spacing at most.  */
uint64_t
ds_cold_limit_wait_ms (const struct ds_cold_limit *limit,
                       const struct ds_cold_rule *rule,
                       struct ds_cold_state *state, uint64_t replica,
                       unsigned urgency, uint64_t now_ms)
{
  uint64_t warm_in_ms = ds_cold_state_remaining_ms (state, rule, now_ms);
  uint64_t settled_ms = settled_in_ms (limit, now_ms);
  struct ds_cold_share share;
  uint64_t turn_ms;

  if (warm_in_ms == 0)
    return 0;
  share = ds_cold_limit_share (&limit->bounds, rule, limit->host_count);
  if (limit->registered_ms == 0 || limit->host_count == 0)
    return least (warm_in_ms, LIST_RETRY_MS);
  if (share.hosts == 0)
    return warm_in_ms;
  if (!ds_cold_limit_is_sender (limit, rule, state, replica))
    return least (warm_in_ms, share.spacing_ms);
  if (settled_ms > 0)
    return least (warm_in_ms, settled_ms);
  if (now_ms - limit->asked_ms >= LIST_VALID_MS)
    return least (warm_in_ms, LIST_RETRY_MS);
  turn_ms = state->sent_ms + share.spacing_ms;
  if (expects_more_urgent (limit, urgency, now_ms))
    turn_ms += share.spacing_ms;
  return least (warm_in_ms, until (turn_ms, now_ms));
}

/* Records that a request of URGENCY was refused and told to return after
   WAIT_MS.  */
void
ds_cold_limit_record_refusal (struct ds_cold_limit *limit, unsigned urgency,
                              uint64_t wait_ms, uint64_t now_ms)
{
  uint64_t back_ms = now_ms + wait_ms + RETURN_SPREAD_MS;

  if (urgency < DS_COLD_URGENCIES && wait_ms <= RETURN_MAX_MS
      && limit->expected_ms[urgency] < back_ms)
    limit->expected_ms[urgency] = back_ms;
}

/* Records that the registration at REVISION states REMAINING_MS.  One that
   was read before says nothing new: it is as old as then.  Returns whether it
   was new.  */
bool
ds_cold_state_observe (struct ds_cold_state *state, uint64_t remaining_ms,
                       uint64_t revision, uint64_t now_ms)
{
  if (state->observed_ms > 0 && state->revision == revision)
    return false;
  /* This host may have sent a request before it lost the replica from its
     list and forgot it.  */
  if (state->observed_ms == 0)
    state->sent_ms = now_ms;
  state->observed_ms = now_ms;
  state->remaining_ms = remaining_ms;
  state->revision = revision;
  state->doubted_ms = 0;
  return true;
}

/* Records that the replica itself states REMAINING_MS.  What a copy of an
   earlier response states may be too short: MAY_SHORTEN is false for a
   response that is not known to be current.  */
void
ds_cold_state_hear (struct ds_cold_state *state, uint64_t remaining_ms,
                    bool may_shorten, uint64_t now_ms)
{
  uint64_t known_until_ms = state->remaining_ms == DS_COLD_UNKNOWN
                                ? DS_COLD_UNKNOWN
                                : state->observed_ms + state->remaining_ms;

  if (state->observed_ms == 0
      || (!may_shorten && now_ms + remaining_ms < known_until_ms))
    return;
  state->observed_ms = now_ms;
  state->remaining_ms = remaining_ms;
  if (may_shorten)
    state->doubted_ms = 0;
}

/* Records that the replica may have become cold without notice.  What its
   registration has said before no longer counts.  */
void
ds_cold_state_forget (struct ds_cold_state *state, uint64_t now_ms)
{
  if (state->observed_ms == 0)
    return;
  state->observed_ms = now_ms;
  state->remaining_ms = DS_COLD_UNKNOWN;
}

/* Records a sign that the replica has ended while this host cannot learn from
   the store whether it has started again.  */
void
ds_cold_state_doubt (struct ds_cold_state *state, uint64_t now_ms)
{
  state->doubted_ms = now_ms;
}

/* Ends the doubt: what the store said to a call begun at ASKED_MS has been
   applied, and the replica is still the same.  */
void
ds_cold_state_end_doubt (struct ds_cold_state *state, uint64_t asked_ms)
{
  if (asked_ms >= state->doubted_ms)
    state->doubted_ms = 0;
}

/* Returns for how long the replica stays cold as far as this host knows; 0 if
   it is warm.  A host that does not know it takes the replica for cold.  */
uint64_t
ds_cold_state_remaining_ms (const struct ds_cold_state *state,
                            const struct ds_cold_rule *rule, uint64_t now_ms)
{
  uint64_t remaining_ms = state->remaining_ms == DS_COLD_UNKNOWN
                              ? rule->start_ms
                              : state->remaining_ms;
  uint64_t warm_ms = state->observed_ms + remaining_ms;

  if (rule->per_s <= 0)
    return 0;
  if (state->observed_ms == 0)
    return rule->start_ms > 0 ? rule->start_ms : 1;
  if (state->doubted_ms > 0 && state->doubted_ms + rule->start_ms > warm_ms)
    warm_ms = state->doubted_ms + rule->start_ms;
  return until (warm_ms, now_ms);
}
