#include "entry/fleet_view_internal.h"
#include "io/clock.h"

#include <string.h>

/* Time beyond a member's timeout for which it stays a home, since a change of
   the home moves tokens.  */
#define HOME_FAILOVER_DELAY_MS 500
/* A host that has just started is no home, since it does not know the other
   hosts yet: two gossip intervals of the others or, with relays, the time in
   which it finds them.  At 88 hosts that started together, 22 of 28 took
   themselves for the home of the same pages after 400 ms.  */
#define HOME_STARTUP_DELAY_MS 400
#define HOME_STARTUP_DELAY_WITH_RELAYS_MS 2500
/* Time for which a request for tokens that could not be met is kept; the
   requesting host repeats it sooner.  */
#define UNMET_REQUEST_TTL_MS 200
/* Time for which a host acts as a home after another host took it for one.  */
#define TAKEN_FOR_HOME_MS 2000
/* Time for which the reply of a giver or home describes it.  A host that once
   heard that the ledger was away would not ask again.  */
#define HOLDING_VALID_MS 1000
/* A host checks its connection to the store when one of this many hosts has
   lost its own.  */
#define DOUBT_DIVISOR 8

/* Returns the state of the exchange of tokens with MEMBER, which is created on
   first use; null when memory is exhausted.  */
struct ds_fleet_token_link *
ds_fleet_link (struct ds_fleet_peer *member)
{
  if (member->link == NULL)
    member->link = talloc_zero (member, struct ds_fleet_token_link);
  return member->link;
}

/* Returns MEMBER's reported holding of a workspace.  */
static struct ds_token_holding
find_holding (const struct ds_fleet_peer *member, uint64_t hash)
{
  const struct ds_fleet_token_link *link = member->link;

  for (size_t i = 0; link != NULL && i < link->holding_count; i++)
    if (link->holdings[i].workspace == hash)
      return link->holdings[i];
  return (struct ds_token_holding){ .workspace = hash };
}

/* Queues a transfer that is sent to MEMBER until it is acknowledged; false
   when the queue is full.  */
bool
ds_fleet_add_transfer (struct ds_fleet_view *view,
                       struct ds_fleet_peer *member, struct ds_str workspace,
                       const struct ds_token_transfer *content, bool to_home)
{
  struct ds_fleet_token_link *link = ds_fleet_link (member);
  struct ds_str name;

  if (link == NULL || link->transfer_count == TRANSFERS_MAX)
    return false;
  name = ds_str_copy (link, workspace);
  if (name.data == NULL)
    return false;
  link->transfers[link->transfer_count++] = (struct ds_fleet_transfer){
    .number = ++view->transfer_number,
    .workspace = name,
    .content = *content,
    .to_home = to_home,
  };
  return true;
}

/* Sets whether this host reports the ledger as reachable.  */
void
ds_fleet_view_set_ledger_reachable (struct ds_fleet_view *view, bool reachable)
{
  view->ledger_reachable = reachable;
}

/* Determines which hosts may be homes or givers.  */
void
ds_fleet_update_eligibility (struct ds_fleet_view *view, uint64_t now_ms)
{
  uint64_t delay_ms = ds_gossip_uses_relays (view->count)
                          ? HOME_STARTUP_DELAY_WITH_RELAYS_MS
                          : HOME_STARTUP_DELAY_MS;
  bool own = view->ready && !view->draining
             && now_ms - view->started_ms >= delay_ms;
  bool changed = own != view->eligible;
  size_t hosts = own ? 1 : 0;
  size_t with_ledger = own && view->ledger_reachable ? 1 : 0;
  bool need_ledger;

  view->eligible = own;
  changed |= ds_ledger_access_update (&view->ledger, view->ledger_reachable,
                                      now_ms);
  for (size_t i = 0; i < view->count; i++)
    {
      struct ds_fleet_peer *member = view->members[i];
      bool eligible
          = member->info.last_seen_ms > 0 && !member->info.draining
            && member->info.ready
            && now_ms - member->info.last_seen_ms
                   < member->info.timeout_ms + HOME_FAILOVER_DELAY_MS;

      changed |= eligible != member->eligible;
      changed |= ds_ledger_access_update (&member->ledger,
                                          member->ledger_reachable, now_ms);
      member->eligible = eligible;
      if (!eligible)
        continue;
      hosts++;
      if (member->ledger_reachable)
        with_ledger++;
    }
  need_ledger = ds_budget_homes_need_ledger (hosts, with_ledger);
  changed |= need_ledger != view->homes_need_ledger;
  view->homes_need_ledger = need_ledger;
  if (changed)
    view->membership_version++;
}

