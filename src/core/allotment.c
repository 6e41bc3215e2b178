#include "core/allotment.h"
#include "core/ledger_page.h"

/* Weight of the newest second in the demand, for rises and falls alike: a mean
   that follows peaks faster than lulls holds a quarter too much over all
   hosts.  */
#define DEMAND_WEIGHT 0.25
/* Free tokens below REFILL_BELOW times the target are refilled at once, else
   with the next regular update of the ledger.  Those above RETURN_ABOVE times
   the target are returned.  */
#define REFILL_BELOW 0.3
#define RETURN_ABOVE 1.3
/* Fraction of its free tokens that a host gives beyond a peer's need.  */
#define GIVE_FRACTION 0.125
/* Time for which an unmet request of a peer counts: several times the interval
   at which peers repeat it.  */
#define PEER_REQUEST_TTL_MS 200
/* Draw for unmet requests in a large fleet, as a multiple of them.  */
#define UNMET_DRAW_FACTOR 4
/* A host other than the home transfers its surplus when its free tokens exceed
   this many times its cushion.  */
#define TRANSFER_ABOVE 2.0
/* Usable tokens below this fraction of the locked ones are refilled at once.
   An update makes at least an eighth of all usable.  */
#define UNLOCK_BELOW 0.05
/* Time in which the size of the largest request is forgotten.  */
#define LARGEST_TTL_S 15

