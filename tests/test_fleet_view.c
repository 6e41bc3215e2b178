#include "core/gossip_pace.h"
#include "core/placement.h"
#include "entry/fleet_view.h"
#include "io/clock.h"
#include "io/event_context.h"
#include "io/socket_address.h"
#include "proto/gossip.pb-c.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* One host and a peer that is played by the test.  */
static struct tevent_context *ev;
static struct ds_replica_set *replicas;
static struct ds_crash_suspects *suspects;
static struct ds_fleet_view *view;
static char host_address[32];
static char peer_address[32];
static int peer;
static uint64_t tokens; /* received by the host */
static struct ds_departure departure_reported;
static bool departure_is_news;

static size_t
list_holdings (struct ds_token_holding *out, void *user_data)
{
  (void)out;
  (void)user_data;
  return 0;
}

static struct ds_token_holding
get_holding (struct ds_str workspace, void *user_data)
{
  (void)workspace;
  (void)user_data;
  return (struct ds_token_holding){ .tokens = 0 };
}

static uint64_t
on_token_request (struct ds_str workspace, uint64_t asked, uint64_t needed,
                  void *user_data)
{
  (void)workspace;
  (void)asked;
  (void)user_data;
  return needed;
}

static void
on_token_transfer (struct ds_str workspace,
                   const struct ds_token_transfer *transfer,
                   struct ds_str sender, void *user_data)
{
  (void)workspace;
  (void)sender;
  (void)user_data;
  tokens += transfer->tokens;
}

static void
on_holdings (void *user_data)
{
  (void)user_data;
}

static bool
on_departure (const struct ds_departure *departure, struct ds_str sender,
              void *user_data)
{
  (void)sender;
  (void)user_data;
  departure_reported = *departure;
  return departure_is_news;
}

/* Starts the host, or its next incarnation.  */
static void
start (uint64_t incarnation)
{
  struct ds_fleet_self self = {
    .host = DS_STR ("host"),
    .incarnation = incarnation,
    .zone = DS_STR ("z"),
    .region = DS_STR ("r"),
    .caller_address = DS_STR ("127.0.0.1:1"),
    .gossip_address = ds_str_from_c (host_address),
    .capacity = 25,
  };
  struct ds_fleet_handlers handlers = {
    .list_holdings = list_holdings,
    .get_holding = get_holding,
    .on_token_request = on_token_request,
    .on_token_transfer = on_token_transfer,
    .on_holdings = on_holdings,
    .on_departure = on_departure,
  };
  struct ds_error error = DS_ERROR_NONE;

  talloc_free (view);
  ck_assert_int_eq (ds_fleet_view_new (&view, ev, ev, &self, replicas,
                                       suspects, &handlers, &error),
                    0);
}

static void
set_up (void)
{
  struct ds_socket_address address;
  int pid = (int)getpid ();

  (void)snprintf (host_address, sizeof host_address, "127.5.%d.%d:18090",
                  pid / 250 % 250 + 1, pid % 250 + 1);
  (void)snprintf (peer_address, sizeof peer_address, "127.5.%d.%d:18091",
                  pid / 250 % 250 + 1, pid % 250 + 1);
  tokens = 0;
  view = NULL;
  ev = ds_event_context_new (NULL);
  ck_assert_ptr_nonnull (ev);
  ck_assert_int_eq (ds_replica_set_new (&replicas, ev), 0);
  ck_assert_int_eq (ds_crash_suspects_new (&suspects, ev, 1), 0);
  ck_assert_int_eq (
      ds_socket_address_parse (&address, ds_str_from_c (peer_address)), 0);
  peer = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
  ck_assert_int_ge (peer, 0);
  ck_assert_int_eq (
      bind (peer, (struct sockaddr *)&address.storage, address.length), 0);
  start (1);
}

static void
tear_down (void)
{
  (void)close (peer);
  talloc_free (ev);
}

/* Lets the host read what was sent to it.  */
static void
run_host (void)
{
  ck_assert_int_eq (tevent_loop_once (ev), 0);
}

