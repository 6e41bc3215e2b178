#include "core/allotment.h"
#include "core/ledger_page.h"

/* Weight of the newest second in the demand.  The same up and down: a mean
   that follows peaks faster than lulls holds a quarter too much at all hosts
   together.  */
#define DEMAND_WEIGHT 0.25
/* Below this part of its target a share is refilled at once; regular updates
   of the ledger refill it in any case.  What lies over RETURN_ABOVE times the
   target is returned.  */
#define REFILL_BELOW 0.3
#define RETURN_ABOVE 1.3
/* A host that is asked gives more than the asking host needs at once only up
   to this part of what it has free.  */
#define GIVE_PART 0.125
/* What other hosts asked for is drawn for them this long; they ask again every
   60 ms while they need it.  */
#define ASKED_MS 200
/* A host other than the home passes on what it has free once that is over so
   many times its cushion.  */
#define SURPLUS_ABOVE 2.0

static uint64_t
least (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

/* Takes the limit of a newer configuration.  A lower one stops the use of what
   is free until the ledger has been updated.  */
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

/* Reserves TOKENS, the most that a request can use; false when this host's
   share does not cover it.  */
bool
ds_allotment_reserve (struct ds_allotment *allotment, uint64_t tokens)
{
  if (allotment->suspended || tokens > allotment->free)
    return false;
  allotment->free -= tokens;
  allotment->reserved += tokens;
  return true;
}

/* Ends a reservation: what was used is spent, the rest is free again.  */
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

/* Works out the demand of the last SECONDS.  */
void
ds_allotment_tick (struct ds_allotment *allotment, double seconds)
{
  double rate = (double)allotment->demand_since_tick / seconds;

  double weight = DEMAND_WEIGHT * seconds;

  if (weight > 1)
    weight = 1;
  allotment->demand_since_tick = 0;
  /* Before the first request there is nothing to average.  */
  if (rate <= 0 && allotment->demand_weight <= 0)
    return;
  allotment->demand_sum += weight * (rate - allotment->demand_sum);
  allotment->demand_weight += weight * (1 - allotment->demand_weight);
  allotment->demand = allotment->demand_sum / allotment->demand_weight;
}

/* Tokens that this host wants to have free.

   Load: all hosts lose the store for eight or nine seconds while a workspace
   sends several times its usual; the fleet's share has to last that long.  A
   prompt of 50,000 tokens may come to any host, so the share lies in one place
   and not in as many parts as there are hosts.  What is held when all hosts
   die is lost to the workspace: with little left, less is held.  */
uint64_t
ds_allotment_target (const struct ds_allotment *allotment,
                     const struct ds_allotment_policy *policy)
{
  double fleet_demand = allotment->demand + allotment->peer_demand;
  double left = (double)(allotment->ledger_ungranted + allotment->free
                         + allotment->peer_free);
  double target;

  if (allotment->home != DS_HOME_SELF)
    return (uint64_t)(allotment->demand * policy->cushion_s);
  if (fleet_demand <= 0)
    target = policy->initial_fraction * (double)allotment->limit;
  else
    target = fleet_demand * policy->hold_s;
  if (target > policy->max_fraction * left)
    target = policy->max_fraction * left;
  if (fleet_demand > 0 && target < (double)policy->minimum)
    target = (double)policy->minimum;
  target -= (double)allotment->peer_free;
  return target > 0 ? (uint64_t)target : 0;
}

/* True if the ledger should be updated without waiting for the interval.  */
bool
ds_allotment_needs_update (const struct ds_allotment *allotment,
                           const struct ds_allotment_policy *policy)
{
  if (allotment->home != DS_HOME_SELF)
    return allotment->home_timed_out
           && allotment->waiting_tokens > allotment->free;
  if (allotment->suspended
      || allotment->waiting_tokens + allotment->peer_requested
             > allotment->free)
    return true;
  if (!allotment->known)
    return allotment->limit > 0;
  return allotment->ledger_ungranted > 0
         && (double)allotment->free
                < REFILL_BELOW
                      * (double)ds_allotment_target (allotment, policy);
}

/* Another host asks for TOKENS, of which it NEEDS a part at once.  Returns how
   many leave this host's share; the ledger counts them as before.  What is
   needed is given whole or not at all, since a part serves no request.  */
uint64_t
ds_allotment_give (struct ds_allotment *allotment, uint64_t tokens,
                   uint64_t needed, uint64_t now_ms)
{
  uint64_t spare
      = allotment->suspended || allotment->free <= allotment->waiting_tokens
            ? 0
            : allotment->free - allotment->waiting_tokens;
  uint64_t most = (uint64_t)(GIVE_PART * (double)spare);
  uint64_t given;

  if (spare < needed)
    {
      if (now_ms - allotment->peer_request_ms > ASKED_MS)
        allotment->peer_requested = 0;
      if (allotment->peer_requested < tokens)
        allotment->peer_requested = tokens;
      allotment->peer_request_ms = now_ms;
      return 0;
    }
  given = needed > most ? needed : most;
  if (given > tokens)
    given = tokens;
  allotment->free -= given;
  return given;
}

/* Takes what another host has passed on.  */
void
ds_allotment_receive (struct ds_allotment *allotment,
                      const struct ds_token_transfer *transfer)
{
  ds_allotment_set_limit (allotment, transfer->limit, transfer->version);
  allotment->free += transfer->tokens;
  allotment->spent += transfer->spent;
}

/* Takes what the home should have off this share: the use that the ledger does
   not know, and what is free beyond the cushion.  CLOSING keeps nothing.
   False if there is nothing to hand over.  */
bool
ds_allotment_make_transfer (struct ds_allotment *allotment,
                            struct ds_token_transfer *transfer,
                            const struct ds_allotment_policy *policy,
                            bool closing)
{
  uint64_t keep = closing || allotment->suspended
                      ? 0
                      : ds_allotment_target (allotment, policy);

  *transfer = (struct ds_token_transfer){ .spent = allotment->spent,
                                          .limit = allotment->limit,
                                          .version = allotment->version };
  if (keep < allotment->waiting_tokens && !allotment->suspended)
    keep = allotment->waiting_tokens;
  if ((double)allotment->free > SURPLUS_ABOVE * (double)keep)
    transfer->tokens = allotment->free - keep;
  allotment->spent = 0;
  allotment->free -= transfer->tokens;
  /* A lowered limit leaves nothing here; the home answers to the ledger.  */
  if (allotment->free == 0)
    allotment->suspended = false;
  return transfer->tokens > 0 || transfer->spent > 0;
}

/* Enters this host's next update of one account into PAGE and remembers it
   until it is confirmed or withdrawn.  CLOSING returns all that is free.  */
int
ds_allotment_apply (struct ds_allotment *allotment,
                    struct ds_ledger_page *page,
                    const struct ds_allotment_policy *policy, bool closing)
{
  struct ds_ledger_account *account
      = ds_ledger_page_find_or_add (page, allotment->workspace);
  struct ds_allotment_update *update = &allotment->update;
  uint64_t waiting_tokens
      = allotment->waiting_tokens + allotment->peer_requested;
  uint64_t target;
  uint64_t taken;

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
  account->granted -= least (update->settled, account->granted);
  account->settled += update->settled;
  allotment->ledger_ungranted = ds_ledger_account_ungranted (account);
  target = closing ? 0 : ds_allotment_target (allotment, policy);
  if (target < waiting_tokens && !closing)
    target = waiting_tokens;
  if (allotment->free < target)
    update->drawn
        = least (target - allotment->free, allotment->ledger_ungranted);
  else if (closing
           || (allotment->home == DS_HOME_SELF
               && (double)allotment->free > RETURN_ABOVE * (double)target
                                                + (double)policy->minimum))
    update->returned = allotment->free - target;
  /* A lowered limit calls back what is free.  */
  taken = account->settled + account->granted;
  if (taken > account->limit && update->returned < allotment->free)
    update->returned = least (allotment->free, taken - account->limit);
  allotment->free -= update->returned;
  account->granted += update->drawn;
  account->granted -= least (update->returned, account->granted);
  return 0;
}

/* The update is in the ledger.  A limit that was lowered since then still
   waits for the next one.  */
void
ds_allotment_confirm (struct ds_allotment *allotment)
{
  struct ds_allotment_update *update = &allotment->update;

  if (!update->in_flight)
    return;
  allotment->free += update->drawn;
  allotment->known = true;
  if (update->version == allotment->version)
    allotment->suspended = false;
  *update = (struct ds_allotment_update){ .in_flight = false };
}

/* The update is not in the ledger and never will be.  */
void
ds_allotment_withdraw (struct ds_allotment *allotment)
{
  allotment->spent += allotment->update.settled;
  allotment->free += allotment->update.returned;
  allotment->update = (struct ds_allotment_update){ .in_flight = false };
}

/* Takes what PAGE, read at NOW_MS, says of the account.  A newer limit than
   the own configuration's counts.  */
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
  allotment->known = true;
}