static uint64_t
min_u64 (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

/* Tokens of ALLOTMENT that no request has, usable or not.  */
static uint64_t
held_tokens (const struct ds_allotment *allotment)
{
  return allotment->free + allotment->lock.locked;
}

/* Sets LIMIT if VERSION is newer than the present one.  A lower limit suspends
   reservations until the ledger has been updated.  */
void
ds_allotment_set_limit (struct ds_allotment *allotment, uint64_t limit,
                        uint64_t version)
{
  if (version <= allotment->version)
    return;
  if (limit < allotment->limit)
    allotment->suspended = true;
  allotment->limit = limit;
  allotment->version = version;
}

/* Reserves TOKENS, the upper bound of a request's use; false when the
   allotment does not cover it.  */
bool
ds_allotment_reserve (struct ds_allotment *allotment, uint64_t tokens)
{
  if (allotment->suspended || tokens > allotment->free)
    return false;
  allotment->free -= tokens;
  allotment->reserved += tokens;
  return true;
}

/* Whether the hosts and the ledger together have TOKENS, as far as known.
   Tokens of running requests are not counted: they are few, and may be
   used.  */
bool
ds_allotment_may_cover (const struct ds_allotment *allotment, uint64_t tokens)
{
  return !allotment->known
         || held_tokens (allotment) + allotment->peer_free
                    + allotment->ledger_ungranted + allotment->update.drawn
                    + allotment->update.returned
                >= tokens;
}

/* Ends a reservation: at most RESERVED tokens are spent, the others are free
   again.  */
void
ds_allotment_settle (struct ds_allotment *allotment, uint64_t reserved,
                     uint64_t used)
{
  if (used > reserved)
    used = reserved;
  allotment->reserved -= reserved;
  allotment->spent += used;
  allotment->free += reserved - used;
}

/* Updates the average demand with the requests of the last SECONDS.  */
void
ds_allotment_tick (struct ds_allotment *allotment, double seconds)
{
  double rate = (double)allotment->demand_since_tick / seconds;

  double weight = DEMAND_WEIGHT * seconds;

  if (weight > 1)
    weight = 1;
  allotment->demand_since_tick = 0;
  allotment->largest
      -= (uint64_t)((double)allotment->largest
                    * (seconds < LARGEST_TTL_S ? seconds / LARGEST_TTL_S : 1));
  /* Before the first request there is nothing to average.  */
  if (rate <= 0 && allotment->demand_weight <= 0)
    return;
  allotment->demand_sum += weight * (rate - allotment->demand_sum);
  allotment->demand_weight += weight * (1 - allotment->demand_weight);
  allotment->demand = allotment->demand_sum / allotment->demand_weight;
}

/* Number of tokens that this host should have free.

   The tokens held by the home have to last for a store outage of eight or nine
   seconds at several times the usual load.  One host holds them, since
   a prompt of 50,000 tokens may arrive at any host and would not fit a part at
   each.  What is held when all hosts crash is lost to the workspace, so the
   home never holds more than a fraction of what is left, not even the minimum:
   homes that did took whole budgets of 30,000 tokens with them.  */
uint64_t
ds_allotment_target (const struct ds_allotment *allotment,
                     const struct ds_allotment_policy *policy)
{
  double fleet_demand = allotment->demand + allotment->peer_demand;
  double remaining
      = (double)(allotment->ledger_ungranted + held_tokens (allotment)
                 + allotment->peer_free);
  double target;

  if (allotment->home != DS_HOME_SELF)
    return (uint64_t)(allotment->demand * policy->cushion_s);
  if (fleet_demand <= 0)
    target = policy->initial_fraction * (double)allotment->limit;
  else
    target = fleet_demand * policy->hold_s;
  if (fleet_demand > 0 && target < (double)policy->minimum)
    target = (double)policy->minimum;
  if (target > policy->max_fraction * remaining)
    target = policy->max_fraction * remaining;
  target -= (double)allotment->peer_free;
  return target > 0 ? (uint64_t)target : 0;
}

/* Whether another host serves this one with tokens.  */
bool
ds_allotment_has_source (const struct ds_allotment *allotment)
{
  return allotment->home == DS_HOME_OTHER || allotment->home == DS_HOME_GIVER;
}

/* Whether the ledger should be updated before the regular interval ends.  */
bool
ds_allotment_needs_update (const struct ds_allotment *allotment,
                           const struct ds_allotment_policy *policy)
{
  /* Locked tokens cannot be transferred to the home.  */
  if (allotment->suspended && allotment->lock.locked > 0)
    return true;
  if (allotment->home == DS_HOME_GIVER)
    return allotment->home_timed_out
           && allotment->waiting_tokens + allotment->peer_requested
                  > allotment->free;
  if (allotment->home != DS_HOME_SELF)
    return allotment->home_timed_out
           && allotment->waiting_tokens > allotment->free;
  if (allotment->suspended
      || allotment->waiting_tokens + allotment->peer_requested
             > allotment->free)
    return true;
  if (!allotment->known)
    return allotment->limit > 0;
  if ((double)allotment->free < UNLOCK_BELOW * (double)allotment->lock.locked)
    return true;
  return allotment->ledger_ungranted > 0
         && (double)held_tokens (allotment)
                < REFILL_BELOW
                      * (double)ds_allotment_target (allotment, policy);
}

/* Serves a peer that requests TOKENS and needs NEEDED at once.  Returns the
   number taken from this allotment, which stay granted in the ledger: at least
   NEEDED or none, since less serves no request.  */
uint64_t
ds_allotment_give (struct ds_allotment *allotment, uint64_t tokens,
                   uint64_t needed, uint64_t now_ms)
{
  uint64_t spare
      = allotment->suspended || allotment->free <= allotment->waiting_tokens
            ? 0
            : allotment->free - allotment->waiting_tokens;
  uint64_t fraction = (uint64_t)(GIVE_FRACTION * (double)spare);
  uint64_t given;

  if (needed > allotment->largest)
    allotment->largest = needed;
  if (spare < needed)
    {
      if (now_ms - allotment->peer_request_ms > PEER_REQUEST_TTL_MS)
        allotment->peer_requested = 0;
      if (allotment->peer_requested < tokens)
        allotment->peer_requested = tokens;
      allotment->peer_request_ms = now_ms;
      return 0;
    }
  given = needed > fraction ? needed : fraction;
  if (given > tokens)
    given = tokens;
  allotment->free -= given;
  if (allotment->demand_is_requested)
    allotment->demand_since_tick += given;
  return given;
}

/* Adds the tokens, the use and the limit of TRANSFER from a peer.  */
void
ds_allotment_receive (struct ds_allotment *allotment,
                      const struct ds_token_transfer *transfer)
{
  ds_allotment_set_limit (allotment, transfer->limit, transfer->version);
  /* Tokens that a peer returns were not needed.  */
  if (allotment->demand_is_requested && allotment->home != DS_HOME_OTHER)
    allotment->demand_since_tick
        -= min_u64 (transfer->tokens, allotment->demand_since_tick);
  allotment->free += transfer->tokens;
  allotment->spent += transfer->spent;
  if (transfer->tokens > 0)
    allotment->lacking_since_ms = 0;
}

/* Moves into TRANSFER what the home should get: the use that is not in the
   ledger, and the free tokens beyond the cushion, or all when CLOSING.  False
   when there is nothing to transfer.  */
bool
ds_allotment_make_transfer (struct ds_allotment *allotment,
                            struct ds_token_transfer *transfer,
                            const struct ds_allotment_policy *policy,
                            bool closing)
{
  uint64_t kept = closing || allotment->suspended
                      ? 0
                      : ds_allotment_target (allotment, policy);

  *transfer = (struct ds_token_transfer){ .spent = allotment->spent,
                                          .limit = allotment->limit,
                                          .version = allotment->version };
  if (kept < allotment->waiting_tokens && !allotment->suspended)
    kept = allotment->waiting_tokens;
  if ((double)allotment->free > TRANSFER_ABOVE * (double)kept)
    transfer->tokens = allotment->free - kept;
  allotment->spent = 0;
  allotment->free -= transfer->tokens;
  /* With nothing left here, the home accounts for the lowered limit.  */
  if (held_tokens (allotment) == 0)
    allotment->suspended = false;
  return transfer->tokens > 0 || transfer->spent > 0;
}

/* Number of tokens that a host draws when requests wait for NEEDED.

   Load: all hosts of a large fleet request tokens of a workspace whose home is
   new.  One that draws just what is lacking writes the ledger for each
   request.  */
static uint64_t
unmet_target (const struct ds_allotment *allotment,
              const struct ds_allotment_policy *policy, uint64_t needed)
{
  uint64_t target = UNMET_DRAW_FACTOR * needed;
  uint64_t most = (uint64_t)(policy->max_fraction
                             * (double)(allotment->ledger_ungranted
                                        + held_tokens (allotment)));

  if (target > most)
    target = most;
  return target > needed ? target : needed;
}

/* Applies this host's next update of one account to PAGE and keeps it until it
   is confirmed or withdrawn.  CLOSING returns all free tokens.  */
int
ds_allotment_apply (struct ds_allotment *allotment,
                    struct ds_ledger_page *page,
                    const struct ds_allotment_policy *policy, bool closing)
{
  struct ds_ledger_account *account
      = ds_ledger_page_find_or_add (page, allotment->workspace);
  struct ds_allotment_update *update = &allotment->update;
  uint64_t needed = allotment->waiting_tokens + allotment->peer_requested;
  uint64_t held = held_tokens (allotment);
  uint64_t target;
  uint64_t committed;

  if (account == NULL)
    return DS_ENOMEM;
  if (allotment->version > account->version)
    {
      account->version = allotment->version;
      account->limit = allotment->limit;
    }
  *update = (struct ds_allotment_update){ .in_flight = true,
                                          .version = allotment->version,
                                          .settled = allotment->spent };
  allotment->spent = 0;
  account->granted -= min_u64 (update->settled, account->granted);
  account->settled += update->settled;
  allotment->ledger_ungranted = ds_ledger_account_ungranted (account);
  target = closing ? 0 : ds_allotment_target (allotment, policy);
  if (target < needed && !closing)
    target = allotment->demand_is_requested
                 ? unmet_target (allotment, policy, needed)
                 : needed;
  if (held < target)
    update->drawn = min_u64 (target - held, allotment->ledger_ungranted);
  else if (closing
           || (allotment->home == DS_HOME_SELF
               && (double)held > RETURN_ABOVE * (double)target
                                     + (double)policy->minimum))
    update->returned = held - target;
  /* With a lowered limit, unused tokens above it are returned.  */
  committed = account->settled + account->granted;
  if (committed > account->limit && update->returned < held)
    update->returned = min_u64 (held, committed - account->limit);
  allotment->lock.proposed = allotment->lock.confirmed;
  allotment->lock.drawn = 0;
  /* Usable tokens stay usable while the update is in flight.  */
  allotment->lock.returned
      = min_u64 (update->returned, allotment->lock.locked);
  allotment->lock.locked -= allotment->lock.returned;
  allotment->free -= update->returned - allotment->lock.returned;
  account->granted += update->drawn;
  account->granted -= min_u64 (update->returned, account->granted);
  return 0;
}

/* Confirms the update, which is in the ledger now.  A limit lowered after the
   update was built suspends reservations until the next one.  */
void
ds_allotment_confirm (struct ds_allotment *allotment)
{
  struct ds_allotment_update *update = &allotment->update;

  if (!update->in_flight)
    return;
  allotment->free += update->drawn - allotment->lock.drawn;
  allotment->lock = (struct ds_grant_lock){
    .locked = allotment->lock.locked + allotment->lock.drawn,
    .confirmed = allotment->lock.proposed,
  };
  if (update->drawn > 0)
    allotment->lacking_since_ms = 0;
  if (allotment->home == DS_HOME_GIVER && allotment->waiting_tokens == 0)
    allotment->home_timed_out = false;
  allotment->known = true;
  if (update->version == allotment->version)
    allotment->suspended = false;
  *update = (struct ds_allotment_update){ .in_flight = false };
}

/* Undoes the update, which is not in the ledger and never will be.  */
void
ds_allotment_withdraw (struct ds_allotment *allotment)
{
  allotment->spent += allotment->update.settled;
  allotment->free += allotment->update.returned - allotment->lock.returned;
  allotment->lock = (struct ds_grant_lock){
    .locked = allotment->lock.locked + allotment->lock.returned,
    .confirmed = allotment->lock.confirmed,
  };
  allotment->update = (struct ds_allotment_update){ .in_flight = false };
}

/* Gives up the tokens, usable or locked, that an update of unknown outcome
   returns: the store has returned from an older copy, and another host may
   have drawn them in the lost part, which the copy does not show.  */
void
ds_allotment_drop_returned (struct ds_allotment *allotment)
{
  allotment->update.returned = 0;
  allotment->lock.returned = 0;
}

/* Updates the ledger_* members from PAGE, read at NOW_MS, and the limit if the
   page's is newer.  */
void
ds_allotment_observe (struct ds_allotment *allotment,
                      const struct ds_ledger_page *page, uint64_t now_ms)
{
  const struct ds_ledger_account *account
      = ds_ledger_page_find (page, allotment->workspace);

  if (account == NULL)
    return;
  ds_allotment_set_limit (allotment, account->limit, account->version);
  allotment->ledger_ungranted = ds_ledger_account_ungranted (account);
  allotment->ledger_settled = account->settled;
  allotment->ledger_observed_ms = now_ms;
  allotment->ledger_reporter = 0;
  allotment->known = true;
}
