#include "shard_internal.h"

#include <string.h>

/* Minimum interval of token requests to peers for one budget: a tick, since
   near the end of a budget tokens that become free at a peer are used by other
   requests within a few hundred milliseconds.  */
#define ASK_INTERVAL_MS 50
/* Maximum number of peers asked at a time: all of the smallest fleet.  */
#define ASK_PEERS_MAX 8

static struct transfer *
find_transfer (GArray *transfers, uint64_t peer)
{
  for (guint i = 0; i < transfers->len; i++)
    {
      struct transfer *transfer
          = &g_array_index (transfers, struct transfer, i);

      if (transfer->peer == peer)
        return transfer;
    }
  return NULL;
}

static struct transfer *
find_or_add_transfer (GArray *transfers, uint64_t peer)
{
  struct transfer *transfer = find_transfer (transfers, peer);
  struct transfer added = { .peer = peer };

  if (transfer != NULL)
    return transfer;
  g_array_append_val (transfers, added);
  return &g_array_index (transfers, struct transfer, transfers->len - 1);
}

/* The grant of BUDGET, or null.  */
struct grant *
grant_find (struct ds_shard *shard, struct ds_str budget)
{
  char *key = g_strndup (budget.data, budget.length);
  struct grant *grant = g_hash_table_lookup (shard->grants, key);

  g_free (key);
  return grant;
}

/* The grant of BUDGET, added if it is new.  */
struct grant *
grant_find_or_add (struct ds_shard *shard, struct ds_str budget,
                   struct page *page)
{
  struct grant *grant = grant_find (shard, budget);

  if (grant != NULL)
    return grant;
  grant = g_new0 (struct grant, 1);
  grant->budget = ds_str_copy (NULL, budget);
  grant->page = page;
  grant->demand_started = shard->now;
  grant->waiting = g_ptr_array_new ();
  grant->sent = g_array_new (FALSE, TRUE, sizeof (struct transfer));
  grant->received = g_array_new (FALSE, TRUE, sizeof (struct transfer));
  g_ptr_array_add (page->grants, grant);
  g_hash_table_insert (shard->grants, g_strndup (budget.data, budget.length),
                       grant);
  return grant;
}

/* Frees a grant, as the destructor of the shard's table.  */
void
grant_release (gpointer data)
{
  struct grant *grant = data;

  talloc_free ((void *)grant->budget.data);
  g_ptr_array_free (grant->waiting, TRUE);
  g_array_free (grant->sent, TRUE);
  g_array_free (grant->received, TRUE);
  g_free (grant);
}

/* Tokens sent to peers that the page still counts as this host's.  */
static uint64_t
unsynced_sent (const struct grant *grant)
{
  uint64_t sum = 0;

  for (guint i = 0; i < grant->sent->len; i++)
    {
      const struct transfer *transfer
          = &g_array_index (grant->sent, struct transfer, i);

      if (transfer->total > transfer->page_total)
        sum += transfer->total - transfer->page_total;
    }
  return sum;
}

/* Tokens received that the page still counts as the giver's.  They can be used
   once the journal has committed them, so that a recovery of this host finds
   them.  */
static uint64_t
unsynced_received (const struct ds_shard *shard, const struct grant *grant)
{
  uint64_t committed = ds_journal_committed_sequence (shard->journal);
  uint64_t sum = 0;

  for (guint i = 0; i < grant->received->len; i++)
    {
      const struct transfer *transfer
          = &g_array_index (grant->received, struct transfer, i);

      if (transfer->total > transfer->page_total
          && transfer->sequence <= committed)
        sum += transfer->total - transfer->page_total;
    }
  return sum;
}

/* Tokens that a new request can reserve.  */
uint64_t
grant_available (const struct ds_shard *shard, const struct grant *grant)
{
  uint64_t held = grant->granted + unsynced_received (shard, grant);
  uint64_t taken = grant->reserved + grant->used + grant->returning
                   + unsynced_sent (grant);

  return held > taken ? held - taken : 0;
}

