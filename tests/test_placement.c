#include "core/placement.h"

#include "core/budget_home.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define SHARED_TOKENS 13300
#define PRIVATE_TOKENS 3700

static TALLOC_CTX *owner;
static struct ds_replica_set *set;

static void
add_replica (const char *id, const char *service, const char *zone,
             bool draining)
{
  struct ds_replica_record record = {
    .id = ds_str_from_c (id),
    .start_time_ms = 5,
    .service = ds_str_from_c (service),
    .address = DS_STR ("10.0.0.1:80"),
    .zone = ds_str_from_c (zone),
    .slots = 6,
    .draining = draining,
  };

  ck_assert_int_eq (ds_replica_set_put (set, &record), 0);
}

static void
set_up (void)
{
  char id[8];

  owner = talloc_new (NULL);
  ck_assert_int_eq (ds_replica_set_new (&set, owner), 0);
  for (int i = 0; i < 12; i++)
    {
      (void)snprintf (id, sizeof id, "m%d", i);
      add_replica (id, "models", i % 3 == 0 ? "kelheim" : "riedenburg", false);
    }
  add_replica ("b1", "ledger", "kelheim", false);
  add_replica ("b2", "ledger", "riedenburg", false);
}

static void
tear_down (void)
{
  talloc_free (owner);
}

static struct ds_placement_request
shared_part_request (uint64_t shared, uint64_t private_part)
{
  return (struct ds_placement_request){
    .service = DS_STR ("models"),
    .zone = DS_STR ("kelheim"),
    .parts = { { .id = shared, .tokens = SHARED_TOKENS },
               { .id = private_part, .tokens = PRIVATE_TOKENS } },
    .part_count = 2,
    .prompt_tokens = SHARED_TOKENS + PRIVATE_TOKENS,
    .target_latency_ms = 800,
  };
}

/* Guards against a repeated prefill: eight hosts receive the same new shared
   part at the same time, before any has announced it.  All must choose the
   same replica.  */
START_TEST (concurrent_requests_for_a_new_part_share_a_replica)
{
  for (uint64_t part = 1; part < 40; part++)
    {
      struct ds_placement_request first
          = shared_part_request (part, 1000 + part);
      struct ds_placement_request second
          = shared_part_request (part, 2000 + part);
      struct ds_placement a = ds_placement_choose (set, &first, 1);
      struct ds_placement b = ds_placement_choose (set, &second, 1);

      ck_assert_int_eq (a.status, DS_PLACEMENT_OK);
      ck_assert_ptr_eq (a.replica, b.replica);
    }
}
END_TEST

/* Many requests share one part while other replicas are idle.  They go to the
   replica with the part in its cache while its queue is shorter than half the
   target latency, and to another one when it is longer.  */
START_TEST (requests_follow_cached_parts_until_the_queue_is_long)
{
  struct ds_placement_request request = shared_part_request (77, 1);
  struct ds_placement first = ds_placement_choose (set, &request, 1);
  struct ds_placement next;

  ds_placement_record_prefill (first.replica, &request, 1);
  request = shared_part_request (77, 2);
  first.replica->local_load.prefill_tokens = 15000;
  next = ds_placement_choose (set, &request, 2);
  ck_assert_ptr_eq (next.replica, first.replica);
  ck_assert_uint_eq (next.uncached_tokens, PRIVATE_TOKENS);
  first.replica->local_load.prefill_tokens = 80000;
  next = ds_placement_choose (set, &request, 2);
  ck_assert_ptr_ne (next.replica, first.replica);
}
END_TEST

/* Guards against all hosts choosing the same replica: requests that other
   hosts have sent to it count as its queue.  */
START_TEST (load_of_other_hosts_counts)
{
  struct ds_placement_request request
      = { .service = DS_STR ("ledger"), .zone = DS_STR ("kelheim") };
  struct ds_placement same_zone = ds_placement_choose (set, &request, 1);
  struct ds_placement other_zone;

  ck_assert (ds_str_equal (same_zone.replica->record.id, DS_STR ("b1")));
  same_zone.replica->remote_load.running = 12;
  other_zone = ds_placement_choose (set, &request, 1);
  ck_assert (ds_str_equal (other_zone.replica->record.id, DS_STR ("b2")));
}
END_TEST

