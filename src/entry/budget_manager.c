#include "entry/budget_manager.h"
#include "core/ledger_page.h"
#include "core/reservation_order.h"
#include "daisystep/metrics.h"
#include "entry/ledger_client.h"
#include "io/clock.h"
#include "io/timer.h"

#include <stdlib.h>

/* Interval of repeated token requests to other hosts while reservations wait;
   some round trips between zones.  */
#define TOKEN_REQUEST_INTERVAL_MS 30
/* The same for a giver, which asks for many hosts.  */
#define GIVER_REQUEST_INTERVAL_MS 8
/* A home that has not covered a pending reservation within this time may have
   failed; the host then draws from the ledger itself.  */
#define HOME_TIMEOUT_MS 120
/* The same in a fleet with givers, whose requests take three hops.  Hosts that
   draw themselves are in the way of the home: at 88 hosts, 20 hosts wrote one
   page after 120 ms, and two of three writes failed.  */
#define HOME_TIMEOUT_WITH_GIVERS_MS 350
/* Time that a reservation waits for tokens while the ledger is unreachable;
   several token requests to the other hosts.  */
#define UNREACHABLE_WAIT_MS 250
/* Time for which a giver waits for the home before it draws itself.  */
#define GIVER_TIMEOUT_MS 200
/* Time for which an exhausted ledger is not read again; otherwise each request
   would cost a call.  */
#define EXHAUSTED_CACHE_MS 1000
/* Time for which the ledger counts as unreachable after a failed call.  */
#define UNREACHABLE_CACHE_MS 1000
/* Interval of transfers of use and surplus to the home.  */
#define TRANSFER_INTERVAL_MS 600
/* Time for which a token request of another host raises what is drawn from the
   ledger.  */
#define PEER_REQUEST_TTL_MS 200
/* Interval of the demand estimate.  */
#define DEMAND_INTERVAL_S 0.2

struct ds_budget_pending_reservation
{
  struct ds_budget_manager *manager;
  struct ds_allotment *allotment;
  struct ds_budget_pending_reservation *next;
  uint64_t tokens;
  uint64_t rank;
  uint64_t expires_ms;
  uint64_t queued_ms;
  ds_budget_reserve_done_fn *on_done;
  void *user_data;
};

/* A ledger page with the accounts of this host's workspaces.  */
struct managed_page
{
  struct ds_ledger_client *client;
  struct ds_allotment **allotments;
  size_t count;
};

struct ds_budget_manager
{
  struct ds_budget_manager_options options;
  struct managed_page *pages;
  size_t page_count;
  struct ds_allotment **allotments;
  size_t count;
  struct ds_budget_pending_reservation *pending_reservations; /* by rank */
  struct ds_timer *wait_timer; /* runs while reservations wait */
  uint64_t last_tick_ms;
  uint64_t last_failure_ms; /* when a call last failed; 0 after a success */
  bool closing;
};

static void process_pending (struct ds_budget_manager *manager);

static struct ds_allotment *
find (const struct ds_budget_manager *manager, struct ds_str workspace)
{
  for (size_t i = 0; i < manager->count; i++)
    if (ds_str_equal (manager->allotments[i]->workspace, workspace))
      return manager->allotments[i];
  return NULL;
}

/* Whether reservations wait in an order other than that of arrival, and are
   refused at once when there are not enough tokens.  */
static bool
is_ordered (const struct ds_budget_manager *manager)
{
  return manager->options.release.span_ms > 0;
}

static struct managed_page *
find_page (struct ds_budget_manager *manager, struct ds_str workspace)
{
  uint32_t index = ds_ledger_page_index (workspace);

  for (size_t i = 0; i < manager->page_count; i++)
    if (ds_ledger_client_index (manager->pages[i].client) == index)
      return &manager->pages[i];
  return NULL;
}