static void
init_datagram (Daisystep__Gossip__Datagram *datagram)
{
  static char name[] = "peer";
  static char zone[] = "z";

  daisystep__gossip__datagram__init (datagram);
  datagram->host = name;
  datagram->incarnation = 7;
  datagram->zone = zone;
  datagram->region = zone;
  datagram->caller_address = peer_address;
  datagram->gossip_address = peer_address;
  datagram->partial = true;
}

static void
send_datagram (const Daisystep__Gossip__Datagram *datagram)
{
  struct ds_socket_address address;
  uint8_t bytes[2048];
  size_t size = daisystep__gossip__datagram__pack (datagram, bytes);

  ck_assert_int_eq (
      ds_socket_address_parse (&address, ds_str_from_c (host_address)), 0);
  ck_assert_int_eq (sendto (peer, bytes, size, 0,
                            (struct sockaddr *)&address.storage,
                            address.length),
                    (ssize_t)size);
  run_host ();
}

/* Sends a transfer of 100 tokens for INCARNATION of the host.  */
static void
send_transfer (uint64_t number, uint64_t incarnation)
{
  static char workspace[] = "north";
  Daisystep__Gossip__Datagram datagram;
  Daisystep__Gossip__TokenTransfer transfer;
  Daisystep__Gossip__TokenTransfer *transfers[] = { &transfer };

  init_datagram (&datagram);
  daisystep__gossip__token_transfer__init (&transfer);
  transfer.number = number;
  transfer.workspace = workspace;
  transfer.tokens = 100;
  datagram.transfers = transfers;
  datagram.n_transfers = 1;
  datagram.to_incarnation = incarnation;
  send_datagram (&datagram);
}

/* Returns the next datagram of the host to the peer, or null.  */
static Daisystep__Gossip__Datagram *
receive_datagram (void)
{
  static uint8_t bytes[65536];
  ssize_t count = recv (peer, bytes, sizeof bytes, 0);

  return count < 0 ? NULL
                   : daisystep__gossip__datagram__unpack (NULL, (size_t)count,
                                                          bytes);
}

/* Guards against tokens that are made by a lost acknowledgement.  */
START_TEST (a_transfer_counts_once)
{
  send_transfer (1, 1);
  send_transfer (1, 1);
  ck_assert_uint_eq (tokens, 100);
  send_transfer (2, 1);
  ck_assert_uint_eq (tokens, 200);
}
END_TEST

/* Guards against an overspend: the host received a transfer, used it and died
   before its acknowledgement arrived, and the transfer is sent again to its
   next incarnation.  */
START_TEST (a_transfer_to_an_earlier_incarnation_does_not_count)
{
  Daisystep__Gossip__Datagram *reply;
  bool told = false;

  send_transfer (1, 1);
  ck_assert_uint_eq (tokens, 100);
  start (2);
  send_transfer (1, 1);
  ck_assert_uint_eq (tokens, 100);
  /* The reply tells the peer of the new incarnation.  */
  while ((reply = receive_datagram ()) != NULL)
    {
      told = told || reply->incarnation == 2;
      daisystep__gossip__datagram__free_unpacked (reply, NULL);
    }
  ck_assert (told);
  send_transfer (2, 2);
  ck_assert_uint_eq (tokens, 200);
}
END_TEST

/* Guards against a transfer to a host that may have restarted since it was
   listed: before the first contact only a hello is sent.  */
START_TEST (nothing_is_transferred_before_the_first_contact)
{
  struct ds_fleet_registration registration = {
    .host = DS_STR ("peer"),
    .zone = DS_STR ("z"),
    .region = DS_STR ("r"),
    .caller_address = DS_STR ("127.0.0.1:2"),
    .gossip_address = ds_str_from_c (peer_address),
    .capacity = 25,
  };
  Daisystep__Gossip__Datagram datagram;
  Daisystep__Gossip__Datagram *received;

  ds_fleet_view_add (view, &registration);
  ds_fleet_view_tick (view, 1000);
  received = receive_datagram ();
  ck_assert_ptr_nonnull (received);
  ck_assert_uint_eq (received->to_incarnation, 0);
  ck_assert_uint_eq (received->n_transfers, 0);
  daisystep__gossip__datagram__free_unpacked (received, NULL);
  /* A hello is answered with the incarnation of the host.  */
  init_datagram (&datagram);
  datagram.hello = true;
  send_datagram (&datagram);
  received = receive_datagram ();
  ck_assert_ptr_nonnull (received);
  ck_assert_uint_eq (received->incarnation, 1);
  ck_assert_uint_eq (received->to_incarnation, 7);
  daisystep__gossip__datagram__free_unpacked (received, NULL);
}
END_TEST

