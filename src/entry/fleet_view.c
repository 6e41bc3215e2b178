#include "base/decision_log.h"
#include "core/gossip_pace.h"
#include "core/placement.h"
#include "entry/fleet_view_internal.h"
#include "io/clock.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Fits an Ethernet frame.  */
#define DATAGRAM_BYTES_MAX 1400
#define DATAGRAM_BUFFER_BYTES 65536
/* Prompt parts in one datagram; the oldest are sent first.  */
#define PARTS_PER_DATAGRAM_MAX 24

static struct ds_fleet_peer *
find (const struct ds_fleet_view *view, struct ds_str host)
{
  for (size_t i = 0; i < view->count; i++)
    if (ds_str_equal (view->members[i]->info.host, host))
      return view->members[i];
  return NULL;
}

static char *
c_string (TALLOC_CTX *owner, struct ds_str text)
{
  return talloc_strndup (owner, text.data, text.length);
}

static void
send_to (struct ds_fleet_view *view, struct ds_fleet_peer *member,
         Daisystep__Gossip__Datagram *datagram)
{
  uint8_t bytes[4 * DATAGRAM_BYTES_MAX];
  size_t size = daisystep__gossip__datagram__get_packed_size (datagram);

  if (size > sizeof bytes)
    return;
  (void)daisystep__gossip__datagram__pack (datagram, bytes);
  /* A lost datagram is followed by that of the next interval.  */
  (void)sendto (view->fd, bytes, size, MSG_DONTWAIT,
                (struct sockaddr *)&member->address.storage,
                member->address.length);
}

/* Fills the fields common to all datagrams.  */
void
ds_fleet_fill_self (struct ds_fleet_view *view, TALLOC_CTX *owner,
                    Daisystep__Gossip__Datagram *datagram)
{
  daisystep__gossip__datagram__init (datagram);
  datagram->host = c_string (owner, view->self.host);
  datagram->incarnation = view->self.incarnation;
  datagram->zone = c_string (owner, view->self.zone);
  datagram->region = c_string (owner, view->self.region);
  datagram->caller_address = c_string (owner, view->self.caller_address);
  datagram->gossip_address = c_string (owner, view->self.gossip_address);
  datagram->draining = view->draining;
  datagram->ready = view->ready;
  datagram->sequence = ++view->sequence;
  datagram->ledger_near = view->ledger_reachable;
}

/* Returns the identifier of a workspace in datagrams.  */
uint64_t
ds_fleet_workspace_hash (struct ds_str workspace)
{
  return ds_str_hash (workspace, 5);
}

static void
fill_holdings (struct ds_fleet_view *view, TALLOC_CTX *owner,
               Daisystep__Gossip__Datagram *datagram)
{
  struct ds_token_holding holdings[DS_HOLDINGS_MAX];
  size_t count
      = view->handlers.list_holdings (holdings, view->handlers.user_data);

  datagram->holdings = talloc_array (owner, Daisystep__Gossip__TokenHolding *,
                                     DS_HOLDINGS_MAX);
  for (size_t i = 0; i < count && datagram->holdings != NULL; i++)
    {
      Daisystep__Gossip__TokenHolding *holding
          = talloc (owner, Daisystep__Gossip__TokenHolding);

      daisystep__gossip__token_holding__init (holding);
      holding->workspace = holdings[i].workspace;
      holding->tokens = holdings[i].tokens;
      holding->demand = holdings[i].demand;
      holding->known = holdings[i].ledger_known;
      holding->rest = holdings[i].ledger_ungranted;
      holding->settled = holdings[i].ledger_settled;
      datagram->holdings[datagram->n_holdings++] = holding;
    }
}

static int
compare_loads (const void *a, const void *b)
{
  const Daisystep__Gossip__ReplicaLoad *const *left = a;
  const Daisystep__Gossip__ReplicaLoad *const *right = b;

  if ((*left)->prefill_tokens != (*right)->prefill_tokens)
    return (*left)->prefill_tokens < (*right)->prefill_tokens ? 1 : -1;
  return (int)(*right)->running - (int)(*left)->running;
}