/* Guards against requests for a draining replica.  */
START_TEST (a_draining_replica_gets_no_requests)
{
  struct ds_placement_request request
      = { .service = DS_STR ("ledger"), .zone = DS_STR ("kelheim") };

  add_replica ("b1", "ledger", "kelheim", true);
  add_replica ("b2", "ledger", "riedenburg", true);
  ck_assert_int_eq (ds_placement_choose (set, &request, 1).status,
                    DS_PLACEMENT_NO_REPLICA);
}
END_TEST

/* Guards against requests that a replica which leaves cuts off while another
   one serves: at once, and also when the other one was tried.  */
START_TEST (a_replica_that_leaves_is_passed_over)
{
  struct ds_placement_request request = { .service = DS_STR ("ledger"),
                                          .zone = DS_STR ("kelheim"),
                                          .drain_ms = 2000 };
  struct ds_placement first = ds_placement_choose (set, &request, 1000);
  struct ds_placement next;

  ck_assert (ds_replica_set_record_leaving (set, first.replica, 1000));
  next = ds_placement_choose (set, &request, 1000);
  ck_assert_int_eq (next.status, DS_PLACEMENT_OK);
  ck_assert_ptr_ne (next.replica, first.replica);
  ck_assert_ptr_eq (next.passed_over, first.replica);
  ck_assert_int_eq (next.obstacle, DS_PLACEMENT_LEAVING);
  request.tried[request.tried_count++] = next.replica->hash;
  next = ds_placement_choose (set, &request, 1001);
  ck_assert_int_eq (next.status, DS_PLACEMENT_ALL_TRIED);
  ck_assert_int_eq (next.obstacle, DS_PLACEMENT_LEAVING);
}
END_TEST

/* Guards against refusing what replicas still serve although all of them
   leave, and against sending it to one that may be gone.  */
START_TEST (replicas_that_all_leave_serve_while_they_drain)
{
  struct ds_placement_request request = { .service = DS_STR ("ledger"),
                                          .zone = DS_STR ("kelheim"),
                                          .drain_ms = 2000 };
  struct ds_placement next;

  (void)ds_replica_set_record_leaving (
      set, ds_replica_set_find (set, DS_STR ("b1")), 1000);
  (void)ds_replica_set_record_leaving (
      set, ds_replica_set_find (set, DS_STR ("b2")), 1500);
  ck_assert_int_eq (ds_placement_choose (set, &request, 2999).status,
                    DS_PLACEMENT_OK);
  next = ds_placement_choose (set, &request, 3000);
  ck_assert_int_eq (next.status, DS_PLACEMENT_OK);
  ck_assert (ds_str_equal (next.replica->record.id, DS_STR ("b2")));
  next = ds_placement_choose (set, &request, 3500);
  ck_assert_int_eq (next.status, DS_PLACEMENT_NO_REPLICA);
  ck_assert_int_eq (next.obstacle, DS_PLACEMENT_LEAVING);
  /* A retry does not go to a replica that leaves.  */
  request.tried[request.tried_count++] = 1;
  ck_assert_int_eq (ds_placement_choose (set, &request, 1600).status,
                    DS_PLACEMENT_NO_REPLICA);
}
END_TEST

/* Guards against requests to one of three replicas that wants none, and
   against holding back what the others can take.  */
START_TEST (a_replica_that_pushes_back_is_passed_over)
{
  struct ds_placement_request request
      = { .service = DS_STR ("ledger"), .zone = DS_STR ("kelheim") };
  struct ds_placement first;
  struct ds_placement next;

  add_replica ("b3", "ledger", "riedenburg", false);
  first = ds_placement_choose (set, &request, 1000);
  (void)ds_replica_set_record_hold (set, first.replica, 2000, 1000);
  ck_assert_uint_eq (ds_placement_wait_ms (set, &request, 1000), 0);
  for (int i = 0; i < 2; i++)
    {
      next = ds_placement_choose (set, &request, 1000);
      ck_assert_int_eq (next.status, DS_PLACEMENT_OK);
      ck_assert_ptr_ne (next.replica, first.replica);
      ck_assert_ptr_eq (next.passed_over, first.replica);
      ck_assert_int_eq (next.obstacle, DS_PLACEMENT_HELD);
      next.replica->local_load.running += 4;
    }
  ck_assert_ptr_eq (ds_placement_choose (set, &request, 3000).replica,
                    first.replica);
  request.tried[request.tried_count++] = next.replica->hash;
  next = ds_placement_choose (set, &request, 2999);
  request.tried[request.tried_count++] = next.replica->hash;
  next = ds_placement_choose (set, &request, 2999);
  ck_assert_int_eq (next.status, DS_PLACEMENT_ALL_TRIED);
  ck_assert_int_eq (next.obstacle, DS_PLACEMENT_HELD);
}
END_TEST