static struct ds_replica *
add_replica (void)
{
  struct ds_replica_record record = {
    .id = DS_STR ("i-1"),
    .start_time_ms = 5,
    .service = DS_STR ("pool"),
    .address = DS_STR ("127.0.0.1:9"),
    .zone = DS_STR ("z"),
    .slots = 8,
  };

  ck_assert_int_eq (ds_replica_set_put (replicas, &record), 0);
  return ds_replica_set_at (replicas, 0);
}

/* Guards against the load that one host reports wrongly, or whose requests
   have ended with it, and that keeps others away from a replica for good.  */
START_TEST (a_wrong_load_lasts_as_long_as_its_host)
{
  struct ds_replica *replica = add_replica ();
  Daisystep__Gossip__ReplicaLoad load = DAISYSTEP__GOSSIP__REPLICA_LOAD__INIT;
  Daisystep__Gossip__ReplicaLoad *loads[] = { &load };
  Daisystep__Gossip__Datagram datagram;

  load.replica = replica->hash;
  load.running = 1000000;
  load.prefill_tokens = 1000000000;
  init_datagram (&datagram);
  datagram.partial = false;
  datagram.loads = loads;
  datagram.n_loads = 1;
  send_datagram (&datagram);
  ds_fleet_view_tick (view, ds_clock_ms ());
  ck_assert_uint_eq (replica->remote_load.running, 1000000);
  /* Its next datagram replaces the report, and its silence ends it.  */
  datagram.n_loads = 0;
  send_datagram (&datagram);
  ds_fleet_view_tick (view, ds_clock_ms ());
  ck_assert_uint_eq (replica->remote_load.running, 0);
  datagram.n_loads = 1;
  send_datagram (&datagram);
  ds_fleet_view_tick (view, ds_clock_ms () + 1001);
  ck_assert_uint_eq (replica->remote_load.running, 0);
}
END_TEST

/* Guards against what one host claims of a replica, and against an estimate
   that outlasts its reports.  Both hosts have measured the replica; the other
   one claims absurd figures.  The prompts that it reports count for memory. */
START_TEST (a_wrong_capacity_counts_little_and_expires)
{
  const struct ds_capacity_options options
      = { .min_samples = 8, .report_ttl_ms = 5000 };
  struct ds_capacity_first_event event = { .tokens = 5000, .took_ms = 110 };
  Daisystep__Gossip__ReplicaCapacity capacity
      = DAISYSTEP__GOSSIP__REPLICA_CAPACITY__INIT;
  Daisystep__Gossip__ReplicaCapacity *capacities[] = { &capacity };
  Daisystep__Gossip__ReplicaLoad load = DAISYSTEP__GOSSIP__REPLICA_LOAD__INIT;
  Daisystep__Gossip__ReplicaLoad *loads[] = { &load };
  Daisystep__Gossip__Datagram datagram;
  Daisystep__Gossip__Datagram *sent;
  struct ds_replica *replica;
  struct ds_capacity_estimate estimate;

  ds_replica_set_learn_capacity (replicas, &options);
  replica = add_replica ();
  for (int i = 0; i < 12; i++)
    ds_replica_capacity_record_first_event (replica->capacity, &event,
                                            ds_clock_ms ());
  load.replica = replica->hash;
  load.running = 1;
  load.memory_tokens = 700;
  capacity.replica = (uint32_t)replica->hash;
  capacity.speed = 1000000;
  capacity.samples = 4000000000;
  init_datagram (&datagram);
  datagram.partial = false;
  datagram.loads = loads;
  datagram.n_loads = 1;
  datagram.capacities = capacities;
  datagram.n_capacities = 1;
  send_datagram (&datagram);
  ds_fleet_view_tick (view, ds_clock_ms ());
  ck_assert_uint_eq (replica->remote_load.memory_tokens, 700);
  estimate
      = ds_replica_capacity_estimate (replica->capacity, ds_clock_ms () + 300);
  ck_assert_double_gt (estimate.speed, 0.7);
  ck_assert_double_lt (estimate.speed, 2.0);
  estimate = ds_replica_capacity_estimate (replica->capacity,
                                           ds_clock_ms () + 6000);
  ck_assert_double_eq_tol (estimate.speed, 1, 0.001);
  /* The own measurements are told.  */
  sent = receive_datagram ();
  ck_assert_ptr_nonnull (sent);
  ck_assert_uint_eq (sent->n_capacities, 1);
  ck_assert_uint_eq (sent->capacities[0]->replica, (uint32_t)replica->hash);
  ck_assert_uint_eq (sent->capacities[0]->speed, 100);
  daisystep__gossip__datagram__free_unpacked (sent, NULL);
}
END_TEST