static void
fill_loads (struct ds_fleet_view *view, TALLOC_CTX *owner,
            Daisystep__Gossip__Datagram *datagram)
{
  size_t count = ds_replica_set_count (view->replicas);
  Daisystep__Gossip__ReplicaLoad **loads = talloc_array (
      owner, Daisystep__Gossip__ReplicaLoad *, (unsigned)count + 1);
  size_t used = 0;

  for (size_t i = 0; i < count && loads != NULL; i++)
    {
      const struct ds_replica *replica = ds_replica_set_at (view->replicas, i);

      if (replica->local_load.running == 0)
        continue;
      loads[used] = talloc (loads, Daisystep__Gossip__ReplicaLoad);
      daisystep__gossip__replica_load__init (loads[used]);
      loads[used]->replica = replica->hash;
      loads[used]->running = replica->local_load.running;
      loads[used]->prefill_tokens = replica->local_load.prefill_tokens;
      used++;
    }
  if (used > LOADS_PER_DATAGRAM_MAX)
    {
      qsort (loads, used, sizeof (Daisystep__Gossip__ReplicaLoad *),
             compare_loads);
      used = LOADS_PER_DATAGRAM_MAX;
    }
  datagram->loads = loads;
  datagram->n_loads = used;
}

static void
fill_crashes (struct ds_fleet_view *view, TALLOC_CTX *owner,
              Daisystep__Gossip__Datagram *datagram)
{
  Daisystep__Gossip__Crash **crashes = talloc_array (
      owner, Daisystep__Gossip__Crash *, CRASHES_PER_DATAGRAM_MAX);
  uint64_t digest;
  uint64_t replica;

  while (view->announced_count < CRASHES_PER_DATAGRAM_MAX
         && ds_crash_counter_take_unsent (view->crashes, &digest, &replica))
    {
      struct ds_fleet_crash *announced
          = &view->announced[view->announced_count++];

      daisystep__gossip__crash__init (&announced->message);
      announced->message.digest = digest;
      announced->message.replica = replica;
      announced->repeats = CRASH_REPEATS;
    }
  for (size_t i = 0; i < view->announced_count && crashes != NULL; i++)
    crashes[datagram->n_crashes++] = &view->announced[i].message;
  datagram->crashes = crashes;
}

/* Adds the prompt parts that some hosts have not been sent yet.

   Load: 73 hosts send prompts that share 200 parts.  If a part is announced to
   the hosts of one interval only, the others make further replicas prefill it
   again.  */
static void
fill_cached_parts (struct ds_fleet_view *view, TALLOC_CTX *owner,
                   Daisystep__Gossip__Datagram *datagram)
{
  size_t count = view->cached_part_count < PARTS_PER_DATAGRAM_MAX
                     ? view->cached_part_count
                     : PARTS_PER_DATAGRAM_MAX;
  size_t kept = 0;

  datagram->reads = talloc_array (owner, Daisystep__Gossip__PartRead *,
                                  PARTS_PER_DATAGRAM_MAX);
  for (size_t i = 0; i < count && datagram->reads != NULL; i++)
    {
      Daisystep__Gossip__PartRead *read
          = talloc (owner, Daisystep__Gossip__PartRead);

      daisystep__gossip__part_read__init (read);
      read->replica = view->cached_parts[i].replica;
      read->part = view->cached_parts[i].part;
      datagram->reads[datagram->n_reads++] = read;
    }
  for (size_t i = 0; i < view->cached_part_count; i++)
    {
      if (i < count && view->cached_parts[i].intervals_left <= 1)
        continue;
      view->cached_parts[kept] = view->cached_parts[i];
      if (i < count)
        view->cached_parts[kept].intervals_left--;
      kept++;
    }
  view->cached_part_count = kept;
}

static void
expire_crashes (struct ds_fleet_view *view)
{
  for (size_t i = view->announced_count; i > 0; i--)
    if (--view->announced[i - 1].repeats == 0)
      view->announced[i - 1] = view->announced[--view->announced_count];
}

/* Adds transfers and acknowledgements for MEMBER.  */
static void
fill_transfers (struct ds_fleet_peer *member, TALLOC_CTX *owner,
                Daisystep__Gossip__Datagram *datagram)
{
  datagram->n_transfers = 0;
  datagram->transfers = talloc_array (
      owner, Daisystep__Gossip__TokenTransfer *, TRANSFERS_MAX);
  for (size_t i = 0; i < member->transfer_count && datagram->transfers != NULL;
       i++)
    {
      const struct ds_fleet_transfer *pending = &member->transfers[i];
      Daisystep__Gossip__TokenTransfer *transfer
          = talloc (owner, Daisystep__Gossip__TokenTransfer);

      daisystep__gossip__token_transfer__init (transfer);
      transfer->number = pending->number;
      transfer->workspace = c_string (owner, pending->workspace);
      transfer->tokens = pending->content.tokens;
      transfer->spent = pending->content.spent;
      transfer->limit = pending->content.limit;
      transfer->version = pending->content.version;
      datagram->transfers[datagram->n_transfers++] = transfer;
    }
  datagram->transfer_acks = member->acks;
  datagram->n_transfer_acks = member->ack_count;
}