/* Returns a limit under which the only host may send to cold replicas.  */
static struct ds_cold_limit
lone_host (void)
{
  struct ds_cold_limit limit = { .bounds = { .overage = 1.5, .slack = 5 },
                                 .self = 7,
                                 .registered_ms = 1,
                                 .settled = true };

  ck_assert_int_eq (
      ds_cold_limit_set_hosts (&limit, owner, &limit.self, 1, 900), 0);
  return limit;
}

/* Guards against a request to a cold replica before its turn: the warm one
   gets it, and once that was tried, it is refused with the time of the turn.
   A service without a rate has no cold replicas.  */
START_TEST (a_cold_replica_is_passed_over_until_its_turn)
{
  struct ds_cold_limit limit = lone_host ();
  struct ds_placement_request request
      = { .service = DS_STR ("ledger"),
          .zone = DS_STR ("kelheim"),
          .cold_limit = &limit,
          .cold_rule = { .start_ms = 30000, .per_s = 2 } };
  struct ds_replica *cold = ds_replica_set_find (set, DS_STR ("b1"));
  struct ds_replica *warm = ds_replica_set_find (set, DS_STR ("b2"));
  struct ds_placement next;

  (void)ds_cold_state_observe (&cold->cold, 9000, 1, 1000);
  (void)ds_cold_state_observe (&warm->cold, 0, 1, 1000);
  next = ds_placement_choose (set, &request, 1000);
  ck_assert_ptr_eq (next.replica, warm);
  ck_assert_ptr_eq (next.passed_over, cold);
  ck_assert_int_eq (next.obstacle, DS_PLACEMENT_COLD);
  (void)ds_cold_state_observe (&warm->cold, 3000, 2, 1000);
  next = ds_placement_choose (set, &request, 1000);
  ck_assert_int_eq (next.status, DS_PLACEMENT_ALL_COLD);
  ck_assert_uint_eq (ds_placement_wait_ms (set, &request, 1000), 501);
  ck_assert_ptr_eq (ds_placement_choose (set, &request, 1501).replica, cold);
  cold->cold.sent_ms = 1501;
  ck_assert_ptr_eq (ds_placement_choose (set, &request, 1501).replica, warm);
  request.cold_rule.per_s = 0;
  ck_assert_ptr_eq (ds_placement_choose (set, &request, 1501).replica, cold);
}
END_TEST

/* Guards against a part that each host has prefilled at another replica, since
   the preferred one is cold and takes none from most of them.  */
START_TEST (a_cold_replica_is_not_preferred)
{
  struct ds_cold_limit limit = lone_host ();
  struct ds_cold_limit unlisted = { .registered_ms = 1 };
  struct ds_placement_request request = shared_part_request (77, 1);
  struct ds_placement first = ds_placement_choose (set, &request, 1000);

  for (size_t i = 0; i < ds_replica_set_count (set); i++)
    (void)ds_cold_state_observe (&ds_replica_set_at (set, i)->cold, 0, 1,
                                 1000);
  (void)ds_cold_state_observe (&first.replica->cold, 9000, 2, 1000);
  request.cold_rule = (struct ds_cold_rule){ .start_ms = 30000, .per_s = 7.3 };
  request.cold_limit = &limit;
  first = ds_placement_choose (set, &request, 3000);
  request.cold_limit = &unlisted;
  ck_assert_ptr_eq (ds_placement_choose (set, &request, 3000).replica,
                    first.replica);
}
END_TEST

/* Guards against telling callers another time than that of the replica that is
   back first, and against a request to one that leaves while the others only
   push back.  */