/* Guards against a replica that is taken for having a part for good because
   one host was wrong.  */
START_TEST (a_wrong_cached_part_expires)
{
  struct ds_replica *replica = add_replica ();
  Daisystep__Gossip__PartRead read = DAISYSTEP__GOSSIP__PART_READ__INIT;
  Daisystep__Gossip__PartRead *reads[] = { &read };
  Daisystep__Gossip__Datagram datagram;
  struct ds_placement_request request = {
    .parts = { { .id = 42, .tokens = 500 }, { .id = 43, .tokens = 100 } },
    .part_count = 2,
    .prompt_tokens = 600,
  };

  read.replica = replica->hash;
  read.part = 42;
  init_datagram (&datagram);
  datagram.reads = reads;
  datagram.n_reads = 1;
  send_datagram (&datagram);
  ck_assert_uint_eq (
      ds_placement_uncached_tokens (replica, &request, ds_clock_ms ()), 100);
  ck_assert_uint_eq (
      ds_placement_uncached_tokens (replica, &request, ds_clock_ms () + 60001),
      600);
}
END_TEST

/* Guards against a host that has lost the store alone and keeps the others in
   doubt of it, or as a home of budgets, after it has fallen silent.  */
START_TEST (doubt_of_the_store_ends_with_its_host)
{
  Daisystep__Gossip__Datagram datagram;

  init_datagram (&datagram);
  datagram.ready = true;
  datagram.ledger_near = false;
  send_datagram (&datagram);
  ds_fleet_view_tick (view, ds_clock_ms ());
  ck_assert (ds_fleet_view_others_lost_ledger (view));
  datagram.ledger_near = true;
  send_datagram (&datagram);
  ds_fleet_view_tick (view, ds_clock_ms ());
  ck_assert (!ds_fleet_view_others_lost_ledger (view));
  datagram.ledger_near = false;
  send_datagram (&datagram);
  ds_fleet_view_tick (view, ds_clock_ms () + 5000);
  ck_assert (!ds_fleet_view_others_lost_ledger (view));
}
END_TEST

/* Guards against a departure that this host gets wrong from another one, that
   it does not pass on, or that it passes on although it is no news.  */
START_TEST (departures_are_passed_on_as_long_as_they_are_news)
{
  Daisystep__Gossip__Departure message = DAISYSTEP__GOSSIP__DEPARTURE__INIT;
  Daisystep__Gossip__Departure *messages[] = { &message };
  Daisystep__Gossip__Datagram datagram;
  Daisystep__Gossip__Datagram *received;

  for (int news = 0; news < 2; news++)
    {
      bool passed_on = false;

      departure_is_news = news != 0;
      message.replica = 77 + (uint64_t)news;
      message.revision = 9;
      message.gone = true;
      init_datagram (&datagram);
      datagram.departures = messages;
      datagram.n_departures = 1;
      send_datagram (&datagram);
      ck_assert_uint_eq (departure_reported.replica, message.replica);
      ck_assert_uint_eq (departure_reported.revision, 9);
      ck_assert (departure_reported.gone);
      ds_fleet_view_tick (view, 1000);
      while ((received = receive_datagram ()) != NULL)
        {
          for (size_t i = 0; i < received->n_departures; i++)
            passed_on = passed_on
                        || (received->departures[i]->replica == message.replica
                            && received->departures[i]->revision == 9
                            && received->departures[i]->gone);
          daisystep__gossip__datagram__free_unpacked (received, NULL);
        }
      ck_assert (passed_on == (news != 0));
    }
}
END_TEST