static bool
is_exhausted (const struct ds_allotment *allotment, uint64_t now_ms)
{
  return allotment->known && allotment->ledger_ungranted == 0
         && allotment->lock.locked == 0
         && now_ms - allotment->ledger_observed_ms < EXHAUSTED_CACHE_MS;
}

/* True unless recent calls failed, or those to PAGE are slow or conflict.  */
static bool
page_is_reachable (const struct ds_budget_manager *manager,
                   const struct managed_page *page, uint64_t now_ms)
{
  return (manager->last_failure_ms == 0
          || now_ms - manager->last_failure_ms > UNREACHABLE_CACHE_MS)
         && ds_ledger_client_is_reachable (page->client, now_ms)
         && !ds_ledger_client_is_held (page->client, now_ms);
}

/* True if PAGE should be updated before the next interval.  */
static bool
is_urgent (const struct ds_budget_manager *manager,
           const struct managed_page *page, uint64_t now_ms)
{
  for (size_t i = 0; i < page->count; i++)
    {
      const struct ds_allotment *allotment = page->allotments[i];

      if (ds_allotment_needs_update (allotment, &manager->options.policy)
          && (allotment->suspended || !is_exhausted (allotment, now_ms)))
        return true;
      if (manager->closing
          && (allotment->lock.locked > 0
              || (!ds_allotment_has_source (allotment)
                  && (allotment->spent > 0 || allotment->free > 0))))
        return true;
    }
  return ds_ledger_client_is_unresolved (page->client)
         || ds_ledger_client_needs_raise (page->client, now_ms);
}

/* True if PAGE has use or surplus to write at the next interval.  */
static bool
has_unsettled_tokens (const struct ds_budget_manager *manager,
                      const struct managed_page *page)
{
  for (size_t i = 0; i < page->count; i++)
    {
      const struct ds_allotment *allotment = page->allotments[i];
      uint64_t target;

      if (allotment->home != DS_HOME_SELF)
        continue;
      target = ds_allotment_target (allotment, &manager->options.policy);
      if (allotment->spent > 0
          || allotment->free + allotment->lock.locked
                 > 2 * target + manager->options.policy.minimum)
        return true;
    }
  return false;
}

static void
update_if_urgent (struct ds_budget_manager *manager, struct managed_page *page,
                  uint64_t now_ms)
{
  if (is_urgent (manager, page, now_ms))
    ds_ledger_client_update (page->client, now_ms, manager->closing);
}

static void
update_urgent_pages (struct ds_budget_manager *manager, uint64_t now_ms)
{
  for (size_t i = 0; i < manager->page_count; i++)
    update_if_urgent (manager, &manager->pages[i], now_ms);
}

/* Lets requests of peers that had to wait be tried again.  */
static void
serve_peers (const struct ds_budget_manager *manager)
{
  manager->options.peers.on_tokens (manager->options.peers.user_data);
}

static void
release_all (struct ds_budget_manager *manager, uint64_t now_ms)
{
  for (size_t i = 0; i < manager->count; i++)
    ds_allotment_release (manager->allotments[i], now_ms);
}

static void
on_response (void *user_data)
{
  struct ds_budget_manager *manager = user_data;
  uint64_t now_ms = ds_clock_ms ();

  release_all (manager, now_ms);
  manager->last_failure_ms = 0;
  for (size_t i = 0; i < manager->page_count; i++)
    if (!ds_ledger_client_is_reachable (manager->pages[i].client, now_ms))
      manager->last_failure_ms = now_ms;
  process_pending (manager);
  serve_peers (manager);
  update_urgent_pages (manager, now_ms);
}

static void
on_timeout (void *user_data)
{
  struct ds_budget_manager *manager = user_data;

  manager->options.peers.on_store_timeout (manager->options.peers.user_data);
}

static struct ds_release_moment
release_moment (void *user_data)
{
  const struct ds_budget_manager *manager = user_data;

  return manager->options.peers.release_moment (
      manager->options.peers.user_data);
}