START_TEST (the_shortest_hold_decides_when_all_push_back)
{
  struct ds_placement_request request = { .service = DS_STR ("ledger"),
                                          .zone = DS_STR ("kelheim"),
                                          .drain_ms = 2000 };
  struct ds_replica *held[2];

  add_replica ("b3", "ledger", "riedenburg", false);
  held[0] = ds_replica_set_find (set, DS_STR ("b1"));
  held[1] = ds_replica_set_find (set, DS_STR ("b2"));
  (void)ds_replica_set_record_leaving (
      set, ds_replica_set_find (set, DS_STR ("b3")), 1000);
  (void)ds_replica_set_record_hold (set, held[0], 2000, 1000);
  (void)ds_replica_set_record_hold (set, held[1], 700, 1000);
  ck_assert_int_eq (ds_placement_choose (set, &request, 1100).status,
                    DS_PLACEMENT_ALL_HELD);
  ck_assert_uint_eq (ds_placement_wait_ms (set, &request, 1100), 600);
  ck_assert_uint_eq (ds_placement_wait_ms (set, &request, 1700), 0);
  ck_assert_ptr_eq (ds_placement_choose (set, &request, 1700).replica,
                    held[1]);
  /* Both at once: it is not used when the hold has ended.  */
  (void)ds_replica_set_record_leaving (set, held[1], 1200);
  ck_assert_int_eq (ds_placement_choose (set, &request, 1700).status,
                    DS_PLACEMENT_ALL_HELD);
  ck_assert_uint_eq (ds_placement_wait_ms (set, &request, 1700), 1300);
}
END_TEST

/* Guards against requests to an evacuated zone: while others serve, as a last
   resort, and by a preference for the replica of a part.  */
START_TEST (evacuated_zones_get_no_requests)
{
  struct ds_evacuations *evacuations;
  struct ds_placement placement;
  struct ds_placement_request request = { .service = DS_STR ("ledger"),
                                          .zone = DS_STR ("kelheim"),
                                          .drain_ms = 2000 };

  ck_assert_int_eq (ds_evacuations_new (&evacuations, owner), 0);
  request.evacuations = evacuations;
  ck_assert_int_eq (ds_placement_exclusion (set, &request),
                    DS_PLACEMENT_EVACUATED);
  (void)ds_evacuations_put (evacuations, DS_STR ("kelheim"), 1);
  ds_evacuations_end_list (evacuations, 1);
  placement = ds_placement_choose (set, &request, 1000);
  ck_assert (ds_str_equal (placement.replica->record.id, DS_STR ("b2")));
  ck_assert_int_eq (placement.obstacle, DS_PLACEMENT_EVACUATED);
  ck_assert_int_eq (ds_placement_exclusion (set, &request),
                    DS_PLACEMENT_UNOBSTRUCTED);
  (void)ds_replica_set_record_hold (set, placement.replica, 700, 1000);
  ck_assert_uint_eq (ds_placement_wait_ms (set, &request, 1100), 600);
  (void)ds_evacuations_put (evacuations, DS_STR ("riedenburg"), 2);
  placement = ds_placement_choose (set, &request, 1000);
  ck_assert_int_eq (placement.status, DS_PLACEMENT_NO_REPLICA);
  ck_assert_int_eq (placement.obstacle, DS_PLACEMENT_EVACUATED);
  (void)ds_evacuations_remove (evacuations, DS_STR ("riedenburg"), 1);
  for (uint64_t part = 1; part < 40; part++)
    {
      request = shared_part_request (part, 1000 + part);
      request.evacuations = evacuations;
      placement = ds_placement_choose (set, &request, 1);
      ck_assert_ptr_nonnull (placement.replica);
      ck_assert (
          !ds_str_equal (placement.replica->record.zone, DS_STR ("kelheim")));
      request.parts[1].id += 1000;
      ck_assert_ptr_eq (ds_placement_choose (set, &request, 1).replica,
                        placement.replica);
    }
}
END_TEST

/* Guards against a request that leaves the regions that its route and its
   workspace allow: also when nothing else is left, and for a zone whose region
   is unknown.  */