/* Returns whether many other hosts have lost the ledger.  The own watch of
   this host may then wait on a connection that is dead.  */
bool
ds_fleet_view_others_lost_ledger (const struct ds_fleet_view *view)
{
  size_t without_ledger = 0;
  size_t hosts = 1;

  for (size_t i = 0; i < view->count; i++)
    {
      if (!view->members[i]->eligible)
        continue;
      hosts++;
      if (!view->members[i]->ledger_reachable)
        without_ledger++;
    }
  return without_ledger * DOUBT_DIVISOR >= hosts;
}

/* Finds the home of PAGE by weighted rendezvous hashing among the eligible
   hosts, so that all hosts agree without communication and few pages move when
   a host joins or leaves.  */
static struct ds_fleet_choice
choose_root (const struct ds_fleet_view *view, uint32_t page)
{
  struct ds_fleet_choice choice = { .home = DS_HOME_UNKNOWN };
  bool large = ds_gossip_uses_relays (view->count);
  double best = 0;

  for (size_t i = 0; i < view->count; i++)
    {
      struct ds_fleet_peer *member = view->members[i];
      double score;

      if (!member->eligible
          || (view->homes_need_ledger
              && !ds_ledger_access_allows_home (&member->ledger, large)))
        continue;
      score
          = ds_capacity_score (ds_budget_home_weight (member->info.host, page),
                               member->info.capacity);
      if (choice.member != NULL && score <= best)
        continue;
      best = score;
      choice.home = DS_HOME_OTHER;
      choice.member = member;
    }
  if (view->eligible
      && (!view->homes_need_ledger
          || ds_ledger_access_allows_home (&view->ledger, large))
      && (choice.member == NULL
          || ds_capacity_score (ds_budget_home_weight (view->self.host, page),
                                view->self.capacity)
                 > best))
    choice = (struct ds_fleet_choice){ .home = DS_HOME_SELF };
  return choice;
}

/* Finds the giver of PAGE for one GROUP of this zone; null for this host.  */
static struct ds_fleet_peer *
choose_giver_of_group (const struct ds_fleet_view *view, uint32_t page,
                       uint32_t group)
{
  struct ds_fleet_peer *giver = NULL;
  double best = 0;

  for (size_t i = 0; i < view->count; i++)
    {
      struct ds_fleet_peer *member = view->members[i];
      double score;

      if (!member->eligible || !ds_fleet_same_zone (view, member))
        continue;
      score = ds_capacity_score (
          ds_budget_giver_weight (member->info.host, page, group),
          member->info.capacity);
      if (giver != NULL && score <= best)
        continue;
      best = score;
      giver = member;
    }
  if (view->eligible
      && (giver == NULL
          || ds_capacity_score (
                 ds_budget_giver_weight (view->self.host, page, group),
                 view->self.capacity)
                 > best))
    return NULL;
  return giver;
}

/* Finds the giver of PAGE for this host's group of its zone.  The giver of a
   group need not be one of it, so a host that gives to any group is a giver.

   Load: a large workspace sends 170 requests a second to 88 hosts.  With one
   home for all, each request asks the same host for tokens, which may have an
   eighth of a core.  */
static struct ds_fleet_choice
choose_giver (const struct ds_fleet_view *view, uint32_t page)
{
  size_t hosts = view->eligible ? 1 : 0;
  struct ds_fleet_choice choice = { .home = DS_HOME_OTHER };
  uint32_t groups;

  for (size_t i = 0; i < view->count; i++)
    if (view->members[i]->eligible
        && ds_fleet_same_zone (view, view->members[i]))
      hosts++;
  if (hosts == 0)
    return (struct ds_fleet_choice){ .home = DS_HOME_UNKNOWN };
  groups = ds_budget_giver_groups (hosts);
  for (uint32_t group = 0; group < groups; group++)
    if (choose_giver_of_group (view, page, group) == NULL)
      return (struct ds_fleet_choice){ .home = DS_HOME_GIVER };
  choice.member = choose_giver_of_group (
      view, page, ds_budget_giver_group (view->self.host, groups));
  return choice;
}