static struct ds_writer_ends
writer_ends (void *user_data)
{
  const struct ds_budget_manager *manager = user_data;

  return manager->options.peers.writer_ends (manager->options.peers.user_data);
}

static struct managed_page *
add_page (struct ds_budget_manager *manager, uint32_t index)
{
  struct ds_ledger_client_options options = {
    .store = manager->options.store,
    .writer = manager->options.writer,
    .policy = &manager->options.policy,
    .release = &manager->options.release,
    .index = index,
    .release_moment = release_moment,
    .writer_ends = writer_ends,
    .peers = { .state = manager->options.peers.reporter_state,
               .user_data = manager->options.peers.user_data },
    .on_response = on_response,
    .on_timeout = on_timeout,
    .user_data = manager,
  };
  struct managed_page *grown
      = talloc_realloc (manager, manager->pages, struct managed_page,
                        (unsigned)manager->page_count + 1);
  struct ds_ledger_client *client;

  if (grown == NULL)
    return NULL;
  manager->pages = grown;
  if (ds_ledger_client_new (&client, manager, &options) != 0)
    return NULL;
  grown[manager->page_count] = (struct managed_page){ .client = client };
  return &grown[manager->page_count++];
}

static struct ds_allotment *
find_or_add (struct ds_budget_manager *manager, struct ds_str workspace)
{
  struct ds_allotment *allotment = find (manager, workspace);
  struct managed_page *page = find_page (manager, workspace);
  struct ds_allotment **all;
  struct ds_allotment **in_page;

  if (allotment != NULL)
    return allotment;
  if (page == NULL)
    page = add_page (manager, ds_ledger_page_index (workspace));
  if (page == NULL)
    return NULL;
  all = talloc_realloc (manager, manager->allotments, struct ds_allotment *,
                        (unsigned)manager->count + 1);
  if (all == NULL)
    return NULL;
  manager->allotments = all;
  in_page = talloc_realloc (manager, page->allotments, struct ds_allotment *,
                            (unsigned)page->count + 1);
  if (in_page == NULL)
    return NULL;
  page->allotments = in_page;
  allotment = talloc_zero (manager, struct ds_allotment);
  if (allotment == NULL || ds_ledger_client_add (page->client, allotment) != 0)
    {
      talloc_free (allotment);
      return NULL;
    }
  allotment->workspace = ds_str_copy (allotment, workspace);
  all[manager->count++] = allotment;
  in_page[page->count++] = allotment;
  return allotment;
}

/* Applies what other hosts report about a budget.  The home's view of the
   ledger counts when it is newer than this host's.  */
static void
refresh_peer_state (const struct ds_budget_manager *manager,
                    struct ds_allotment *allotment)
{
  const struct ds_budget_peers *peers = &manager->options.peers;
  struct ds_budget_peer_state peer_state
      = peers->peer_state (ds_ledger_page_index (allotment->workspace),
                           allotment->workspace, peers->user_data);

  allotment->peer_free = peer_state.free;
  allotment->peer_demand = (double)peer_state.demand;
  allotment->demand_is_requested = peer_state.demand_is_requested;
  if (!ds_allotment_has_source (allotment) || !peer_state.home_ledger_known
      || peer_state.home_reported_ms <= allotment->ledger_observed_ms)
    return;
  allotment->known = true;
  allotment->ledger_ungranted = peer_state.home_ungranted;
  allotment->ledger_settled = peer_state.home_settled;
  allotment->ledger_observed_ms = peer_state.home_reported_ms;
  allotment->ledger_reporter = peer_state.home_id;
}

/* Requests what ALLOTMENT lacks, and a cushion, from its home alone if
   HOME_ONLY is set, else what it lacks from all hosts that hold some.  */