static void
rotate_demand (const struct ds_shard *shard, struct grant *grant)
{
  uint64_t age = shard->now - grant->demand_started;

  if (age < DEMAND_WINDOW_MS)
    return;
  grant->demand[1]
      = age < 2 * (uint64_t)DEMAND_WINDOW_MS ? grant->demand[0] : 0;
  grant->demand[0] = 0;
  grant->demand_started = shard->now;
}

/* Adds TOKENS of a new request to the demand for the budget.  */
void
grant_add_demand (struct ds_shard *shard, struct grant *grant, uint64_t tokens)
{
  rotate_demand (shard, grant);
  grant->demand[0] += tokens;
  grant->last_arrival = shard->now;
}

/* Tokens requested within the last one to two windows.  */
uint64_t
grant_demand (const struct ds_shard *shard, const struct grant *grant)
{
  if (shard->now - grant->demand_started >= 2 * (uint64_t)DEMAND_WINDOW_MS)
    return 0;
  return grant->demand[0] + grant->demand[1];
}

/* Tokens that all waiting requests need.  */
uint64_t
grant_waiting_tokens (const struct grant *grant)
{
  uint64_t sum = 0;

  for (guint i = 0; i < grant->waiting->len; i++)
    sum += ((const struct request *)g_ptr_array_index (grant->waiting, i))
               ->tokens;
  return sum;
}

/* Queues REQUEST until tokens are available.  Smallest first serves the most
   callers with the remaining tokens.  */
void
grant_enqueue (struct ds_shard *shard, struct grant *grant,
               struct request *request)
{
  guint position = 0;

  while (position < grant->waiting->len
         && ((struct request *)g_ptr_array_index (grant->waiting, position))
                    ->tokens
                <= request->tokens)
    position++;
  request->state = REQUEST_WAITING;
  request->wait_until = shard->now + shard->options.draw_wait_ms;
  g_ptr_array_insert (grant->waiting, (gint)position, request);
  if (!g_ptr_array_find (shard->waiting, grant, NULL))
    g_ptr_array_add (shard->waiting, grant);
  page_schedule_update (shard, grant->page, true);
}

/* Reserves tokens for as many waiting requests as the grant covers.  */
void
grant_serve_waiting (struct ds_shard *shard, struct grant *grant)
{
  while (grant->waiting->len > 0 && ds_journal_can_commit (shard->journal))
    {
      struct request *request = g_ptr_array_index (grant->waiting, 0);

      if (request->tokens > grant_available (shard, grant))
        return;
      g_ptr_array_remove_index (grant->waiting, 0);
      request_reserve (shard, request);
    }
}

/* Refuses every waiting request of the budget.  */
void
grant_refuse_waiting (struct ds_shard *shard, struct grant *grant,
                      enum ds_refusal reason, uint64_t retry_after_ms)
{
  while (grant->waiting->len > 0)
    {
      struct request *request = g_ptr_array_index (grant->waiting, 0);

      g_ptr_array_remove_index (grant->waiting, 0);
      request_refuse (shard, request, reason, retry_after_ms);
    }
}

static const struct ds_account *
account_of (const struct grant *grant)
{
  if (grant->page->ledger == NULL)
    return NULL;
  return ds_ledger_account (grant->page->ledger, grant->budget);
}

/* Tokens that other hosts hold and can still return.  */
static uint64_t
granted_to_others (const struct ds_shard *shard,
                   const struct ds_account *account)
{
  uint64_t sum = 0;

  for (size_t i = 0; i < account->holder_count; i++)
    if (account->holders[i].incarnation != shard->options.incarnation)
      sum += account->holders[i].granted;
  return sum;
}

/* Whether neither a draw nor other hosts can cover REQUEST, according to a
   page that was read after the request arrived.  */
static bool
is_exhausted (const struct ds_shard *shard, const struct grant *grant,
              const struct request *request)
{
  const struct ds_account *account = account_of (grant);
  uint64_t arrived = request->wait_until - shard->options.draw_wait_ms;

  if (account == NULL || grant->page->refreshed_at < arrived
      || account->budget_version < grant->budget_version)
    return false;
  return ds_account_ungranted (account) + granted_to_others (shard, account)
             + unsynced_sent (grant) + grant_available (shard, grant)
         < request->tokens;
}

