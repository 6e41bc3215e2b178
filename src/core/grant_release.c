#include "core/grant_release.h"
#include "core/ledger_page.h"

/* Fewer tokens are not worth a record in the page.  */
#define LOCKED_MIN 1000
/* The usable part of what a holder has lies between these: a small budget
   keeps a locked part, and a workspace with little demand has tokens for a
   request without an update of the page.  */
#define USABLE_MAX_DIVISOR 2
#define USABLE_MIN_DIVISOR 8
/* Requests of the largest size seen lately that are usable at once.  */
#define USABLE_REQUESTS 3

static uint64_t
min_u64 (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

static uint64_t
subtract (uint64_t a, uint64_t b)
{
  return a > b ? a - b : 0;
}

/* Tokens of SCHEDULE that are not usable at NOW_MS.  It never increases with
   the time, so a later time than the true one gives a lower bound.  */
uint64_t
ds_release_remaining (const struct ds_release_schedule *schedule,
                      uint64_t now_ms)
{
  uint64_t elapsed_ms = subtract (now_ms, schedule->start_ms);
  uint64_t left_ms;

  if (elapsed_ms >= schedule->span_ms)
    return 0;
  /* Tokens times milliseconds may exceed 64 bits.  */
  left_ms = schedule->span_ms - elapsed_ms;
  return schedule->tokens / schedule->span_ms * left_ms
         + schedule->tokens % schedule->span_ms * left_ms / schedule->span_ms;
}

/* Makes those locked tokens usable whose time has come by NOW_MS of the
   monotonic clock, which stands still while the machine is suspended.

   While the outcome of an update is unknown, the page may have either
   schedule, and a successor of this process may reclaim what is left of
   either: the slower one counts.  */
void
ds_allotment_release (struct ds_allotment *allotment, uint64_t now_ms)
{
  struct ds_grant_lock *lock = &allotment->lock;
  uint64_t kept = ds_release_remaining (&lock->confirmed, now_ms);

  if (allotment->update.in_flight)
    {
      uint64_t proposed = ds_release_remaining (&lock->proposed, now_ms);

      kept = subtract (kept, lock->returned);
      proposed = subtract (proposed, lock->drawn);
      if (kept < proposed)
        kept = proposed;
    }
  if (lock->locked <= kept)
    return;
  allotment->free += lock->locked - kept;
  lock->locked = kept;
}

/* How many of HELD tokens are usable at once: the demand until the next
   renewal, several times over, and what requests wait for.  */
static uint64_t
usable_tokens (const struct ds_allotment *allotment,
               const struct ds_release_policy *policy, uint64_t held)
{
  double demand = allotment->demand + allotment->peer_demand;
  uint64_t usable = (uint64_t)(demand * (double)policy->usable_ms / 1000);
  uint64_t needed = allotment->waiting_tokens + allotment->peer_requested;

  if (usable < USABLE_REQUESTS * allotment->largest)
    usable = USABLE_REQUESTS * allotment->largest;
  if (usable < held / USABLE_MIN_DIVISOR)
    usable = held / USABLE_MIN_DIVISOR;
  if (usable > held / USABLE_MAX_DIVISOR || demand <= 0)
    usable = held / USABLE_MAX_DIVISOR;
  return usable > needed ? usable : needed;
}

/* The time over which LOCKED tokens become usable.

   Load: a home is cut off from the store for eight seconds and holds tokens
   for five.  Over a fixed span it rejected requests while it held tokens for
   them.  */
static uint64_t
release_span_ms (const struct ds_allotment *allotment,
                 const struct ds_release_policy *policy, uint64_t locked)
{
  double demand = allotment->demand + allotment->peer_demand;
  double rate = demand * (double)policy->rate_percent / 100 / 1000;
  double span_ms;

  if (rate <= 0)
    return policy->span_ms;
  span_ms = (double)locked / rate + 1;
  return span_ms < (double)policy->span_ms ? (uint64_t)span_ms
                                           : policy->span_ms;
}

/* Locks the part of ALLOTMENT that the home of a budget keeps for an outage of
   the store, as part of the update that ds_allotment_apply has built, and
   records in PAGE when it becomes usable.  Without a wall-clock time the
   schedule in the page stays, unless the update returns tokens of it.  */
int
ds_allotment_lock (struct ds_allotment *allotment, struct ds_ledger_page *page,
                   struct ds_str writer,
                   const struct ds_release_policy *policy,
                   const struct ds_release_moment *moment, bool closing)
{
  struct ds_grant_lock *lock = &allotment->lock;
  uint64_t held = allotment->free + lock->locked + allotment->update.drawn;
  uint64_t wanted = 0;
  struct ds_release_schedule record;

  if (moment->wall_ms == 0 && lock->returned == 0 && !closing)
    return 0;
  if (moment->wall_ms > 0 && allotment->home == DS_HOME_SELF
      && policy->span_ms > 0 && !closing)
    wanted = subtract (held, usable_tokens (allotment, policy, held));
  if (wanted < LOCKED_MIN)
    wanted = 0;
  if (wanted > lock->locked)
    {
      uint64_t more = wanted - lock->locked;

      lock->drawn = min_u64 (more, allotment->update.drawn);
      allotment->free -= more - lock->drawn;
      lock->locked += more - lock->drawn;
    }
  lock->proposed = (struct ds_release_schedule){ .tokens = wanted,
                                                 .start_ms = moment->now_ms };
  lock->proposed.span_ms = release_span_ms (allotment, policy, wanted);
  record = lock->proposed;
  record.start_ms = moment->wall_ms;
  return ds_ledger_page_set_release (page, allotment->workspace, writer,
                                     &record);
}

/* Returns to their budgets the tokens that writers have not released before
   they ended, removes their records, and those that say nothing any more.
   WRITER is this process.  Returns the number of tokens.

   Load: all hosts end at once, and their next incarnations write the pages.  A
   record that starts after the reported end is of a writer that ended later or
   runs, and is kept.  */
uint64_t
ds_ledger_page_reclaim (struct ds_ledger_page *page, struct ds_str writer,
                        const struct ds_writer_ends *ends)
{
  uint64_t total = 0;

  for (size_t i = page->release_count; i > 0 && ends->now_ms > 0; i--)
    {
      struct ds_ledger_release release = page->releases[i - 1];
      struct ds_ledger_account *account;
      uint64_t end_ms;
      uint64_t tokens = 0;

      if (ds_str_equal (release.writer, writer))
        continue;
      if (ends->find (release.writer, &end_ms, ends->user_data)
          && end_ms >= release.schedule.start_ms)
        tokens = ds_release_remaining (&release.schedule, end_ms);
      else if (ds_release_remaining (&release.schedule, ends->now_ms) > 0)
        continue;
      account = ds_ledger_page_find_or_add (page, release.workspace);
      if (account == NULL)
        continue;
      tokens = min_u64 (tokens, account->granted);
      account->granted -= tokens;
      total += tokens;
      page->releases[i - 1] = page->releases[--page->release_count];
    }
  return total;
}