/* Adds hosts of this zone, all at the address of the peer, so that the fleet
   has relays and this host, the strongest, is one of them.  */
static void
add_hosts (size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      char name[32];
      struct ds_fleet_registration registration = {
        .zone = DS_STR ("z"),
        .region = DS_STR ("r"),
        .caller_address = ds_str_from_c (peer_address),
        .gossip_address = ds_str_from_c (peer_address),
        .capacity = 1,
      };

      (void)snprintf (name, sizeof name, "host-%zu", i);
      registration.host = ds_str_from_c (name);
      ds_fleet_view_add (view, &registration);
    }
}

/* Counts the parts below PARTS that the peer has received in summaries of the
   fleet, and marks them in SEEN.  */
static size_t
receive_parts (bool *seen, size_t parts)
{
  Daisystep__Gossip__Datagram *received;
  size_t count = 0;

  while ((received = receive_datagram ()) != NULL)
    {
      const Daisystep__Gossip__Summary *summary = received->summary;

      for (size_t i = 0; summary != NULL && i < summary->n_reads; i++)
        if (summary->reads[i]->part < parts)
          seen[summary->reads[i]->part] = true;
      daisystep__gossip__datagram__free_unpacked (received, NULL);
    }
  for (size_t i = 0; i < parts; i++)
    count += seen[i];
  return count;
}

/* Adds the reports that the peer has received in summaries of the fleet to
   SENDS: of each replica, the summaries that had it.  Each is sent to several
   hosts under one number.  Returns the bytes of the largest batch.  */
static size_t
receive_capacities (unsigned *sends, uint64_t *last, size_t count)
{
  Daisystep__Gossip__Datagram *received;
  size_t most = 0;

  while ((received = receive_datagram ()) != NULL)
    {
      const Daisystep__Gossip__Summary *summary = received->summary;
      size_t bytes = 0;

      for (size_t i = 0; summary != NULL && i < summary->n_capacities; i++)
        for (size_t k = 0; k < count; k++)
          if ((uint32_t)ds_replica_set_at (replicas, k)->hash
              == summary->capacities[i]->replica)
            {
              bytes += 3
                       + daisystep__gossip__replica_capacity__get_packed_size (
                           summary->capacities[i]);
              sends[k] += last[k] != received->sequence;
              last[k] = received->sequence;
            }
      if (bytes > most)
        most = bytes;
      daisystep__gossip__datagram__free_unpacked (received, NULL);
    }
  return most;
}

/* Guards against hosts that never hear of some replicas: a summary goes to
   half of a zone, so each report must be in two of them.  Guards as well
   against summaries that fill the links: 320 replicas take three seconds
   (14 summaries, two of each batch) and at most 600 bytes in each.  */
START_TEST (a_relay_tells_all_hosts_of_all_replicas)
{
  static unsigned sends[320];
  static uint64_t last[320];
  const struct ds_capacity_options options
      = { .min_samples = 8, .report_ttl_ms = 5000 };
  const struct ds_capacity_first_event event
      = { .tokens = 5000, .took_ms = 230 };
  uint64_t now_ms = ds_clock_ms ();

  ds_replica_set_learn_capacity (replicas, &options);
  for (unsigned i = 0; i < 320; i++)
    {
      char id[8];
      struct ds_replica_record record
          = { .id = { .data = id }, .start_time_ms = 5, .slots = 64 };
      struct ds_replica *replica;

      record.id.length = (size_t)snprintf (id, sizeof id, "i-%u", i);
      ck_assert_int_eq (ds_replica_set_put (replicas, &record), 0);
      replica = ds_replica_set_at (replicas, i);
      ds_replica_capacity_record_first_event (replica->capacity, &event,
                                              now_ms);
      ds_replica_capacity_record_gaps (replica->capacity, 20, 500, now_ms);
    }
  add_hosts (30);
  for (int interval = 0; interval < 28; interval++)
    {
      now_ms += DS_GOSSIP_INTERVAL_MS;
      ds_fleet_view_tick (view, now_ms);
      ck_assert_uint_le (receive_capacities (sends, last, 320), 600);
    }
  for (size_t i = 0; i < 320; i++)
    ck_assert_uint_eq (sends[i], 2);
}
END_TEST