static enum ds_refusal
refusal_after_wait (const struct ds_shard *shard, const struct grant *grant)
{
  if (shard->is_sealed)
    return DS_REFUSAL_SEALED;
  if (!ds_journal_can_commit (shard->journal))
    return DS_REFUSAL_JOURNAL_UNAVAILABLE;
  return grant->page->is_failing || !grant->page->is_loaded
             ? DS_REFUSAL_PLATFORM_UNAVAILABLE
             : DS_REFUSAL_BUDGET_EXHAUSTED;
}

static void
refuse_expired (struct ds_shard *shard, struct grant *grant)
{
  for (guint i = 0; i < grant->waiting->len;)
    {
      struct request *request = g_ptr_array_index (grant->waiting, i);
      bool is_expired = shard->now >= request->wait_until;

      if (!is_expired && !is_exhausted (shard, grant, request))
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (grant->waiting, i);
      request_refuse (shard, request,
                      is_expired ? refusal_after_wait (shard, grant)
                                 : DS_REFUSAL_BUDGET_EXHAUSTED,
                      shard->options.draw_wait_ms);
    }
}

/* Serves or refuses waiting requests, and asks peers for tokens for those that
   keep waiting.  */
void
grant_tick (struct ds_shard *shard, struct grant *grant)
{
  if (grant->waiting->len == 0)
    return;
  grant_serve_waiting (shard, grant);
  refuse_expired (shard, grant);
  if (grant->waiting->len == 0)
    return;
  grant_ask_peers (shard, grant);
  page_schedule_update (shard, grant->page, true);
}

/* The unsealed holder other than this host with the most tokens, but fewer
   than BELOW; null if there is none.  */
static const struct ds_holder *
next_holder (const struct ds_shard *shard, const struct ds_account *account,
             uint64_t below)
{
  const struct ds_holder *best = NULL;

  for (size_t i = 0; i < account->holder_count; i++)
    {
      const struct ds_holder *holder = &account->holders[i];

      if (holder->incarnation != shard->options.incarnation && !holder->sealed
          && holder->granted > 0 && holder->granted < below
          && (best == NULL || holder->granted > best->granted))
        best = holder;
    }
  return best;
}

static void
send_token_ask (struct ds_shard *shard, const struct grant *grant,
                uint64_t holder, uint64_t amount)
{
  struct ds_action *action = shard_add_action (shard, DS_ACTION_TOKEN_ASK);

  action->token_ask.budget
      = ds_str_copy (shard->actions->owner, grant->budget);
  action->token_ask.amount = amount;
  action->token_ask.holder = holder;
}

/* Asks holders of the budget for tokens when the page has too few for the
   smallest waiting request.  The largest holders come first, and each call
   continues where the last one ended, since a holder's tokens may all be in
   use.  While the page is unreachable, its holders may have changed and every
   peer with a link is asked.  */
void
grant_ask_peers (struct ds_shard *shard, struct grant *grant)
{
  const struct ds_account *account = account_of (grant);
  const struct request *request;
  uint64_t available = grant_available (shard, grant);

  if (grant->waiting->len == 0
      || (grant->last_ask_at > 0
          && shard->now - grant->last_ask_at < ASK_INTERVAL_MS))
    return;
  request = g_ptr_array_index (grant->waiting, 0);
  if (request->tokens <= available)
    return;
  if (page_is_unreachable (shard, grant->page))
    {
      grant->last_ask_at = shard->now;
      send_token_ask (shard, grant, DS_HOLDER_ALL_PEERS,
                      request->tokens - available);
      return;
    }
  if (account == NULL
      || ds_account_ungranted (account) + available >= request->tokens)
    return;
  grant->last_ask_at = shard->now;
  for (int peers = 0; peers < ASK_PEERS_MAX; peers++)
    {
      const struct ds_holder *holder = next_holder (
          shard, account,
          grant->ask_cursor > 0 ? grant->ask_cursor : UINT64_MAX);

      grant->ask_cursor = holder != NULL ? holder->granted : 0;
      if (holder == NULL)
        return;
      send_token_ask (shard, grant, holder->incarnation,
                      request->tokens - available);
    }
}