static void
request_tokens (struct ds_budget_manager *manager,
                struct ds_allotment *allotment, bool home_only,
                uint64_t now_ms)
{
  const struct ds_budget_peers *peers = &manager->options.peers;
  uint64_t cushion
      = (uint64_t)(allotment->demand * manager->options.policy.cushion_s);
  uint64_t wanted = allotment->waiting_tokens;
  uint64_t lacking;

  /* A giver also asks for what its group lacks.  */
  if (allotment->home == DS_HOME_GIVER
      && now_ms - allotment->peer_request_ms <= PEER_REQUEST_TTL_MS)
    wanted += allotment->peer_requested;
  lacking = wanted > allotment->free ? wanted - allotment->free : 0;

  if (now_ms - allotment->last_request_ms < (allotment->home == DS_HOME_GIVER
                                                 ? GIVER_REQUEST_INTERVAL_MS
                                                 : TOKEN_REQUEST_INTERVAL_MS)
      || lacking == 0)
    return;
  allotment->last_request_ms = now_ms;
  peers->request_tokens (ds_ledger_page_index (allotment->workspace),
                         allotment->workspace,
                         home_only ? lacking + cushion : lacking,
                         home_only ? lacking : 0, peers->user_data);
}

/* Creates a manager without tokens.  */
int
ds_budget_manager_new (struct ds_budget_manager **out, TALLOC_CTX *owner,
                       const struct ds_budget_manager_options *options)
{
  struct ds_budget_manager *manager
      = talloc_zero (owner, struct ds_budget_manager);

  if (manager == NULL)
    return DS_ENOMEM;
  manager->options = *options;
  manager->options.writer = ds_str_copy (manager, options->writer);
  manager->last_tick_ms = ds_clock_ms ();
  *out = manager;
  return 0;
}

/* Sets the policies and SETTLE_MS for later updates.  */
void
ds_budget_manager_set_policy (struct ds_budget_manager *manager,
                              const struct ds_allotment_policy *policy,
                              const struct ds_release_policy *release,
                              uint32_t settle_ms)
{
  manager->options.policy = *policy;
  manager->options.release = *release;
  manager->options.settle_ms = settle_ms;
}

/* Determines the current home of each page.  */
static void
update_homes (struct ds_budget_manager *manager)
{
  const struct ds_budget_peers *peers = &manager->options.peers;

  for (size_t i = 0; i < manager->page_count; i++)
    {
      const struct managed_page *page = &manager->pages[i];
      enum ds_allotment_home home = peers->home (
          ds_ledger_client_index (page->client), peers->user_data);

      for (size_t k = 0; k < page->count; k++)
        page->allotments[k]->home = home;
    }
}

/* Applies the limits of a newer configuration.  */
void
ds_budget_manager_configure (struct ds_budget_manager *manager,
                             const struct ds_routing_config *config)
{
  for (size_t i = 0; i < config->workspace_count; i++)
    {
      const struct ds_routing_workspace *workspace = &config->workspaces[i];
      struct ds_allotment *allotment;

      if (!workspace->has_budget)
        continue;
      allotment = find_or_add (manager, workspace->name);
      if (allotment != NULL)
        ds_allotment_set_limit (allotment, workspace->prepaid,
                                config->version);
    }
  update_homes (manager);
  update_urgent_pages (manager, ds_clock_ms ());
}

static void
tick_demand (struct ds_budget_manager *manager, uint64_t now_ms)
{
  double seconds = (double)(now_ms - manager->last_tick_ms) / 1000;

  if (seconds < DEMAND_INTERVAL_S)
    return;
  manager->last_tick_ms = now_ms;
  for (size_t i = 0; i < manager->count; i++)
    {
      struct ds_allotment *allotment = manager->allotments[i];

      ds_allotment_tick (allotment, seconds < 2 ? seconds : 2);
      refresh_peer_state (manager, allotment);
      if (now_ms - allotment->peer_request_ms > PEER_REQUEST_TTL_MS)
        allotment->peer_requested = 0;
    }
}