/* Sends DATAGRAM to MEMBER, with its transfers and acknowledgements.  */
void
ds_fleet_send (struct ds_fleet_view *view, struct ds_fleet_peer *member,
               Daisystep__Gossip__Datagram *datagram, TALLOC_CTX *owner)
{
  fill_transfers (member, owner, datagram);
  send_to (view, member, datagram);
  member->ack_count = 0;
}

static struct ds_fleet_peer *
add_member (struct ds_fleet_view *view, struct ds_str host)
{
  struct ds_fleet_peer **grown = talloc_realloc (
      view, view->members, struct ds_fleet_peer *, (unsigned)view->count + 1);
  struct ds_fleet_peer *member;

  if (grown == NULL)
    return NULL;
  view->members = grown;
  member = talloc_zero (view, struct ds_fleet_peer);
  if (member == NULL)
    return NULL;
  member->info.host = ds_str_copy (member, host);
  member->info.zone = DS_STR_EMPTY;
  member->info.region = DS_STR_EMPTY;
  member->info.caller_address = DS_STR_EMPTY;
  member->info.timeout_ms = ds_gossip_timeout_ms (view->count);
  grown[view->count++] = member;
  return member;
}

static void
replace_text (TALLOC_CTX *owner, struct ds_str *text, const char *value)
{
  struct ds_str wrapped = ds_str_from_c (value);

  if (ds_str_equal (*text, wrapped))
    return;
  if (text->length > 0)
    talloc_free ((char *)text->data);
  *text = ds_str_copy (owner, wrapped);
}

/* Applies transfers that were not applied before.  One that cannot be
   acknowledged now is left until it is sent again.  */
static void
receive_transfers (struct ds_fleet_view *view, struct ds_fleet_peer *member,
                   const Daisystep__Gossip__Datagram *datagram)
{
  for (size_t i = 0; i < datagram->n_transfers; i++)
    {
      const Daisystep__Gossip__TokenTransfer *transfer
          = datagram->transfers[i];
      struct ds_token_transfer content = { .tokens = transfer->tokens,
                                           .spent = transfer->spent,
                                           .limit = transfer->limit,
                                           .version = transfer->version };
      bool seen = false;

      if (member->ack_count == TRANSFERS_MAX)
        return;
      for (size_t k = 0; k < SEEN_TRANSFERS_MAX && !seen; k++)
        seen = member->seen[k] == transfer->number;
      member->acks[member->ack_count++] = transfer->number;
      if (seen)
        continue;
      member->seen[member->seen_count++ % SEEN_TRANSFERS_MAX]
          = transfer->number;
      view->handlers.on_token_transfer (ds_str_from_c (transfer->workspace),
                                        &content, member->info.host,
                                        view->handlers.user_data);
    }
}

static void
receive_acks (struct ds_fleet_peer *member,
              const Daisystep__Gossip__Datagram *datagram)
{
  for (size_t i = 0; i < datagram->n_transfer_acks; i++)
    for (size_t k = 0; k < member->transfer_count; k++)
      if (member->transfers[k].number == datagram->transfer_acks[i])
        {
          talloc_free ((char *)member->transfers[k].workspace.data);
          member->transfers[k] = member->transfers[--member->transfer_count];
          break;
        }
}

/* Responds to MEMBER's token requests with tokens and, even without any, with
   this host's holdings.  */