/* Whether ASKER, which lacks AMOUNT tokens, has priority over the requests
   waiting here: the host that lacks least is served first, so that hosts with
   waiting requests do not all keep tokens that none of them can use.  */
static bool
asker_has_priority (const struct ds_shard *shard, const struct grant *grant,
                    uint64_t amount, uint64_t asker)
{
  const struct request *request;
  uint64_t lacking;

  if (grant->waiting->len == 0)
    return true;
  request = g_ptr_array_index (grant->waiting, 0);
  lacking = request->tokens
            - MIN (request->tokens, grant_available (shard, grant));
  return amount != lacking ? amount < lacking
                           : asker < shard->options.incarnation;
}

/* Gives ASKER, which lacks AMOUNT tokens, what is available here.  The
   transfer is journaled and sent once the journal has committed it.  */
void
grant_token_ask (struct ds_shard *shard, struct grant *grant, uint64_t amount,
                 uint64_t asker)
{
  uint64_t available = grant_available (shard, grant);
  uint64_t given = amount < available ? amount : available;
  struct transfer *transfer;

  /* Without backups the transfer would be lost with this host, and the page
     could never account for the tokens that the asker uses.  */
  if (shard->is_sealed || shard->is_stopping
      || !ds_journal_has_backups (shard->journal)
      || !asker_has_priority (shard, grant, amount, asker))
    return;
  transfer = find_or_add_transfer (grant->sent, asker);
  if (given > 0)
    {
      struct ds_record record = {
        .kind = DS_RECORD_TRANSFER_OUT,
        .budget = grant->budget,
        .peer = asker,
        .tokens = transfer->total + given,
      };

      transfer->total += given;
      shard_append (shard, &transfer->sequence, &record);
      page_schedule_update (shard, grant->page, false);
    }
  /* If the asker repeats its request, the message may have been lost.  */
  transfer->announced = false;
  grant_announce_transfers (shard, grant);
}

/* Handles a message that GIVER has moved TOTAL tokens to this host so far.  */
void
grant_token_give (struct ds_shard *shard, struct grant *grant, uint64_t giver,
                  uint64_t total)
{
  struct transfer *transfer = find_or_add_transfer (grant->received, giver);
  struct ds_record record = {
    .kind = DS_RECORD_TRANSFER_IN,
    .budget = grant->budget,
    .peer = giver,
    .tokens = total,
  };

  if (shard->is_sealed || total <= transfer->total)
    return;
  transfer->total = total;
  shard_append (shard, &transfer->sequence, &record);
  grant_serve_waiting (shard, grant);
  page_schedule_update (shard, grant->page, false);
}

/* Sends the transfers that the journal has committed.  */
void
grant_announce_transfers (struct ds_shard *shard, struct grant *grant)
{
  uint64_t committed = ds_journal_committed_sequence (shard->journal);

  for (guint i = 0; i < grant->sent->len; i++)
    {
      struct transfer *transfer
          = &g_array_index (grant->sent, struct transfer, i);
      struct ds_action *action;

      if (transfer->announced || transfer->total == 0
          || transfer->sequence > committed || shard->is_sealed)
        continue;
      transfer->announced = true;
      action = shard_add_action (shard, DS_ACTION_TOKEN_GIVE);
      action->token_give.budget
          = ds_str_copy (shard->actions->owner, grant->budget);
      action->token_give.receiver = transfer->peer;
      action->token_give.total = transfer->total;
    }
}

/* Updates the transfers from and to this host with the totals in ACCOUNT.  */
void
grant_sync_transfers (const struct ds_shard *shard, struct grant *grant,
                      const struct ds_account *account)
{
  uint64_t self = shard->options.incarnation;

  for (size_t i = 0; i < account->transfer_count; i++)
    {
      const struct ds_transfer *recorded = &account->transfers[i];
      struct transfer *transfer;

      if (recorded->giver == self)
        {
          transfer = find_or_add_transfer (grant->sent, recorded->receiver);
          transfer->page_total = recorded->total;
        }
      else if (recorded->receiver == self)
        {
          transfer = find_or_add_transfer (grant->received, recorded->giver);
          transfer->page_total = recorded->total;
          if (transfer->total < recorded->total)
            transfer->total = recorded->total;
        }
    }
}