START_TEST (requests_stay_in_allowed_regions)
{
  static struct ds_name_pair pairs[]
      = { { .key = { "kelheim", 7 }, .value = { "south", 5 } },
          { .key = { "riedenburg", 10 }, .value = { "north", 5 } } };
  static struct ds_str north = { "north", 5 };
  static struct ds_str south = { "south", 5 };
  const struct ds_name_map zones = { .items = pairs, .count = 2 };
  const struct ds_allowed_regions route
      = { .is_set = true, .items = &north, .count = 1 };
  const struct ds_allowed_regions workspace
      = { .is_set = true, .items = &south, .count = 1 };
  struct ds_placement_request request = { .service = DS_STR ("ledger"),
                                          .zone = DS_STR ("kelheim"),
                                          .drain_ms = 2000 };
  struct ds_placement placement;

  add_replica ("b3", "ledger", "unknown", false);
  request.regions
      = (struct ds_region_rule){ .zones = &zones, .route = &route };
  placement = ds_placement_choose (set, &request, 1);
  ck_assert (ds_str_equal (placement.replica->record.id, DS_STR ("b2")));
  ck_assert_ptr_null (placement.passed_over);
  request.tried[request.tried_count++] = placement.replica->hash;
  placement = ds_placement_choose (set, &request, 1);
  ck_assert_int_eq (placement.status, DS_PLACEMENT_ALL_TRIED);
  ck_assert_int_eq (placement.obstacle, DS_PLACEMENT_REGION);
  request.tried_count = 0;
  request.regions.workspace = &workspace;
  ck_assert_int_eq (ds_placement_choose (set, &request, 1).status,
                    DS_PLACEMENT_NO_REPLICA);
  ck_assert_int_eq (ds_placement_exclusion (set, &request),
                    DS_PLACEMENT_REGION);
  request.regions.route = NULL;
  request.regions.zones = NULL;
  ck_assert_int_eq (ds_placement_exclusion (set, &request),
                    DS_PLACEMENT_REGION);
}
END_TEST

/* Guards against a last resort that wants no requests.  */
START_TEST (a_replica_that_leaves_and_pushes_back_is_no_last_resort)
{
  struct ds_placement_request request = { .service = DS_STR ("ledger"),
                                          .zone = DS_STR ("kelheim"),
                                          .drain_ms = 2000 };
  struct ds_replica *replica = ds_replica_set_find (set, DS_STR ("b1"));

  (void)ds_replica_set_record_leaving (set, replica, 1000);
  (void)ds_replica_set_record_leaving (
      set, ds_replica_set_find (set, DS_STR ("b2")), 1000);
  (void)ds_replica_set_record_hold (set, replica, 1000, 1000);
  ck_assert_ptr_ne (ds_placement_choose (set, &request, 1100).replica,
                    replica);
  ck_assert_ptr_eq (ds_placement_choose (set, &request, 2100).replica,
                    replica);
}
END_TEST

/* A replica fails some requests although it is healthy.  It is avoided for
   longer with each consecutive failure, and used if there is no other.  */
START_TEST (a_failing_replica_is_avoided)
{
  struct ds_placement_request request
      = { .service = DS_STR ("ledger"), .zone = DS_STR ("kelheim") };
  struct ds_placement first = ds_placement_choose (set, &request, 1000);
  struct ds_placement next;

  ds_placement_record_failure (first.replica, 1000);
  next = ds_placement_choose (set, &request, 1001);
  ck_assert_ptr_ne (next.replica, first.replica);
  request.tried[0] = next.replica->hash;
  request.tried_count = 1;
  ck_assert_ptr_eq (ds_placement_choose (set, &request, 1001).replica,
                    first.replica);
  ds_placement_record_success (first.replica);
  request.tried_count = 0;
  ck_assert_ptr_eq (ds_placement_choose (set, &request, 1002).replica,
                    first.replica);
}
END_TEST

/* Guards against sending a request to the same replica twice.  */
START_TEST (tried_replicas_are_left_out)
{
  struct ds_placement_request request
      = { .service = DS_STR ("ledger"), .zone = DS_STR ("kelheim") };

  for (int i = 0; i < 2; i++)
    {
      struct ds_placement placement = ds_placement_choose (set, &request, 1);

      ck_assert_int_eq (placement.status, DS_PLACEMENT_OK);
      request.tried[request.tried_count++] = placement.replica->hash;
    }
  ck_assert_int_eq (ds_placement_choose (set, &request, 1).status,
                    DS_PLACEMENT_ALL_TRIED);
}
END_TEST

/* Guards against counting a part as cached although an earlier one is not:
   engines cache prefixes of the prompt.  */
START_TEST (a_missing_part_ends_the_cached_prefix)
{
  struct ds_placement_request request = shared_part_request (5, 6);
  struct ds_replica *replica = ds_replica_set_at (set, 0);

  (void)ds_placement_record_part (replica, 6, 1);
  ck_assert_uint_eq (ds_placement_uncached_tokens (replica, &request, 2),
                     SHARED_TOKENS + PRIVATE_TOKENS);
  (void)ds_placement_record_part (replica, 5, 1);
  ck_assert_uint_eq (ds_placement_uncached_tokens (replica, &request, 2), 1);
}
END_TEST