static struct ds_fleet_choice
cached_choice (const struct ds_fleet_view *view,
               struct ds_fleet_choice *choices, uint32_t page,
               struct ds_fleet_choice (*choose) (const struct ds_fleet_view *,
                                                 uint32_t))
{
  struct ds_fleet_choice *choice = &choices[page % DS_LEDGER_PAGES];

  if (choice->version != view->membership_version)
    {
      *choice = choose (view, page);
      choice->version = view->membership_version;
    }
  return *choice;
}

/* Whether another host has lately taken this one for the home of PAGE.  */
static bool
is_taken_for_home (const struct ds_fleet_view *view, uint32_t page)
{
  uint64_t taken_ms = view->taken_for_home_ms[page % DS_LEDGER_PAGES];

  return taken_ms > 0 && ds_clock_ms () - taken_ms < TAKEN_FOR_HOME_MS;
}

/* Finds the host from which this host gets tokens of PAGE: the home or, in a
   fleet with relays, the giver of its group, which gets them from the home.

   Hosts may disagree on the home for a while.  One that is taken for it acts
   as the home if it can, and never passes tokens on to a giver: two hosts that
   took each other for the source sent millions of tokens to and fro.  */
static struct ds_fleet_choice
find_source (struct ds_fleet_view *view, uint32_t page)
{
  struct ds_fleet_choice root
      = cached_choice (view, view->roots, page, choose_root);
  struct ds_fleet_choice giver;

  root.is_home = true;
  if (root.home != DS_HOME_OTHER || !ds_gossip_uses_relays (view->count))
    return root;
  if (is_taken_for_home (view, page))
    {
      if (view->eligible && view->ledger_reachable)
        root = (struct ds_fleet_choice){ .home = DS_HOME_SELF };
      return root;
    }
  giver = cached_choice (view, view->givers, page, choose_giver);
  switch (giver.home)
    {
    case DS_HOME_OTHER:
      giver.is_home = giver.member == root.member;
      return giver;
    case DS_HOME_GIVER:
      root.home = DS_HOME_GIVER;
      return root;
    default:
      return root;
    }
}

/* Notes that another host takes this one for the home of a workspace.  */
static void
note_home_role (struct ds_fleet_view *view, const char *workspace)
{
  uint32_t page = ds_ledger_page_index (ds_str_from_c (workspace));

  view->taken_for_home_ms[page % DS_LEDGER_PAGES] = ds_clock_ms ();
}

/* Returns the part of this host in the distribution of PAGE's tokens.  */
enum ds_allotment_home
ds_fleet_view_home (struct ds_fleet_view *view, uint32_t page)
{
  return find_source (view, page).home;
}

/* Returns what live hosts last reported about WORKSPACE.  In a fleet with
   relays only the source reports, when it is asked for tokens.  */
struct ds_budget_peer_state
ds_fleet_view_peer_state (struct ds_fleet_view *view, uint32_t page,
                          struct ds_str workspace)
{
  uint64_t now_ms = ds_clock_ms ();
  uint64_t hash = ds_fleet_workspace_hash (workspace);
  struct ds_fleet_peer *source = find_source (view, page).member;
  struct ds_budget_peer_state peer_state = {
    .demand_is_requested = ds_gossip_uses_relays (view->count),
  };

  for (size_t i = 0; i < view->count && !peer_state.demand_is_requested; i++)
    {
      const struct ds_fleet_peer *member = view->members[i];
      struct ds_token_holding one;

      if (!ds_fleet_member_is_alive (&member->info, now_ms))
        continue;
      one = find_holding (member, hash);
      peer_state.free += one.tokens;
      peer_state.demand += one.demand;
    }
  if (source != NULL && ds_fleet_member_is_alive (&source->info, now_ms))
    {
      struct ds_token_holding one = find_holding (source, hash);

      if (peer_state.demand_is_requested
          && now_ms - one.received_ms > HOLDING_VALID_MS)
        one = (struct ds_token_holding){ .workspace = hash };
      peer_state.home_free = one.tokens;
      peer_state.home_id = ds_fleet_incarnation_id (source);
      peer_state.home_ledger_known = one.ledger_known;
      peer_state.home_ungranted = one.ledger_ungranted;
      peer_state.home_settled = one.ledger_settled;
      peer_state.home_ledger_reachable = peer_state.demand_is_requested
                                             ? !one.ledger_away
                                             : source->ledger_reachable;
      peer_state.home_reported_ms
          = one.received_ms > 0 ? one.received_ms : source->info.last_seen_ms;
    }
  return peer_state;
}