/* Load: hosts of a large fleet prefill 1,000 parts in two seconds.  Guards
   against a relay that drops most of them, since every host that does not hear
   of one makes another replica prefill it again.  */
START_TEST (a_relay_passes_on_a_thousand_parts_in_two_seconds)
{
  static bool seen[1000];
  const struct ds_replica *replica = add_replica ();
  const size_t parts = sizeof seen / sizeof seen[0];
  size_t received = 0;
  uint64_t now_ms = ds_clock_ms ();

  memset (seen, 0, sizeof seen);
  add_hosts (30);
  for (int interval = 0; interval < 10; interval++)
    {
      for (size_t i = 0; i < parts / 10; i++)
        ds_fleet_view_announce_part (view, replica,
                                     (size_t)interval * (parts / 10) + i);
      now_ms += DS_GOSSIP_INTERVAL_MS;
      ds_fleet_view_tick (view, now_ms);
      received = receive_parts (seen, parts);
    }
  ck_assert_uint_eq (received, parts);
}
END_TEST

/* Sends the load of the peer with LEVEL and, if not 0, a heavy caller.  */
static void
send_load (uint32_t level, uint64_t origin)
{
  Daisystep__Gossip__Datagram datagram;
  Daisystep__Gossip__HostLoad load;
  Daisystep__Gossip__HeavyCaller caller;
  Daisystep__Gossip__HeavyCaller *callers[] = { &caller };

  init_datagram (&datagram);
  daisystep__gossip__host_load__init (&load);
  daisystep__gossip__heavy_caller__init (&caller);
  datagram.ready = true;
  load.percent = 97;
  load.level = level;
  caller.origin = origin;
  caller.load = 48;
  load.heavy_callers = callers;
  load.n_heavy_callers = origin != 0;
  datagram.load = &load;
  send_datagram (&datagram);
}

/* Guards against hosts that lead callers by different loads: what a host
   reports of itself reaches the others directly and through a relay, and a
   level that no host can have is ignored.  */
START_TEST (loads_and_heavy_callers_reach_other_hosts)
{
  struct ds_heavy_callers heavy = { .count = 0 };
  Daisystep__Gossip__Datagram *received;
  bool own = false;
  bool summed_up = false;

  ds_fleet_view_share_loads (view, &heavy);
  ds_fleet_view_set_load (view, 91, 2);
  send_load (5, 77);
  ck_assert_uint_eq (ds_fleet_view_at (view, 0)->load_level, 5);
  ck_assert_uint_eq (ds_fleet_view_at (view, 0)->load_percent, 97);
  ck_assert_uint_eq (ds_heavy_callers_load (&heavy, 77), 48);
  add_hosts (30);
  ds_fleet_view_set_state (view, true, false);
  for (int i = 1; i <= 4; i++)
    ds_fleet_view_tick (view,
                        ds_clock_ms () + (uint64_t)i * DS_GOSSIP_INTERVAL_MS);
  while ((received = receive_datagram ()) != NULL)
    {
      const Daisystep__Gossip__Summary *summary = received->summary;

      own = own
            || (received->load != NULL && received->load->percent == 91
                && received->load->level == 2);
      for (size_t i = 0; summary != NULL && i < summary->n_ready_loads; i++)
        summed_up = summed_up
                    || (summary->n_ready_loads == summary->n_ready_hosts
                        && summary->ready_loads[i] == 5 + 8 * 9
                        && summary->n_heavy_callers == 1
                        && summary->heavy_callers[0]->origin == 77
                        && summary->heavy_callers[0]->load == 48);
      daisystep__gossip__datagram__free_unpacked (received, NULL);
    }
  ck_assert (own);
  ck_assert (summed_up);
  send_load (8, 0);
  ck_assert_uint_eq (ds_fleet_view_at (view, 0)->load_level, 0);
}
END_TEST