static void
handle_token_requests (struct ds_fleet_view *view,
                       struct ds_fleet_peer *member,
                       const Daisystep__Gossip__Datagram *datagram)
{
  TALLOC_CTX *scratch;
  Daisystep__Gossip__Datagram reply;

  for (size_t i = 0; i < datagram->n_asks; i++)
    {
      const Daisystep__Gossip__TokenAsk *ask = datagram->asks[i];
      struct ds_str workspace = ds_str_from_c (ask->workspace);
      struct ds_token_transfer content = { .tokens = 0 };

      if (member->transfer_count == TRANSFERS_MAX)
        break;
      content.tokens = view->handlers.on_token_request (
          workspace, ask->tokens, ask->needed, view->handlers.user_data);
      if (content.tokens > 0)
        (void)ds_fleet_add_transfer (view, member, workspace, &content);
    }
  if (datagram->n_asks == 0 && member->ack_count == 0)
    return;
  scratch = talloc_new (NULL);
  ds_fleet_fill_self (view, scratch, &reply);
  if (datagram->n_asks > 0)
    {
      fill_loads (view, scratch, &reply);
      fill_holdings (view, scratch, &reply);
    }
  reply.partial = datagram->n_asks == 0;
  ds_fleet_send (view, member, &reply, scratch);
  talloc_free (scratch);
}

static void
receive_loads (struct ds_fleet_peer *member,
               const Daisystep__Gossip__Datagram *datagram)
{
  member->load_count = 0;
  for (size_t i = 0; i < datagram->n_loads && i < LOADS_PER_DATAGRAM_MAX; i++)
    member->loads[member->load_count++] = (struct ds_fleet_load){
      .replica = datagram->loads[i]->replica,
      .running = datagram->loads[i]->running,
      .prefill_tokens = datagram->loads[i]->prefill_tokens,
    };
}

static void
receive_holdings (struct ds_fleet_peer *member,
                  const Daisystep__Gossip__Datagram *datagram)
{
  member->holding_count = 0;
  for (size_t i = 0; i < datagram->n_holdings && i < DS_HOLDINGS_MAX; i++)
    member->holdings[member->holding_count++] = (struct ds_token_holding){
      .workspace = datagram->holdings[i]->workspace,
      .tokens = datagram->holdings[i]->tokens,
      .demand = datagram->holdings[i]->demand,
      .ledger_known = datagram->holdings[i]->known,
      .ledger_ungranted = datagram->holdings[i]->rest,
      .ledger_settled = datagram->holdings[i]->settled,
    };
}

static void
receive_cached_parts (struct ds_fleet_view *view,
                      const Daisystep__Gossip__Datagram *datagram,
                      uint64_t now_ms)
{
  for (size_t i = 0; i < datagram->n_reads; i++)
    {
      struct ds_replica *replica = ds_replica_set_find_by_hash (
          view->replicas, datagram->reads[i]->replica);

      if (replica != NULL)
        (void)ds_placement_record_part (replica, datagram->reads[i]->part,
                                        now_ms);
    }
}

static void
receive_datagram (struct ds_fleet_view *view,
                  const Daisystep__Gossip__Datagram *datagram)
{
  struct ds_str host = ds_str_from_c (datagram->host);
  struct ds_socket_address address;
  struct ds_fleet_peer *member;
  uint64_t now_ms = ds_clock_ms ();

  if (ds_str_equal (host, view->self.host) || host.length == 0
      || ds_socket_address_parse (&address,
                                  ds_str_from_c (datagram->gossip_address))
             != 0)
    return;
  member = find (view, host);
  if (member == NULL)
    member = add_member (view, host);
  if (member == NULL || datagram->incarnation < member->info.incarnation)
    return;
  if (datagram->incarnation > member->info.incarnation)
    {
      /* Transfers to the previous incarnation are lost with it.  */
      member->transfer_count = 0;
      member->seen_count = 0;
      memset (member->seen, 0, sizeof member->seen);
      member->info.incarnation = datagram->incarnation;
    }
  member->address = address;
  member->info.last_seen_ms = now_ms;
  member->info.draining = datagram->draining;
  member->info.ready = datagram->ready;
  member->ledger_reachable = datagram->ledger_near;
  replace_text (member, &member->info.zone, datagram->zone);
  replace_text (member, &member->info.region, datagram->region);
  replace_text (member, &member->info.caller_address,
                datagram->caller_address);
  if (!datagram->partial)
    {
      receive_loads (member, datagram);
      receive_holdings (member, datagram);
    }
  receive_cached_parts (view, datagram, now_ms);
  for (size_t i = 0; i < datagram->n_crashes; i++)
    (void)ds_crash_counter_record (view->crashes, datagram->crashes[i]->digest,
                                   datagram->crashes[i]->replica, now_ms);
  receive_acks (member, datagram);
  receive_transfers (view, member, datagram);
  handle_token_requests (view, member, datagram);
  view->handlers.on_datagram (view->handlers.user_data);
}

