#include "core/budget_home.h"
#include "entry/fleet_view_internal.h"
#include "io/clock.h"

/* Time beyond a member's timeout for which it stays a home, since a change of
   the home moves tokens.  */
#define HOME_FAILOVER_DELAY_MS 500
/* A host that has just started is no home, since it does not know the other
   hosts yet.  Two gossip intervals of the others.  */
#define HOME_STARTUP_DELAY_MS 400

/* Returns MEMBER's reported holding of a workspace.  */
static struct ds_token_holding
find_holding (const struct ds_fleet_peer *member, uint64_t hash)
{
  for (size_t i = 0; i < member->holding_count; i++)
    if (member->holdings[i].workspace == hash)
      return member->holdings[i];
  return (struct ds_token_holding){ .workspace = hash };
}

/* Queues a transfer that is sent to MEMBER until it is acknowledged; false
   when the queue is full.  */
bool
ds_fleet_add_transfer (struct ds_fleet_view *view,
                       struct ds_fleet_peer *member, struct ds_str workspace,
                       const struct ds_token_transfer *content)
{
  struct ds_str name;

  if (member->transfer_count == TRANSFERS_MAX)
    return false;
  name = ds_str_copy (member, workspace);
  if (name.data == NULL)
    return false;
  member->transfers[member->transfer_count++] = (struct ds_fleet_transfer){
    .number = ++view->transfer_number,
    .workspace = name,
    .content = *content,
  };
  return true;
}

/* Sets whether this host reports the ledger as reachable.  */
void
ds_fleet_view_set_ledger_reachable (struct ds_fleet_view *view, bool reachable)
{
  view->ledger_reachable = reachable;
}

/* Finds the home of PAGE by rendezvous hashing among the live hosts that are
   not draining, so that all hosts agree without communication and few pages
   move when a host joins or leaves.  *OUT is null for this host itself.  */
static enum ds_allotment_home
find_home (const struct ds_fleet_view *view, uint32_t page,
           struct ds_fleet_peer **out)
{
  uint64_t now_ms = ds_clock_ms ();
  uint64_t best = 0;
  struct ds_fleet_peer *home = NULL;

  *out = NULL;
  for (size_t i = 0; i < view->count; i++)
    {
      struct ds_fleet_peer *member = view->members[i];
      uint64_t weight;

      if (member->info.last_seen_ms == 0 || member->info.draining
          || !member->info.ready
          || now_ms - member->info.last_seen_ms
                 >= member->info.timeout_ms + HOME_FAILOVER_DELAY_MS)
        continue;
      weight = ds_budget_home_weight (member->info.host, page);
      if (home != NULL && weight <= best)
        continue;
      best = weight;
      home = member;
    }
  if (view->ready && !view->draining
      && now_ms - view->started_ms >= HOME_STARTUP_DELAY_MS
      && (home == NULL
          || ds_budget_home_weight (view->self.host, page) > best))
    return DS_HOME_SELF;
  *out = home;
  return home != NULL ? DS_HOME_OTHER : DS_HOME_UNKNOWN;
}

/* Returns which host is the home of PAGE.  */
enum ds_allotment_home
ds_fleet_view_home (const struct ds_fleet_view *view, uint32_t page)
{
  struct ds_fleet_peer *home;

  return find_home (view, page, &home);
}

/* Returns what live hosts last reported about WORKSPACE.  */
struct ds_budget_peer_state
ds_fleet_view_peer_state (const struct ds_fleet_view *view, uint32_t page,
                          struct ds_str workspace)
{
  uint64_t now_ms = ds_clock_ms ();
  uint64_t hash = ds_fleet_workspace_hash (workspace);
  struct ds_budget_peer_state peer_state = { .free = 0 };
  struct ds_fleet_peer *home;

  (void)find_home (view, page, &home);
  for (size_t i = 0; i < view->count; i++)
    {
      const struct ds_fleet_peer *member = view->members[i];
      struct ds_token_holding one;

      if (!ds_fleet_member_is_alive (&member->info, now_ms))
        continue;
      one = find_holding (member, hash);
      peer_state.free += one.tokens;
      peer_state.demand += one.demand;
      if (member != home)
        continue;
      peer_state.home_free = one.tokens;
      peer_state.home_ledger_known = one.ledger_known;
      peer_state.home_ungranted = one.ledger_ungranted;
      peer_state.home_settled = one.ledger_settled;
      peer_state.home_ledger_reachable = member->ledger_reachable;
      peer_state.home_reported_ms = member->info.last_seen_ms;
    }
  return peer_state;
}

/* Requests TOKENS of WORKSPACE.  With NEEDED above 0, the home alone is asked;
   otherwise all hosts that hold some, each for an amount in proportion to its
   holding.  */
void
ds_fleet_view_request_tokens (struct ds_fleet_view *view, uint32_t page,
                              struct ds_str workspace, uint64_t tokens,
                              uint64_t needed)
{
  uint64_t held = ds_fleet_view_peer_state (view, page, workspace).free;
  uint64_t hash = ds_fleet_workspace_hash (workspace);
  uint64_t now_ms = ds_clock_ms ();
  TALLOC_CTX *scratch = talloc_new (NULL);
  Daisystep__Gossip__Datagram datagram;
  Daisystep__Gossip__TokenAsk ask;
  Daisystep__Gossip__TokenAsk *asks[1] = { &ask };
  struct ds_fleet_peer *home;

  (void)find_home (view, page, &home);
  ds_fleet_fill_self (view, scratch, &datagram);
  datagram.partial = true;
  daisystep__gossip__token_ask__init (&ask);
  ask.workspace = talloc_strndup (scratch, workspace.data, workspace.length);
  ask.tokens = tokens;
  ask.needed = needed;
  datagram.asks = asks;
  datagram.n_asks = 1;
  if (needed > 0 && home != NULL)
    ds_fleet_send (view, home, &datagram, scratch);
  for (size_t i = 0; i < view->count && needed == 0; i++)
    {
      struct ds_fleet_peer *member = view->members[i];
      uint64_t own = find_holding (member, hash).tokens;

      if (own == 0 || !ds_fleet_member_is_alive (&member->info, now_ms))
        continue;
      ask.tokens = (uint64_t)((double)tokens * (double)own / (double)held) + 1;
      ask.needed = ask.tokens < own ? ask.tokens : own;
      ds_fleet_send (view, member, &datagram, scratch);
    }
  talloc_free (scratch);
}

/* Queues CONTENT for the home of PAGE; false when there is no other host as
   home or its queue is full.  */
bool
ds_fleet_view_transfer_tokens (struct ds_fleet_view *view, uint32_t page,
                               struct ds_str workspace,
                               const struct ds_token_transfer *content)
{
  struct ds_fleet_peer *home;

  return find_home (view, page, &home) == DS_HOME_OTHER
         && ds_fleet_add_transfer (view, home, workspace, content);
}

/* Counts transfers that live hosts have not acknowledged.  */
size_t
ds_fleet_view_pending_transfers (const struct ds_fleet_view *view)
{
  uint64_t now_ms = ds_clock_ms ();
  size_t pending = 0;

  for (size_t i = 0; i < view->count; i++)
    if (ds_fleet_member_is_alive (&view->members[i]->info, now_ms))
      pending += view->members[i]->transfer_count;
  return pending;
}
