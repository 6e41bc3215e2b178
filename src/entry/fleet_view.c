#include "base/decision_log.h"
#include "entry/fleet_view_internal.h"
#include "io/clock.h"
#include "io/datagram.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DATAGRAM_BUFFER_BYTES 65536
/* Seed of the hash that chooses relays.  */
#define RELAY_SEED 19
/* Seed of the hash that identifies hosts in summaries.  */
#define HOST_SEED 23
/* Capacity that is assumed of a host that has not reported its own.  */
#define CAPACITY_DEFAULT 25

static struct ds_fleet_peer *
find (const struct ds_fleet_view *view, struct ds_str host)
{
  for (size_t i = 0; i < view->count; i++)
    if (ds_str_equal (view->members[i]->info.host, host))
      return view->members[i];
  return NULL;
}

/* Replaces TEXT, which belongs to OWNER or is empty, by a copy of VALUE.  */
void
ds_fleet_set_text (TALLOC_CTX *owner, struct ds_str *text, struct ds_str value)
{
  if (ds_str_equal (*text, value))
    return;
  if (text->length > 0)
    talloc_free ((char *)text->data);
  *text = value.length > 0 ? ds_str_copy (owner, value) : DS_STR_EMPTY;
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
  member->info.capacity = CAPACITY_DEFAULT;
  member->info.timeout_ms = ds_gossip_timeout_ms (view->count);
  member->short_id = (uint32_t)ds_str_hash (host, HOST_SEED);
  member->info.id = member->short_id;
  member->relay_weight = ds_str_hash (host, RELAY_SEED);
  member->added_ms = ds_clock_ms ();
  /* Until it reports otherwise.  */
  member->ledger_reachable = true;
  member->ledger.reached = true;
  member->ledger.counted = true;
  (void)g_hash_table_insert (view->by_short_id,
                             GUINT_TO_POINTER (member->short_id), member);
  grown[view->count++] = member;
  return member;
}

/* Returns the member HOST, which is added if it is new; null if HOST is this
   host or memory is exhausted.  */
struct ds_fleet_peer *
ds_fleet_find_or_add (struct ds_fleet_view *view, struct ds_str host)
{
  struct ds_fleet_peer *member;

  if (host.length == 0 || ds_str_equal (host, view->self.host))
    return NULL;
  member = find (view, host);
  return member != NULL ? member : add_member (view, host);
}

bool
ds_fleet_same_zone (const struct ds_fleet_view *view,
                    const struct ds_fleet_peer *member)
{
  return ds_str_equal (member->info.zone, view->self.zone);
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
      uint64_t age_ms;
      ssize_t count
          = ds_datagram_receive (view->fd, bytes, sizeof bytes, &age_ms);
      Daisystep__Gossip__Datagram *datagram;

      if (count < 0)
        return;
      datagram
          = daisystep__gossip__datagram__unpack (NULL, (size_t)count, bytes);
      if (datagram == NULL)
        continue;
      ds_fleet_receive (view, datagram, age_ms);
      daisystep__gossip__datagram__free_unpacked (datagram, NULL);
    }
}

static int
destroy (struct ds_fleet_view *view)
{
  TALLOC_FREE (view->watch);
  g_hash_table_destroy (view->by_short_id);
  if (view->fd >= 0)
    (void)close (view->fd);
  return 0;
}

/* Creates an empty view and opens the UDP socket for gossip between hosts.  */
int
ds_fleet_view_new (struct ds_fleet_view **out, TALLOC_CTX *owner,
                   struct tevent_context *ev, const struct ds_fleet_self *self,
                   struct ds_replica_set *replicas,
                   struct ds_crash_suspects *suspects,
                   const struct ds_fleet_handlers *handlers,
                   struct ds_error *error)
{
  struct ds_fleet_view *view = talloc_zero (owner, struct ds_fleet_view);
  struct ds_socket_address address;

  if (view == NULL)
    return ds_error_set (error, DS_ENOMEM, "open gossip socket", "",
                         "out of memory");
  view->fd = -1;
  view->by_short_id = g_hash_table_new (NULL, NULL);
  talloc_set_destructor (view, destroy);
  view->ev = ev;
  view->self = *self;
  view->replicas = replicas;
  view->suspects = suspects;
  view->handlers = *handlers;
  view->ledger_reachable = true;
  view->ledger.reached = true;
  view->ledger.counted = true;
  view->started_ms = ds_clock_ms ();
  view->relay_rank = -1;
  view->membership_version = 1;
  view->short_id = (uint32_t)ds_str_hash (self->host, HOST_SEED);
  view->relay_weight = ds_str_hash (self->host, RELAY_SEED);
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
  ds_datagram_enable_ages (view->fd);
  view->watch
      = tevent_add_fd (ev, view, view->fd, TEVENT_FD_READ, on_readable, view);
  *out = view;
  return 0;
}

/* Sets the address of MEMBER for callers.  One that cannot be used is left out
   of the responses to address queries, which it would make invalid.  */
void
ds_fleet_set_caller_address (struct ds_fleet_peer *member, struct ds_str text)
{
  struct ds_socket_address address;

  ds_fleet_set_text (member, &member->info.caller_address,
                     ds_socket_address_parse (&address, text) == 0
                             && ds_socket_address_port (&address) != 0
                         ? text
                         : DS_STR_EMPTY);
}

/* Adds the host of REGISTRATION, which the store or a relay lists.  What a
   datagram of the host itself has said goes first.  */