/* Transfers use and surplus to the homes on other hosts.  */
static void
transfer_to_homes (struct ds_budget_manager *manager, uint64_t now_ms)
{
  const struct ds_budget_peers *peers = &manager->options.peers;

  for (size_t i = 0; i < manager->count; i++)
    {
      struct ds_allotment *allotment = manager->allotments[i];
      struct ds_token_transfer transfer;

      if (!ds_allotment_has_source (allotment)
          || (!manager->closing && !allotment->suspended
              && now_ms - allotment->last_transfer_ms < TRANSFER_INTERVAL_MS))
        continue;
      if (!ds_allotment_make_transfer (allotment, &transfer,
                                       &manager->options.policy,
                                       manager->closing))
        continue;
      if (peers->transfer (ds_ledger_page_index (allotment->workspace),
                           allotment->workspace, &transfer, peers->user_data))
        allotment->last_transfer_ms = now_ms;
      else
        ds_allotment_receive (allotment, &transfer);
    }
}

/* Estimates demand, transfers tokens to the homes, completes expired
   reservations, and writes the ledger when due.  Call it several times a
   second.  */
void
ds_budget_manager_tick (struct ds_budget_manager *manager, uint64_t now_ms)
{
  update_homes (manager);
  tick_demand (manager, now_ms);
  release_all (manager, now_ms);
  process_pending (manager);
  transfer_to_homes (manager, now_ms);
  for (size_t i = 0; i < manager->page_count; i++)
    {
      struct managed_page *page = &manager->pages[i];

      if (is_urgent (manager, page, now_ms)
          || (now_ms - ds_ledger_client_updated_ms (page->client)
                  >= manager->options.settle_ms
              && has_unsettled_tokens (manager, page)))
        ds_ledger_client_update (page->client, now_ms, manager->closing);
    }
}

/* Keeps what this host and its peers have seen of the ledger: the store has
   returned from an older copy.  */
void
ds_budget_manager_begin_era (struct ds_budget_manager *manager,
                             uint64_t now_ms)
{
  for (size_t i = 0; i < manager->count; i++)
    refresh_peer_state (manager, manager->allotments[i]);
  for (size_t i = 0; i < manager->page_count; i++)
    ds_ledger_client_begin_era (manager->pages[i].client, now_ms);
}

/* Hands over all free tokens, and those that running requests leave unused as
   they end: to the homes, or to the ledger when there is no other host.  */
void
ds_budget_manager_close (struct ds_budget_manager *manager)
{
  if (manager->closing)
    return;
  manager->closing = true;
  ds_budget_manager_tick (manager, ds_clock_ms ());
}

/* True once all tokens and use of this host are with the other hosts or the
   ledger.  */
bool
ds_budget_manager_is_closed (const struct ds_budget_manager *manager)
{
  const struct ds_budget_peers *peers = &manager->options.peers;

  if (!manager->closing || peers->pending (peers->user_data) > 0)
    return false;
  for (size_t i = 0; i < manager->page_count; i++)
    if (!ds_ledger_client_is_idle (manager->pages[i].client))
      return false;
  for (size_t i = 0; i < manager->count; i++)
    if (manager->allotments[i]->free > 0 || manager->allotments[i]->spent > 0
        || manager->allotments[i]->lock.locked > 0)
      return false;
  return true;
}

/* Requests what the group of a giver lacks from the home or, if the home
   cannot get it in time, from the ledger.  */
static void
request_for_group (struct ds_budget_manager *manager,
                   struct ds_allotment *allotment, uint64_t now_ms)
{
  const struct ds_budget_peers *peers = &manager->options.peers;
  struct ds_budget_peer_state peer_state
      = peers->peer_state (ds_ledger_page_index (allotment->workspace),
                           allotment->workspace, peers->user_data);

  if (allotment->lacking_since_ms == 0)
    allotment->lacking_since_ms = now_ms;
  if (!peer_state.home_ledger_reachable
      || now_ms - allotment->lacking_since_ms > GIVER_TIMEOUT_MS)
    allotment->home_timed_out = true;
  request_tokens (manager, allotment, true, now_ms);
}