/* Requests TOKENS of WORKSPACE.  With NEEDED above 0, the source alone is
   asked; otherwise all hosts that hold some, each for an amount in proportion
   to its holding.  */
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
  struct ds_fleet_choice choice = find_source (view, page);
  struct ds_fleet_peer *source = choice.member;

  ds_fleet_fill_self (view, scratch, &datagram);
  datagram.partial = true;
  daisystep__gossip__token_ask__init (&ask);
  ask.workspace = talloc_strndup (scratch, workspace.data, workspace.length);
  ask.tokens = tokens;
  ask.needed = needed;
  ask.to_home = choice.is_home;
  datagram.asks = asks;
  datagram.n_asks = 1;
  if (needed > 0 && source != NULL)
    ds_fleet_send (view, source, &datagram, scratch);
  for (size_t i = 0; i < view->count && needed == 0; i++)
    {
      struct ds_fleet_peer *member = view->members[i];
      uint64_t own = find_holding (member, hash).tokens;

      if (own == 0 || !ds_fleet_member_is_alive (&member->info, now_ms))
        continue;
      ask.tokens
          = held > 0
                ? (uint64_t)((double)tokens * (double)own / (double)held) + 1
                : tokens;
      ask.needed = ask.tokens < own ? ask.tokens : own;
      ds_fleet_send (view, member, &datagram, scratch);
    }
  talloc_free (scratch);
}

/* Queues CONTENT for the source of PAGE; false when there is no other host as
   source or its queue is full.  */
bool
ds_fleet_view_transfer_tokens (struct ds_fleet_view *view, uint32_t page,
                               struct ds_str workspace,
                               const struct ds_token_transfer *content)
{
  struct ds_fleet_choice choice = find_source (view, page);

  return choice.member != NULL
         && ds_fleet_add_transfer (view, choice.member, workspace, content,
                                   choice.is_home);
}

/* Counts transfers that live hosts have not acknowledged.  */
size_t
ds_fleet_view_pending_transfers (const struct ds_fleet_view *view)
{
  uint64_t now_ms = ds_clock_ms ();
  size_t pending = 0;

  for (size_t i = 0; i < view->count; i++)
    if (view->members[i]->link != NULL
        && ds_fleet_member_is_alive (&view->members[i]->info, now_ms))
      pending += view->members[i]->link->transfer_count;
  return pending;
}

/* Returns the identifier of a workspace in datagrams.  */
uint64_t
ds_fleet_workspace_hash (struct ds_str workspace)
{
  return ds_str_hash (workspace, 5);
}

/* Whether the transfers in DATAGRAM are meant for this incarnation.

   A host that died may have passed on or used what it received without an
   acknowledgement.  Its next incarnation got the same transfer again, and a
   workspace spent 8,581 tokens more than it had prepaid.  */
static bool
is_for_this_incarnation (const struct ds_fleet_view *view,
                         const Daisystep__Gossip__Datagram *datagram)
{
  return datagram->to_incarnation == 0
         || datagram->to_incarnation == view->self.incarnation;
}

/* Applies transfers that were not applied before.  One that cannot be
   acknowledged now is left until it is sent again.  */
static void
receive_transfers (struct ds_fleet_view *view, struct ds_fleet_peer *member,
                   const Daisystep__Gossip__Datagram *datagram)
{
  struct ds_fleet_token_link *link = ds_fleet_link (member);

  for (size_t i = 0; i < datagram->n_transfers && link != NULL; i++)
    {
      const Daisystep__Gossip__TokenTransfer *transfer
          = datagram->transfers[i];
      struct ds_token_transfer content = { .tokens = transfer->tokens,
                                           .spent = transfer->spent,
                                           .limit = transfer->limit,
                                           .version = transfer->version };
      bool seen = false;

      if (link->ack_count == TRANSFERS_MAX)
        return;
      for (size_t k = 0; k < SEEN_TRANSFERS_MAX && !seen; k++)
        seen = link->seen[k] == transfer->number;
      link->acks[link->ack_count++] = transfer->number;
      if (seen)
        continue;
      link->seen[link->seen_count++ % SEEN_TRANSFERS_MAX] = transfer->number;
      if (transfer->to_home)
        note_home_role (view, transfer->workspace);
      view->handlers.on_token_transfer (ds_str_from_c (transfer->workspace),
                                        &content, member->info.host,
                                        view->handlers.user_data);
    }
}