/* Guards against a host that goes on leading callers away from one of the
   previous version, which reports no load, and against reports from a host
   that does not measure its own.  */
START_TEST (hosts_without_loads_count_as_idle)
{
  Daisystep__Gossip__Datagram datagram;
  Daisystep__Gossip__Datagram *received;

  send_load (5, 77);
  ck_assert_uint_eq (ds_fleet_view_at (view, 0)->load_level, 5);
  init_datagram (&datagram);
  send_datagram (&datagram);
  ck_assert_uint_eq (ds_fleet_view_at (view, 0)->load_level, 0);
  ds_fleet_view_tick (view, ds_clock_ms () + DS_GOSSIP_INTERVAL_MS);
  received = receive_datagram ();
  ck_assert_ptr_nonnull (received);
  ck_assert_ptr_null (received->load);
  daisystep__gossip__datagram__free_unpacked (received, NULL);
}
END_TEST

/* Guards against a host that ends, or stops listening, because of what arrives
   on its gossip port.  */
START_TEST (malformed_datagrams_are_ignored)
{
  struct ds_socket_address address;
  Daisystep__Gossip__Datagram datagram;
  Daisystep__Gossip__Summary summary;
  uint32_t ids[] = { 1, 2, 3 };
  uint8_t bytes[512];

  ck_assert_int_eq (
      ds_socket_address_parse (&address, ds_str_from_c (host_address)), 0);
  srand (1);
  for (int i = 0; i < 200; i++)
    {
      size_t size = (size_t)(rand () % (int)sizeof bytes);

      for (size_t k = 0; k < size; k++)
        bytes[k] = (uint8_t)rand ();
      ck_assert_int_eq (sendto (peer, bytes, size, 0,
                                (struct sockaddr *)&address.storage,
                                address.length),
                        (ssize_t)size);
      run_host ();
    }
  /* Columns of different lengths.  */
  init_datagram (&datagram);
  daisystep__gossip__summary__init (&summary);
  summary.ready_hosts = ids;
  summary.n_ready_hosts = 3;
  summary.replicas = ids;
  summary.n_replicas = 3;
  summary.running = ids;
  summary.n_running = 1;
  datagram.summary = &summary;
  send_datagram (&datagram);
  send_transfer (1, 1);
  ck_assert_uint_eq (tokens, 100);
}
END_TEST

/* Guards against an answer to an address query that no caller can read, since
   one host reports an address that is none.  */
START_TEST (an_address_that_cannot_be_used_is_not_offered)
{
  static char bad[][32] = { "127.0.0.1:0",     "127.0.0.1:65536", "127.0.0.1",
                            "host.example:80", "\",\"1:2",        "\x01\xff" };
  Daisystep__Gossip__Datagram datagram;

  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      char name[] = "listed-0";
      struct ds_fleet_registration registration = {
        .caller_address = ds_str_from_c (bad[i]),
        .gossip_address = ds_str_from_c (peer_address),
      };

      name[strlen (name) - 1] = (char)('0' + i);
      registration.host = ds_str_from_c (name);
      ds_fleet_view_add (view, &registration);
      ck_assert_uint_eq (
          ds_fleet_view_at (view, ds_fleet_view_count (view) - 1)
              ->caller_address.length,
          0);
    }
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      const struct ds_fleet_member *member;

      init_datagram (&datagram);
      send_datagram (&datagram);
      member = ds_fleet_view_at (view, ds_fleet_view_count (view) - 1);
      ck_assert (
          ds_str_equal (member->caller_address, ds_str_from_c (peer_address)));
      datagram.caller_address = bad[i];
      send_datagram (&datagram);
      ck_assert_uint_eq (member->caller_address.length, 0);
    }
}
END_TEST

