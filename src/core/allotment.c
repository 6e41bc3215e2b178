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
    allotment->revoked = true;
  allotment->limit = limit;
  allotment->version = version;
}

/* Reserves TOKENS, the most that a request can use; false when this host's
   share does not cover it.  */
bool
ds_allotment_reserve (struct ds_allotment *allotment, uint64_t tokens,
                      uint64_t now_ms)
{
  allotment->last_request_ms = now_ms;
  if (allotment->revoked || tokens > allotment->free)
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
  double rate = (double)allotment->demanded / seconds;

  double weight = DEMAND_WEIGHT * seconds;

  if (weight > 1)
    weight = 1;
  allotment->demanded = 0;
  /* Before the first request there is nothing to average.  */
  if (rate <= 0 && allotment->demand_weight <= 0)
    return;
  allotment->demand_sum += weight * (rate - allotment->demand_sum);
  allotment->demand_weight += weight * (1 - allotment->demand_weight);
  allotment->demand = allotment->demand_sum / allotment->demand_weight;
}

/* Tokens that this host wants to have free.

   Load: all hosts lose the store for eight or nine seconds while a workspace
   sends several times its usual; a share has to last that long.  What lies in
   the shares when all hosts die is lost to the workspace: with little left,
   less is held.  */
uint64_t
ds_allotment_target (const struct ds_allotment *allotment,
                     const struct ds_allotment_policy *policy)
{
  double hosts = policy->hosts > 0 ? (double)policy->hosts : 1;
  double fleet_demand = allotment->demand + allotment->others_demand;
  double left = (double)(allotment->ledger_rest + allotment->free
                         + allotment->others_free);
  double seconds = policy->hold_s;
  double target;

  if (fleet_demand > 0 && seconds > policy->part * left / fleet_demand)
    seconds = policy->part * left / fleet_demand;
  target = allotment->demand * seconds;
  if (allotment->demand > 0 && target < (double)policy->minimum / hosts)
    target = (double)policy->minimum / hosts;
  /* The first requests of a workspace find tokens without asking the ledger.
   */
  if (fleet_demand <= 0)
    target = policy->start * (double)allotment->limit / hosts;
  return (uint64_t)target;
}

/* True if the ledger should be updated without waiting for the interval.  */
bool
ds_allotment_needs_update (const struct ds_allotment *allotment,
                           const struct ds_allotment_policy *policy)
{
  uint64_t target = ds_allotment_target (allotment, policy);

  if (allotment->revoked || allotment->wanted > allotment->free)
    return true;
  if (!allotment->known)
    return allotment->limit > 0;
  return allotment->ledger_rest > 0
         && (double)allotment->free < REFILL_BELOW * (double)target;
}

/* Gives away up to TOKENS of what is free beyond KEEP_S seconds of demand, and
   returns how many.  The ledger still counts them as this host's until the
   receiver enters them.  */
uint64_t
ds_allotment_give (struct ds_allotment *allotment, uint64_t tokens,
                   double keep_s)
{
  uint64_t keep = (uint64_t)(allotment->demand * keep_s) + allotment->wanted;
  uint64_t spare;

  /* What was borrowed is passed on only once the ledger has it.  */
  for (size_t i = 0; i < allotment->borrowed_count; i++)
    keep += allotment->borrowed[i].tokens;
  for (size_t i = 0; i < allotment->update.borrowed_count; i++)
    keep += allotment->update.borrowed[i].tokens;

  if (allotment->revoked || allotment->free <= keep)
    return 0;
  spare = least (tokens, allotment->free - keep);
  allotment->free -= spare;
  return spare;
}

/* Takes tokens that another host has given.  */
int
ds_allotment_borrow (TALLOC_CTX *owner, struct ds_allotment *allotment,
                     struct ds_str giver, uint64_t tokens)
{
  struct ds_borrowing *grown
      = talloc_realloc (owner, allotment->borrowed, struct ds_borrowing,
                        (unsigned)allotment->borrowed_count + 1);

  if (grown == NULL)
    return DS_ENOMEM;
  allotment->borrowed = grown;
  grown[allotment->borrowed_count++]
      = (struct ds_borrowing){ .giver = ds_str_copy (owner, giver),
                               .tokens = tokens };
  allotment->free += tokens;
  return 0;
}

/* Moves what others gave from their grants to this host's.  The giver's grant
   covers it: it was drawn and confirmed before it was given.  */