/* Grants another host up to TOKENS, of which it needs NEEDED at once, and
   returns how many.  */
uint64_t
ds_budget_manager_give (struct ds_budget_manager *manager,
                        struct ds_str workspace, uint64_t tokens,
                        uint64_t needed)
{
  struct ds_allotment *allotment = find (manager, workspace);
  struct managed_page *page = find_page (manager, workspace);
  const struct ds_budget_peers *peers = &manager->options.peers;
  uint64_t now_ms = ds_clock_ms ();
  uint64_t given;

  if (allotment == NULL || page == NULL)
    return 0;
  ds_allotment_release (allotment, now_ms);
  given = ds_allotment_give (allotment, tokens, needed, now_ms);
  if (given == 0 && allotment->demand_is_requested)
    allotment->peer_requested
        = peers->unmet (allotment->workspace, peers->user_data);
  if (given == 0 && allotment->home == DS_HOME_GIVER)
    request_for_group (manager, allotment, now_ms);
  update_if_urgent (manager, page, now_ms);
  return given;
}

/* Handles a transfer of tokens or use from another host.  */
void
ds_budget_manager_receive (struct ds_budget_manager *manager,
                           struct ds_str workspace,
                           const struct ds_token_transfer *transfer)
{
  struct ds_allotment *allotment = find_or_add (manager, workspace);

  if (allotment == NULL)
    return;
  ds_allotment_receive (allotment, transfer);
  process_pending (manager);
  serve_peers (manager);
}

/* Handles new holdings of another host.  */
void
ds_budget_manager_peers_updated (struct ds_budget_manager *manager)
{
  if (manager->pending_reservations != NULL)
    process_pending (manager);
}

static void
dequeue_reservation (struct ds_budget_pending_reservation *reservation)
{
  struct ds_budget_pending_reservation **at
      = &reservation->manager->pending_reservations;

  while (*at != NULL && *at != reservation)
    at = &(*at)->next;
  if (*at == reservation)
    *at = reservation->next;
  reservation->allotment->waiting_tokens -= reservation->tokens;
  if (reservation->allotment->waiting_tokens == 0)
    reservation->allotment->home_timed_out = false;
  /* Until the next look at those that wait.  */
  reservation->allotment->is_kept = false;
}

/* Decides a reservation that this host's share does not cover.  One that
   cannot be covered is refused at once; waiting helps only while the ledger or
   another host may have tokens.  */
static enum ds_budget_outcome
evaluate_reservation (struct ds_budget_manager *manager,
                      struct ds_allotment *allotment, uint64_t tokens,
                      uint64_t waited_ms, uint64_t now_ms)
{
  const struct ds_budget_peers *peers = &manager->options.peers;
  const struct managed_page *page = find_page (manager, allotment->workspace);
  bool reachable = page != NULL && page_is_reachable (manager, page, now_ms);
  struct ds_budget_peer_state peer_state;
  uint64_t used;

  refresh_peer_state (manager, allotment);
  used = allotment->ledger_settled + allotment->reserved + allotment->spent
         + allotment->update.settled;
  if (allotment->known && used + tokens > allotment->limit)
    return DS_BUDGET_EXHAUSTED;
  peer_state = peers->peer_state (ds_ledger_page_index (allotment->workspace),
                                  allotment->workspace, peers->user_data);
  if (is_ordered (manager) && !peer_state.demand_is_requested
      && now_ms - allotment->ledger_observed_ms < EXHAUSTED_CACHE_MS
      && !ds_allotment_may_cover (allotment, tokens))
    return DS_BUDGET_UNAVAILABLE;
  if (ds_allotment_has_source (allotment)
      && waited_ms < (peer_state.demand_is_requested
                          ? HOME_TIMEOUT_WITH_GIVERS_MS
                          : HOME_TIMEOUT_MS)
      && peer_state.home_reported_ms > 0
      && (peer_state.home_free + allotment->free >= tokens
          || (peer_state.home_ledger_reachable
              && !is_exhausted (allotment, now_ms))))
    {
      request_tokens (manager, allotment, true, now_ms);
      return DS_BUDGET_WAITING;
    }
  /* In a large fleet, hosts that try in vain are many: the watches find out
     when the store is back.  */
  if (peer_state.demand_is_requested
      && !ds_store_client_is_reachable (manager->options.store))
    reachable = false;
  if (reachable && !is_exhausted (allotment, now_ms))
    {
      allotment->home_timed_out = true;
      return DS_BUDGET_WAITING;
    }
  if (waited_ms >= UNREACHABLE_WAIT_MS
      || allotment->free + allotment->peer_free < tokens)
    return DS_BUDGET_UNAVAILABLE;
  request_tokens (manager, allotment, false, now_ms);
  return DS_BUDGET_WAITING;
}