static void
on_readable (struct tevent_context *ev, struct tevent_fd *watch,
             uint16_t flags, void *user_data)
{
  static uint8_t bytes[DATAGRAM_BUFFER_BYTES];
  struct ds_fleet_view *view = user_data;

  (void)ev;
  (void)watch;
  (void)flags;
  for (int i = 0; i < DS_GOSSIP_FANOUT; i++)
    {
      ssize_t count = recv (view->fd, bytes, sizeof bytes, MSG_DONTWAIT);
      Daisystep__Gossip__Datagram *datagram;

      if (count < 0)
        return;
      datagram
          = daisystep__gossip__datagram__unpack (NULL, (size_t)count, bytes);
      if (datagram == NULL)
        continue;
      receive_datagram (view, datagram);
      daisystep__gossip__datagram__free_unpacked (datagram, NULL);
    }
}

static int
destroy (struct ds_fleet_view *view)
{
  TALLOC_FREE (view->watch);
  if (view->fd >= 0)
    (void)close (view->fd);
  return 0;
}

/* Creates an empty view and opens the UDP socket for gossip between hosts.  */
int
ds_fleet_view_new (struct ds_fleet_view **out, TALLOC_CTX *owner,
                   struct tevent_context *ev, const struct ds_fleet_self *self,
                   struct ds_replica_set *replicas,
                   struct ds_crash_counter *crashes,
                   const struct ds_fleet_handlers *handlers,
                   struct ds_error *error)
{
  struct ds_fleet_view *view = talloc_zero (owner, struct ds_fleet_view);
  struct ds_socket_address address;

  if (view == NULL)
    return ds_error_set (error, DS_ENOMEM, "open gossip socket", "",
                         "out of memory");
  view->fd = -1;
  talloc_set_destructor (view, destroy);
  view->ev = ev;
  view->self = *self;
  view->replicas = replicas;
  view->crashes = crashes;
  view->handlers = *handlers;
  view->ledger_reachable = true;
  view->started_ms = ds_clock_ms ();
  if (ds_socket_address_parse (&address, self->gossip_address) != 0)
    {
      talloc_free (view);
      return ds_error_set (error, DS_EINVAL, "open gossip socket", "",
                           "not an IP address with a port");
    }
  view->fd = socket (address.storage.ss_family,
                     SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (view->fd < 0
      || bind (view->fd, (struct sockaddr *)&address.storage, address.length)
             != 0)
    {
      int failure = errno;

      talloc_free (view);
      return ds_error_set (error, DS_EIO, "open gossip socket", "", "%s",
                           strerror (failure));
    }
  view->watch
      = tevent_add_fd (ev, view, view->fd, TEVENT_FD_READ, on_readable, view);
  *out = view;
  return 0;
}

/* Adds HOST, which the store lists; it gets datagrams from now on.  */
void
ds_fleet_view_add (struct ds_fleet_view *view, struct ds_str host,
                   struct ds_str gossip_address)
{
  struct ds_socket_address address;
  struct ds_fleet_peer *member;