/* Each request has a private part.  With one table entry per hash, these
   overwrote shared parts, which then needed another prefill elsewhere.  */
START_TEST (private_parts_do_not_evict_shared_parts)
{
  struct ds_replica *replica = ds_replica_set_at (set, 0);
  struct ds_placement_request request = shared_part_request (77, 1);

  /* 40 shared parts, and 100 requests with private parts between two uses of a
     shared one.  */
  for (uint64_t shared = 0; shared < 40; shared++)
    (void)ds_placement_record_part (replica, 70 + shared, 1000);
  for (uint64_t part = 0; part < 100; part++)
    (void)ds_placement_record_part (replica, 5000 + part * 977, 2000 + part);
  for (uint64_t shared = 0; shared < 40; shared++)
    {
      request.parts[0].id = 70 + shared;
      ck_assert_uint_eq (
          ds_placement_uncached_tokens (replica, &request, 3000),
          PRIVATE_TOKENS);
    }
}
END_TEST

/* Guards against one host that owns most of the budgets, and against pages
   that move between remaining hosts when another one leaves.  */
START_TEST (budget_pages_spread_evenly_and_move_only_to_a_new_host)
{
  char names[9][16];
  int owned[8] = { 0 };

  for (int i = 0; i < 9; i++)
    (void)snprintf (names[i], sizeof names[i], "front-%d", i);
  for (uint32_t page = 0; page < 512; page++)
    {
      int best[2] = { 0, 0 };

      for (int i = 1; i < 9; i++)
        {
          uint64_t weight
              = ds_budget_home_weight (ds_str_from_c (names[i]), page);

          if (weight
              > ds_budget_home_weight (ds_str_from_c (names[best[0]]), page))
            best[0] = i;
          if (i < 8
              && weight > ds_budget_home_weight (
                     ds_str_from_c (names[best[1]]), page))
            best[1] = i;
        }
      owned[best[1]]++;
      /* The ninth host takes over pages; none moves between the other
         eight.  */
      if (best[0] != 8)
        ck_assert_int_eq (best[0], best[1]);
    }
  for (int i = 0; i < 8; i++)
    ck_assert (owned[i] > 32 && owned[i] < 128);
}
END_TEST

/* One of three engines is slower by a third.  Its latency factor rises, so
   that it gets fewer requests.  */
START_TEST (latency_factor_follows_observed_latency)
{
  struct ds_replica *replica = ds_replica_set_at (set, 0);

  for (int i = 0; i < 60; i++)
    ds_placement_record_first_event (replica, 400,
                                     200 * replica->latency_factor);
  ck_assert (replica->latency_factor > 1.3F);
  ck_assert (replica->latency_factor < 3.0F);
}
END_TEST

/* Adds two replicas whose capacity is learned and that reject what exceeds
   RUNNING requests: nine tenths of them are the limit.  */
static void
add_limited_replicas (uint32_t running)
{
  const struct ds_capacity_options options
      = { .min_samples = 8, .report_ttl_ms = 5000 };

  ds_replica_set_learn_capacity (set, &options);
  add_replica ("l1", "limited", "kelheim", false);
  add_replica ("l2", "limited", "riedenburg", false);
  for (size_t i = ds_replica_set_count (set) - 2;
       i < ds_replica_set_count (set); i++)
    ds_replica_capacity_record_rejection (ds_replica_set_at (set, i)->capacity,
                                          running, 1000);
}

/* Guards against requests for a replica beyond its learned limit while another
   one has room, and against a refusal for the limits alone.  */
START_TEST (learned_limits_are_exceeded_only_if_all_are_reached)
{
  struct ds_placement_request request
      = { .service = DS_STR ("limited"), .zone = DS_STR ("kelheim") };
  struct ds_placement placement;
  struct ds_replica *first;

  add_limited_replicas (4);
  first = ds_placement_choose (set, &request, 1000).replica;
  ck_assert_str_eq (first->record.id.data, "l1");
  first->local_load.running = 1;
  first->remote_load.running = 2;
  placement = ds_placement_choose (set, &request, 1000);
  ck_assert_str_eq (placement.replica->record.id.data, "l2");
  ck_assert (!placement.beyond_limit);
  placement.replica->local_load.running = 5;
  ck_assert_int_eq (
      ds_placement_choose_within_limits (set, &request, 1000).status,
      DS_PLACEMENT_FULL);
  placement = ds_placement_choose (set, &request, 1000);
  ck_assert_int_eq (placement.status, DS_PLACEMENT_OK);
  ck_assert (placement.beyond_limit);
  ck_assert_ptr_eq (placement.replica, first);
}
END_TEST