static void
complete_reservation (struct ds_budget_pending_reservation *reservation,
                      enum ds_budget_outcome outcome)
{
  ds_budget_reserve_done_fn *on_done = reservation->on_done;
  void *user_data = reservation->user_data;

  dequeue_reservation (reservation);
  talloc_free (reservation);
  on_done (outcome, user_data);
}

/* Completes the pending reservations that can be decided, by rank.  One that
   cannot be decided delays those of its workspace only if it is aged.  */
static void
process_pending (struct ds_budget_manager *manager)
{
  uint64_t now_ms = ds_clock_ms ();
  struct ds_budget_pending_reservation *reservation;

  for (reservation = manager->pending_reservations; reservation != NULL;
       reservation = reservation->next)
    reservation->allotment->is_kept = false;
  reservation = manager->pending_reservations;
  while (reservation != NULL)
    {
      struct ds_budget_pending_reservation *next = reservation->next;
      struct ds_allotment *allotment = reservation->allotment;
      enum ds_budget_outcome outcome;

      ds_allotment_release (allotment, now_ms);
      if (!allotment->is_kept
          && ds_allotment_reserve (allotment, reservation->tokens))
        {
          complete_reservation (reservation, DS_BUDGET_GRANTED);
          /* The callback may have added or removed reservations.  */
          reservation = manager->pending_reservations;
          continue;
        }
      outcome = now_ms >= reservation->expires_ms
                    ? DS_BUDGET_UNAVAILABLE
                    : evaluate_reservation (
                        manager, allotment, reservation->tokens,
                        now_ms - reservation->queued_ms, now_ms);
      if (outcome != DS_BUDGET_WAITING)
        {
          complete_reservation (reservation, outcome);
          reservation = manager->pending_reservations;
          continue;
        }
      if (is_ordered (manager)
          && ds_reservation_is_aged (reservation->queued_ms, now_ms))
        allotment->is_kept = true;
      reservation = next;
    }
}

static void
on_wait_timer (void *user_data)
{
  struct ds_budget_manager *manager = user_data;

  manager->wait_timer = NULL;
  process_pending (manager);
  update_urgent_pages (manager, ds_clock_ms ());
  if (manager->pending_reservations != NULL && manager->wait_timer == NULL)
    manager->wait_timer
        = ds_timer_add (manager->options.ev, manager,
                        TOKEN_REQUEST_INTERVAL_MS, on_wait_timer, manager);
}

/* Queues a reservation that may be covered soon; null when out of memory.  */
static struct ds_budget_pending_reservation *
enqueue_reservation (struct ds_budget_manager *manager,
                     const struct ds_budget_pending_reservation *values)
{
  struct ds_budget_pending_reservation *added
      = talloc (manager, struct ds_budget_pending_reservation);
  struct ds_budget_pending_reservation **at = &manager->pending_reservations;

  if (added == NULL)
    return NULL;
  *added = *values;
  while (*at != NULL && (*at)->rank <= added->rank)
    at = &(*at)->next;
  added->next = *at;
  *at = added;
  if (manager->wait_timer == NULL)
    manager->wait_timer
        = ds_timer_add (manager->options.ev, manager,
                        TOKEN_REQUEST_INTERVAL_MS, on_wait_timer, manager);
  return added;
}