  if (ds_str_equal (host, view->self.host)
      || ds_socket_address_parse (&address, gossip_address) != 0)
    return;
  member = find (view, host);
  if (member == NULL)
    member = add_member (view, host);
  if (member != NULL)
    member->address = address;
}

/* Removes HOST, which is no longer in the store.  */
void
ds_fleet_view_remove (struct ds_fleet_view *view, struct ds_str host)
{
  for (size_t i = 0; i < view->count; i++)
    if (ds_str_equal (view->members[i]->info.host, host))
      {
        talloc_free (view->members[i]);
        view->members[i] = view->members[--view->count];
        return;
      }
}

/* Adds up the load that the other hosts put on each replica.  */
static void
aggregate_loads (struct ds_fleet_view *view, uint64_t now_ms)
{
  for (size_t i = 0; i < ds_replica_set_count (view->replicas); i++)
    ds_replica_set_at (view->replicas, i)->remote_load
        = (struct ds_replica_load){ .running = 0 };
  for (size_t i = 0; i < view->count; i++)
    {
      const struct ds_fleet_peer *member = view->members[i];

      if (!ds_fleet_member_is_alive (&member->info, now_ms))
        continue;
      for (size_t k = 0; k < member->load_count; k++)
        {
          struct ds_replica *replica = ds_replica_set_find_by_hash (
              view->replicas, member->loads[k].replica);

          if (replica == NULL)
            continue;
          replica->remote_load.running += member->loads[k].running;
          replica->remote_load.prefill_tokens
              += member->loads[k].prefill_tokens;
        }
    }
}

static void
log_liveness_change (struct ds_fleet_peer *member, uint64_t now_ms)
{
  bool alive = ds_fleet_member_is_alive (&member->info, now_ms);
  struct ds_decision_line line;

  if (alive != member->failure_logged)
    return;
  member->failure_logged = !alive;
  line = ds_decision_line_begin (alive ? "host_regained" : "host_lost",
                                 DS_STR_EMPTY);
  ds_decision_line_add_text (&line, "peer", member->info.host);
  ds_decision_line_add_number (&line, "silent_ms",
                               (int64_t)(now_ms - member->info.last_seen_ms));
  ds_decision_line_end (&line);
}

static void
update_timeouts (struct ds_fleet_view *view)
{
  for (size_t i = 0; i < view->count; i++)
    view->members[i]->info.timeout_ms = ds_gossip_timeout_ms (view->count);
}

/* Sends this host's state to up to DS_GOSSIP_FANOUT hosts and updates what
   depends on theirs.  Call it several times a second.  */
void
ds_fleet_view_tick (struct ds_fleet_view *view, uint64_t now_ms)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  Daisystep__Gossip__Datagram datagram;
  size_t targets
      = view->count < DS_GOSSIP_FANOUT ? view->count : DS_GOSSIP_FANOUT;

  ds_fleet_fill_self (view, scratch, &datagram);
  fill_loads (view, scratch, &datagram);
  fill_holdings (view, scratch, &datagram);
  fill_crashes (view, scratch, &datagram);
  fill_cached_parts (view, scratch, &datagram);
  for (size_t i = 0; i < targets; i++)
    {
      struct ds_fleet_peer *member
          = view->members[view->next_target++ % view->count];

      ds_fleet_send (view, member, &datagram, scratch);
    }
  /* Hosts with pending transfers get a datagram in every interval.  */
  for (size_t i = 0; i < view->count && targets < view->count; i++)
    if (view->members[i]->transfer_count > 0)
      ds_fleet_send (view, view->members[i], &datagram, scratch);
  expire_crashes (view);
  talloc_free (scratch);
  update_timeouts (view);
  aggregate_loads (view, now_ms);
  for (size_t i = 0; i < view->count; i++)
    if (view->members[i]->info.last_seen_ms > 0)
      log_liveness_change (view->members[i], now_ms);
}

/* Sets this host's state.  READY: callers may be sent to it; DRAINING: it is
   stopping.  */
void
ds_fleet_view_set_state (struct ds_fleet_view *view, bool ready, bool draining)
{
  bool changed = view->draining != draining || view->ready != ready;

  view->ready = ready;
  view->draining = draining;
  if (changed)
    ds_fleet_view_tick (view, ds_clock_ms ());
}

/* Announces to the other hosts that REPLICA prefills PART for this host.  */
void
ds_fleet_view_announce_part (struct ds_fleet_view *view,
                             const struct ds_replica *replica, uint64_t part)
{
  if (view->cached_part_count < PENDING_PARTS_MAX)
    view->cached_parts[view->cached_part_count++]
        = (struct ds_fleet_cached_part){
            .replica = replica->hash,
            .part = part,
            .intervals_left = ds_gossip_cycle_intervals (view->count)
          };
}

size_t
ds_fleet_view_count (const struct ds_fleet_view *view)
{
  return view->count;
}

const struct ds_fleet_member *
ds_fleet_view_at (const struct ds_fleet_view *view, size_t index)
{
  return &view->members[index]->info;
}

/* True if a datagram arrived within the member's timeout.  */
bool
ds_fleet_member_is_alive (const struct ds_fleet_member *member,
                          uint64_t now_ms)
{
  return member->last_seen_ms > 0
         && now_ms - member->last_seen_ms < member->timeout_ms;
}

/* Counts the other hosts that are alive.  */
size_t
ds_fleet_view_alive_count (const struct ds_fleet_view *view, uint64_t now_ms)
{
  size_t alive = 0;

  for (size_t i = 0; i < view->count; i++)
    if (ds_fleet_member_is_alive (&view->members[i]->info, now_ms))
      alive++;
  return alive;
}