void
ds_fleet_view_add (struct ds_fleet_view *view,
                   const struct ds_fleet_registration *registration)
{
  struct ds_socket_address address;
  struct ds_fleet_peer *member;

  if (ds_socket_address_parse (&address, registration->gossip_address) != 0)
    return;
  member = ds_fleet_find_or_add (view, registration->host);
  if (member == NULL || member->direct_ms > 0)
    return;
  member->address = address;
  talloc_free (member->gossip_address);
  member->gossip_address
      = talloc_strndup (member, registration->gossip_address.data,
                        registration->gossip_address.length);
  ds_fleet_set_text (member, &member->info.zone, registration->zone);
  ds_fleet_set_text (member, &member->info.region, registration->region);
  ds_fleet_set_caller_address (member, registration->caller_address);
  if (registration->capacity > 0)
    member->info.capacity = registration->capacity;
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
          replica->remote_load.memory_tokens += member->loads[k].memory_tokens;
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
  uint64_t timeout_ms = ds_gossip_uses_relays (view->count)
                            ? DS_RELAY_MEMBER_TIMEOUT_MS
                            : ds_gossip_timeout_ms (view->count);

  for (size_t i = 0; i < view->count; i++)
    view->members[i]->info.timeout_ms = timeout_ms;
}

/* Sends this host's state to all others, up to DS_GOSSIP_FANOUT.  */
static void
send_to_all (struct ds_fleet_view *view)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  Daisystep__Gossip__Datagram datagram;
  size_t targets
      = view->count < DS_GOSSIP_FANOUT ? view->count : DS_GOSSIP_FANOUT;

  ds_fleet_fill_state (view, scratch, &datagram);
  for (size_t i = 0; i < targets; i++)
    {
      struct ds_fleet_peer *member
          = view->members[view->next_target++ % view->count];

      ds_fleet_send (view, member, &datagram, scratch);
    }
  talloc_free (scratch);
}

/* Repeats the transfers that have not been acknowledged.  */
static void
resend_transfers (struct ds_fleet_view *view)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  Daisystep__Gossip__Datagram datagram;

  ds_fleet_fill_self (view, scratch, &datagram);
  datagram.partial = true;
  for (size_t i = 0; i < view->count; i++)
    if (view->members[i]->link != NULL
        && view->members[i]->link->transfer_count > 0)
      ds_fleet_send (view, view->members[i], &datagram, scratch);
  talloc_free (scratch);
}

/* Sends this host's state and updates what depends on that of the others.
   Call it several times a second.  */
void
ds_fleet_view_tick (struct ds_fleet_view *view, uint64_t now_ms)
{
  update_timeouts (view);
  ds_fleet_clock_observe (&view->clock, ds_clock_wall_ms (), now_ms);
  if (ds_gossip_uses_relays (view->count))
    {
      ds_fleet_relay_tick (view, now_ms);
      resend_transfers (view);
    }
  else
    {
      send_to_all (view);
      aggregate_loads (view, now_ms);
    }
  ds_fleet_update_eligibility (view, now_ms);
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

/* Sets whether this host reports that it should get fewer callers.  */
void
ds_fleet_view_set_strained (struct ds_fleet_view *view, bool strained)
{
  view->strained = strained;
}

/* Announces to the other hosts that REPLICA prefills PART for this host.  */
void
ds_fleet_view_announce_part (struct ds_fleet_view *view,
                             const struct ds_replica *replica, uint64_t part)
{
  Daisystep__Gossip__PartRead read = DAISYSTEP__GOSSIP__PART_READ__INIT;
  Daisystep__Gossip__PartRead *reads[] = { &read };

  read.replica = replica->hash;
  read.part = part;
  ds_fleet_record_parts (view, reads, 1, 0);
}

/* Sets the highest REVISION of SUBJECT that this host has had from the store,
   for the other hosts.  What it only hears from them is not passed on, so that
   a wrong figure goes no further.  */
void
ds_fleet_view_set_store_revision (struct ds_fleet_view *view,
                                  enum ds_store_subject subject,
                                  uint64_t revision)
{
  view->store_revisions[subject] = revision;
}

/* Returns the highest revision of SUBJECT that another host has reported.  */
uint64_t
ds_fleet_view_heard_revision (const struct ds_fleet_view *view,
                              enum ds_store_subject subject)
{
  return view->heard_revisions[subject];
}

/* Forgets the revision of SUBJECT that other hosts have reported, which the
   store does not have.  */
void
ds_fleet_view_reject_revision (struct ds_fleet_view *view,
                               enum ds_store_subject subject)
{
  view->heard_revisions[subject] = 0;
}

/* Returns the place of this host among those that are alive.  The interval is
   left to the caller.  */
struct ds_watch_place
ds_fleet_view_watch_place (const struct ds_fleet_view *view, uint64_t now_ms)
{
  struct ds_watch_place place = { .hosts = 1 };

  for (size_t i = 0; i < view->count; i++)
    if (ds_fleet_member_is_alive (&view->members[i]->info, now_ms))
      {
        place.hosts++;
        if (view->members[i]->short_id < view->short_id)
          place.rank++;
      }
  return place;
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

/* True if there was a sign of the member within its timeout.  */
bool
ds_fleet_member_is_alive (const struct ds_fleet_member *member,
                          uint64_t now_ms)
{
  return member->last_seen_ms > 0
         && now_ms - member->last_seen_ms < member->timeout_ms;
}