static struct ds_evacuation_report evacuation_reported;

static size_t
list_evacuations (struct ds_evacuation_report *out, void *user_data)
{
  (void)user_data;
  out[0] = (struct ds_evacuation_report){ .zone = DS_STR ("east"),
                                          .revision = 8,
                                          .age_ms = 1200 };
  return 1;
}

static void
on_evacuation (const struct ds_evacuation_report *report, struct ds_str sender,
               void *user_data)
{
  (void)sender;
  (void)user_data;
  ck_assert (ds_str_equal (report->zone, DS_STR ("west")));
  evacuation_reported = *report;
}

/* Guards against evacuations that are not told to other hosts, or wrong ones
   from them, and against zones without a name that a host may have.  */
START_TEST (evacuations_are_exchanged)
{
  static char zone[] = "west";
  static char no_zone[] = "no zone";
  const struct ds_fleet_evacuation_handlers evacuations
      = { .list = list_evacuations, .on_report = on_evacuation };
  Daisystep__Gossip__Evacuation message = DAISYSTEP__GOSSIP__EVACUATION__INIT;
  Daisystep__Gossip__Evacuation unnamed = DAISYSTEP__GOSSIP__EVACUATION__INIT;
  Daisystep__Gossip__Evacuation *messages[] = { &unnamed, &message };
  Daisystep__Gossip__Datagram datagram;
  Daisystep__Gossip__Datagram *received;
  size_t told = 0;

  message.zone = zone;
  message.revision = 9;
  message.age_ms = 400;
  unnamed.zone = no_zone;
  init_datagram (&datagram);
  datagram.evacuations = messages;
  datagram.n_evacuations = 2;
  datagram.evacuation_revision = 11;
  send_datagram (&datagram);
  ck_assert_uint_eq (evacuation_reported.revision, 0);
  ds_fleet_view_set_evacuations (view, &evacuations);
  send_datagram (&datagram);
  ck_assert_uint_eq (evacuation_reported.revision, 9);
  ck_assert_uint_eq (evacuation_reported.age_ms, 400);
  ck_assert_uint_eq (ds_fleet_view_heard_revision (view, DS_STORE_EVACUATIONS),
                     11);
  ds_fleet_view_tick (view, 1000);
  while ((received = receive_datagram ()) != NULL)
    {
      for (size_t i = 0; i < received->n_evacuations; i++)
        if (strcmp (received->evacuations[i]->zone, "east") == 0
            && received->evacuations[i]->revision == 8
            && received->evacuations[i]->age_ms == 1200)
          told++;
      daisystep__gossip__datagram__free_unpacked (received, NULL);
    }
  ck_assert_uint_gt (told, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fleet_view");
  TCase *test_case = tcase_create ("fleet_view");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case, a_transfer_counts_once);
  tcase_add_test (test_case,
                  a_transfer_to_an_earlier_incarnation_does_not_count);
  tcase_add_test (test_case, nothing_is_transferred_before_the_first_contact);
  tcase_add_test (test_case, a_wrong_load_lasts_as_long_as_its_host);
  tcase_add_test (test_case, a_wrong_capacity_counts_little_and_expires);
  tcase_add_test (test_case, a_wrong_cached_part_expires);
  tcase_add_test (test_case, a_relay_tells_all_hosts_of_all_replicas);
  tcase_add_test (test_case, doubt_of_the_store_ends_with_its_host);
  tcase_add_test (test_case,
                  departures_are_passed_on_as_long_as_they_are_news);
  tcase_add_test (test_case,
                  a_relay_passes_on_a_thousand_parts_in_two_seconds);
  tcase_add_test (test_case, evacuations_are_exchanged);
  tcase_add_test (test_case, loads_and_heavy_callers_reach_other_hosts);
  tcase_add_test (test_case, hosts_without_loads_count_as_idle);
  tcase_add_test (test_case, malformed_datagrams_are_ignored);
  tcase_add_test (test_case, an_address_that_cannot_be_used_is_not_offered);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