/* Reserves TOKENS of WORKSPACE for a request; those with the lowest URGENCY go
   first.  With DS_BUDGET_WAITING, ON_DONE
   gets the outcome at EXPIRES_MS at the latest, and *RESERVATION is valid
   until then.  */
enum ds_budget_outcome
ds_budget_reserve (struct ds_budget_manager *manager,
                   struct ds_budget_pending_reservation **reservation,
                   struct ds_str workspace, uint64_t tokens, uint32_t urgency,
                   uint64_t expires_ms, ds_budget_reserve_done_fn *on_done,
                   void *user_data)
{
  struct ds_allotment *allotment = find_or_add (manager, workspace);
  uint64_t now_ms = ds_clock_ms ();
  struct ds_budget_pending_reservation values = {
    .manager = manager,
    .allotment = allotment,
    .tokens = tokens,
    .rank = is_ordered (manager)
                ? ds_reservation_rank (now_ms, urgency, tokens)
                : now_ms,
    .expires_ms = expires_ms,
    .queued_ms = now_ms,
    .on_done = on_done,
    .user_data = user_data,
  };
  struct managed_page *page = find_page (manager, workspace);
  enum ds_budget_outcome outcome;

  if (allotment == NULL || page == NULL)
    return DS_BUDGET_UNAVAILABLE;
  allotment->demand_since_tick += tokens;
  if (tokens > allotment->largest)
    allotment->largest = tokens;
  if (!allotment->is_kept && ds_allotment_reserve (allotment, tokens))
    {
      update_if_urgent (manager, page, now_ms);
      return DS_BUDGET_GRANTED;
    }
  allotment->waiting_tokens += tokens;
  outcome = evaluate_reservation (manager, allotment, tokens, 0, now_ms);
  if (outcome == DS_BUDGET_WAITING)
    *reservation = enqueue_reservation (manager, &values);
  if (outcome != DS_BUDGET_WAITING || *reservation == NULL)
    {
      allotment->waiting_tokens -= tokens;
      if (allotment->waiting_tokens == 0)
        allotment->home_timed_out = false;
      /* Callers retry refused requests, so these count as half.  */
      allotment->demand_since_tick -= tokens / 2;
      return outcome != DS_BUDGET_WAITING ? outcome : DS_BUDGET_UNAVAILABLE;
    }
  update_if_urgent (manager, page, now_ms);
  return DS_BUDGET_WAITING;
}

/* Cancels a pending reservation without reserving tokens.  */
void
ds_budget_cancel_reservation (
    struct ds_budget_pending_reservation *reservation)
{
  dequeue_reservation (reservation);
  talloc_free (reservation);
}

/* Settles a request that used USED of the RESERVED tokens.  */
void
ds_budget_settle (struct ds_budget_manager *manager, struct ds_str workspace,
                  uint64_t reserved, uint64_t used)
{
  struct ds_allotment *allotment = find (manager, workspace);

  if (allotment == NULL)
    return;
  ds_allotment_settle (allotment, reserved, used);
  ds_metric_add (DS_METRIC_TOKENS_BILLED, (int64_t)used);
}

/* Returns this host's share of WORKSPACE's budget, or null.  */
const struct ds_allotment *
ds_budget_manager_find (const struct ds_budget_manager *manager,
                        struct ds_str workspace)
{
  return find (manager, workspace);
}

size_t
ds_budget_manager_count (const struct ds_budget_manager *manager)
{
  return manager->count;
}

const struct ds_allotment *
ds_budget_manager_at (const struct ds_budget_manager *manager, size_t index)
{
  return manager->allotments[index];
}