static void
receive_acks (struct ds_fleet_peer *member,
              const Daisystep__Gossip__Datagram *datagram)
{
  struct ds_fleet_token_link *link = member->link;

  for (size_t i = 0; i < datagram->n_transfer_acks && link != NULL; i++)
    for (size_t k = 0; k < link->transfer_count; k++)
      if (link->transfers[k].number == datagram->transfer_acks[i])
        {
          talloc_free ((char *)link->transfers[k].workspace.data);
          link->transfers[k] = link->transfers[--link->transfer_count];
          break;
        }
}

/* Takes over the holdings of MEMBER: all of them, or from a partial datagram
   those that it names.  What it says of the ledger counts in the same era of
   the store only.  */
static void
receive_holdings (struct ds_fleet_peer *member,
                  const Daisystep__Gossip__Datagram *datagram, bool same_era,
                  uint64_t now_ms)
{
  struct ds_fleet_token_link *link = ds_fleet_link (member);

  if (link == NULL)
    return;
  if (!datagram->partial)
    link->holding_count = 0;
  for (size_t i = 0; i < datagram->n_holdings; i++)
    {
      const Daisystep__Gossip__TokenHolding *message = datagram->holdings[i];
      size_t at = 0;

      while (at < link->holding_count
             && link->holdings[at].workspace != message->workspace)
        at++;
      if (at == DS_HOLDINGS_MAX)
        at = (size_t)(message->workspace % DS_HOLDINGS_MAX);
      if (at == link->holding_count)
        link->holding_count++;
      link->holdings[at] = (struct ds_token_holding){
        .workspace = message->workspace,
        .tokens = message->tokens,
        .demand = message->demand,
        .ledger_known = message->known && same_era,
        .ledger_ungranted = message->rest,
        .ledger_settled = message->settled,
        .ledger_away = message->ledger_away,
        .received_ms = now_ms,
      };
    }
}

/* Sends MEMBER its pending transfers and what this host holds of WORKSPACE or,
   without relays, of all workspaces.  */
static void
send_reply (struct ds_fleet_view *view, struct ds_fleet_peer *member,
            struct ds_str workspace)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  Daisystep__Gossip__Datagram reply;

  if (workspace.length > 0 && !ds_gossip_uses_relays (view->count))
    ds_fleet_fill_reports (view, scratch, &reply);
  else
    {
      ds_fleet_fill_self (view, scratch, &reply);
      reply.partial = true;
      if (workspace.length > 0)
        {
          struct ds_token_holding holding = view->handlers.get_holding (
              workspace, view->handlers.user_data);

          ds_fleet_add_holding (scratch, &reply, &holding);
        }
    }
  ds_fleet_send (view, member, &reply, scratch);
  talloc_free (scratch);
}

static size_t
find_unmet (const struct ds_fleet_view *view,
            const struct ds_fleet_peer *member, const char *workspace)
{
  size_t at = 0;

  while (at < view->unmet_count
         && (view->unmet[at].member != member
             || strcmp (view->unmet[at].workspace, workspace) != 0))
    at++;
  return at;
}

static void
remove_unmet (struct ds_fleet_view *view, size_t at)
{
  if (at >= view->unmet_count)
    return;
  talloc_free (view->unmet[at].workspace);
  view->unmet[at] = view->unmet[--view->unmet_count];
}

/* Keeps a request that could not be met until tokens arrive.  The newest
   request of a host for a workspace replaces an earlier one.  */
static void
keep_unmet (struct ds_fleet_view *view, struct ds_fleet_peer *member,
            const Daisystep__Gossip__TokenAsk *ask, uint64_t now_ms)
{
  size_t at = find_unmet (view, member, ask->workspace);

  if (at == UNMET_REQUESTS_MAX)
    return;
  if (at == view->unmet_count)
    view->unmet[view->unmet_count++] = (struct ds_fleet_unmet_request){
      .member = member,
      .workspace = talloc_strdup (view, ask->workspace),
    };
  view->unmet[at].tokens = ask->tokens;
  view->unmet[at].needed = ask->needed;
  view->unmet[at].received_ms = now_ms;
}