/* Guards against a new replica that gets no request, so that nothing becomes
   known of it: one that has been measured is four times as fast as assumed of
   others.  */
START_TEST (an_unknown_replica_counts_as_fast_as_the_others)
{
  const struct ds_capacity_first_event event
      = { .tokens = 5000, .took_ms = 35 };
  int chosen = 0;

  add_limited_replicas (1);
  for (int i = 0; i < 20; i++)
    ds_replica_capacity_record_first_event (
        ds_replica_set_at (set, ds_replica_set_count (set) - 1)->capacity,
        &event, 1000);
  for (uint64_t i = 0; i < 40; i++)
    {
      struct ds_placement_request request = shared_part_request (i, 1000 + i);

      request.service = DS_STR ("limited");
      chosen += ds_str_equal (
          ds_placement_choose (set, &request, 2000).replica->record.id,
          DS_STR ("l1"));
    }
  ck_assert_int_gt (chosen, 10);
  ck_assert_int_lt (chosen, 30);
}
END_TEST

/* Guards against prompts that exceed the memory of a replica, which then
   crashes: those of other hosts count, and none is sent if no replica has
   memory for it.  */
START_TEST (prompts_stay_within_the_memory)
{
  struct ds_placement_request request = { .service = DS_STR ("limited"),
                                          .zone = DS_STR ("kelheim"),
                                          .prompt_tokens = 10000,
                                          .kv_capacity = 100000 };
  struct ds_placement placement;

  add_limited_replicas (6);
  placement = ds_placement_choose (set, &request, 1000);
  placement.replica->local_load.memory_tokens = 40000;
  placement.replica->remote_load.memory_tokens = 40000;
  placement = ds_placement_choose (set, &request, 1000);
  ck_assert_str_eq (placement.replica->record.id.data, "l2");
  placement.replica->remote_load.memory_tokens = 80000;
  ck_assert_int_eq (ds_placement_choose (set, &request, 1000).status,
                    DS_PLACEMENT_FULL);
  request.prompt_tokens = 5000;
  ck_assert_int_eq (ds_placement_choose (set, &request, 1000).status,
                    DS_PLACEMENT_OK);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placement");
  TCase *test_case = tcase_create ("placement");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case,
                  concurrent_requests_for_a_new_part_share_a_replica);
  tcase_add_test (test_case,
                  requests_follow_cached_parts_until_the_queue_is_long);
  tcase_add_test (test_case, load_of_other_hosts_counts);
  tcase_add_test (test_case, a_draining_replica_gets_no_requests);
  tcase_add_test (test_case, a_replica_that_leaves_is_passed_over);
  tcase_add_test (test_case, replicas_that_all_leave_serve_while_they_drain);
  tcase_add_test (test_case, a_replica_that_pushes_back_is_passed_over);
  tcase_add_test (test_case, a_cold_replica_is_passed_over_until_its_turn);
  tcase_add_test (test_case, a_cold_replica_is_not_preferred);
  tcase_add_test (test_case, the_shortest_hold_decides_when_all_push_back);
  tcase_add_test (test_case,
                  a_replica_that_leaves_and_pushes_back_is_no_last_resort);
  tcase_add_test (test_case, evacuated_zones_get_no_requests);
  tcase_add_test (test_case, requests_stay_in_allowed_regions);
  tcase_add_test (test_case, a_failing_replica_is_avoided);
  tcase_add_test (test_case, tried_replicas_are_left_out);
  tcase_add_test (test_case, a_missing_part_ends_the_cached_prefix);
  tcase_add_test (test_case, private_parts_do_not_evict_shared_parts);
  tcase_add_test (test_case,
                  budget_pages_spread_evenly_and_move_only_to_a_new_host);
  tcase_add_test (test_case, latency_factor_follows_observed_latency);
  tcase_add_test (test_case,
                  learned_limits_are_exceeded_only_if_all_are_reached);
  tcase_add_test (test_case, prompts_stay_within_the_memory);
  tcase_add_test (test_case, an_unknown_replica_counts_as_fast_as_the_others);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