static int
enter_borrowings (struct ds_ledger_page *page,
                  struct ds_ledger_account *account, struct ds_str writer,
                  const struct ds_allotment_update *update)
{
  for (size_t i = 0; i < update->borrowed_count; i++)
    {
      uint64_t *from
          = ds_ledger_account_grant (page, account, update->borrowed[i].giver);
      uint64_t *to;
      uint64_t moved;

      if (from == NULL)
        return DS_ENOMEM;
      moved = least (update->borrowed[i].tokens, *from);
      *from -= moved;
      to = ds_ledger_account_grant (page, account, writer);
      if (to == NULL)
        return DS_ENOMEM;
      *to += moved;
    }
  return 0;
}

/* Enters this host's next update of one account into PAGE and remembers it
   until it is confirmed or withdrawn.  CLOSING returns all that is free.  */
int
ds_allotment_apply (struct ds_allotment *allotment,
                    struct ds_ledger_page *page, struct ds_str writer,
                    const struct ds_allotment_policy *policy, bool closing)
{
  struct ds_ledger_account *account
      = ds_ledger_page_account (page, allotment->workspace);
  struct ds_allotment_update *update = &allotment->update;
  uint64_t target;
  uint64_t taken;
  uint64_t rest;
  uint64_t *grant;
  int status;

  if (account == NULL)
    return DS_ENOMEM;
  if (allotment->version > account->version)
    {
      account->version = allotment->version;
      account->limit = allotment->limit;
    }
  *update = (struct ds_allotment_update){
    .settled = allotment->spent,
    .borrowed = allotment->borrowed,
    .borrowed_count = allotment->borrowed_count,
  };
  allotment->spent = 0;
  allotment->borrowed = NULL;
  allotment->borrowed_count = 0;
  status = enter_borrowings (page, account, writer, update);
  grant = ds_ledger_account_grant (page, account, writer);
  if (status != 0 || grant == NULL)
    return DS_ENOMEM;
  *grant -= least (update->settled, *grant);
  account->settled += update->settled;
  taken = account->settled + ds_ledger_account_granted (account);
  rest = account->limit > taken ? account->limit - taken : 0;
  allotment->ledger_rest = rest;
  target = closing ? 0 : ds_allotment_target (allotment, policy);
  if (target < allotment->wanted && !closing)
    target = allotment->wanted;
  if (allotment->free < target)
    update->drawn = least (target - allotment->free, rest);
  else if (closing
           || (double)allotment->free
                  > RETURN_ABOVE * (double)target
                        + (double)policy->minimum / (double)policy->hosts)
    update->returned = allotment->free - target;
  /* A lowered limit calls back what is free.  */
  if (taken > account->limit && update->returned < allotment->free)
    update->returned = least (allotment->free, taken - account->limit);
  allotment->free -= update->returned;
  *grant += update->drawn;
  *grant -= least (update->returned, *grant);
  return 0;
}

/* The update is in the ledger.  */
void
ds_allotment_confirm (struct ds_allotment *allotment)
{
  allotment->free += allotment->update.drawn;
  talloc_free (allotment->update.borrowed);
  allotment->update = (struct ds_allotment_update){ .drawn = 0 };
  allotment->revoked = false;
  allotment->known = true;
}

/* The update is not in the ledger and never will be.  */
void
ds_allotment_withdraw (struct ds_allotment *allotment)
{
  struct ds_allotment_update *update = &allotment->update;

  allotment->spent += update->settled;
  allotment->free += update->returned;
  if (update->borrowed_count > 0)
    {
      struct ds_borrowing *grown = talloc_realloc (
          NULL, update->borrowed, struct ds_borrowing,
          (unsigned)(update->borrowed_count + allotment->borrowed_count));

      if (grown != NULL)
        {
          for (size_t i = 0; i < allotment->borrowed_count; i++)
            grown[update->borrowed_count + i] = allotment->borrowed[i];
          talloc_free (allotment->borrowed);
          allotment->borrowed = grown;
          allotment->borrowed_count += update->borrowed_count;
        }
    }
  *update = (struct ds_allotment_update){ .drawn = 0 };
}

/* Takes what PAGE says of the account.  A newer limit than the own
   configuration's counts.  */
void
ds_allotment_observe (struct ds_allotment *allotment,
                      const struct ds_ledger_page *page)
{
  const struct ds_ledger_account *account
      = ds_ledger_page_find (page, allotment->workspace);
  uint64_t taken;

  if (account == NULL)
    return;
  ds_allotment_set_limit (allotment, account->limit, account->version);
  taken = account->settled + ds_ledger_account_granted (account);
  allotment->ledger_rest = account->limit > taken ? account->limit - taken : 0;
  allotment->ledger_settled = account->settled;
  allotment->known = true;
}