/* Returns the sum of the tokens of WORKSPACE that other hosts need at once and
   have not got.  */
uint64_t
ds_fleet_view_unmet_tokens (const struct ds_fleet_view *view,
                            struct ds_str workspace)
{
  uint64_t now_ms = ds_clock_ms ();
  uint64_t sum = 0;

  for (size_t i = 0; i < view->unmet_count; i++)
    if (now_ms - view->unmet[i].received_ms <= UNMET_REQUEST_TTL_MS
        && ds_str_equal (ds_str_from_c (view->unmet[i].workspace), workspace))
      sum += view->unmet[i].needed;
  return sum;
}

/* Tries to meet a request of MEMBER; false if there are not enough tokens.  */
static bool
meet_request (struct ds_fleet_view *view, struct ds_fleet_peer *member,
              struct ds_str workspace, uint64_t tokens, uint64_t needed)
{
  struct ds_token_transfer content = { .tokens = 0 };

  if (ds_fleet_link (member) == NULL
      || member->link->transfer_count == TRANSFERS_MAX)
    return false;
  content.tokens = view->handlers.on_token_request (workspace, tokens, needed,
                                                    view->handlers.user_data);
  return content.tokens > 0
         && ds_fleet_add_transfer (view, member, workspace, &content, false);
}

/* Meets requests of other hosts that had to wait, after tokens have
   arrived.  */
void
ds_fleet_view_serve_unmet_requests (struct ds_fleet_view *view)
{
  uint64_t now_ms = ds_clock_ms ();

  for (size_t i = view->unmet_count; i > 0; i--)
    {
      struct ds_fleet_unmet_request request = view->unmet[i - 1];
      struct ds_str workspace = ds_str_from_c (request.workspace);

      if (now_ms - request.received_ms <= UNMET_REQUEST_TTL_MS)
        {
          if (!meet_request (view, request.member, workspace, request.tokens,
                             request.needed))
            continue;
          send_reply (view, request.member, workspace);
        }
      remove_unmet (view, i - 1);
    }
}

/* Responds to MEMBER's token requests with tokens and, even without any, with
   this host's holdings.  */
static void
handle_requests (struct ds_fleet_view *view, struct ds_fleet_peer *member,
                 const Daisystep__Gossip__Datagram *datagram, uint64_t now_ms)
{
  struct ds_str workspace = DS_STR_EMPTY;

  for (size_t i = 0; i < datagram->n_asks; i++)
    {
      const Daisystep__Gossip__TokenAsk *ask = datagram->asks[i];

      workspace = ds_str_from_c (ask->workspace);
      if (ask->to_home)
        note_home_role (view, ask->workspace);
      /* Kept first, so that it is part of what is lacking.  */
      keep_unmet (view, member, ask, now_ms);
      if (meet_request (view, member, workspace, ask->tokens, ask->needed))
        remove_unmet (view, find_unmet (view, member, ask->workspace));
    }
  if (datagram->n_asks > 0
      || (member->link != NULL && member->link->ack_count > 0))
    send_reply (view, member, workspace);
}

/* Handles the parts of a datagram of MEMBER that are about tokens.  MEMBER
   knows the SAME_ERA of the store or another one.  */
void
ds_fleet_receive_tokens (struct ds_fleet_view *view,
                         struct ds_fleet_peer *member,
                         const Daisystep__Gossip__Datagram *datagram,
                         bool same_era)
{
  uint64_t now_ms = ds_clock_ms ();

  if (datagram->n_holdings > 0
      || (!datagram->partial && !ds_gossip_uses_relays (view->count)))
    receive_holdings (member, datagram, same_era, now_ms);
  receive_acks (member, datagram);
  if (datagram->n_transfers > 0 && is_for_this_incarnation (view, datagram))
    receive_transfers (view, member, datagram);
  else if (datagram->n_transfers > 0 || datagram->hello)
    send_reply (view, member, DS_STR_EMPTY);
  handle_requests (view, member, datagram, now_ms);
  if (datagram->n_holdings > 0)
    view->handlers.on_holdings (view->handlers.user_data);
}
