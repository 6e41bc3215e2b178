#include "entry/writer_ends.h"
#include "entry/fleet_view_internal.h"
#include "io/clock.h"

/* Splits the name of a writer, "HOST#INCARNATION"; false if it is no such
   name.  */
static bool
parse_writer (struct ds_str writer, struct ds_str *host, uint64_t *incarnation)
{
  size_t at = writer.length;

  while (at > 0 && writer.data[at - 1] != '#')
    at--;
  if (at == 0)
    return false;
  *host = (struct ds_str){ .data = writer.data, .length = at - 1 };
  return ds_str_to_u64 (incarnation,
                        (struct ds_str){ .data = writer.data + at,
                                         .length = writer.length - at })
         == 0;
}

/* Finds the newest process of HOST that is known; false if none is.  */
static bool
find_successor (const struct ds_fleet_view *view, struct ds_str host,
                struct ds_successor *out)
{
  if (ds_str_equal (host, view->self.host))
    {
      *out = (struct ds_successor){ .incarnation = view->self.incarnation,
                                    .since_ms = view->started_ms,
                                    .is_self = true };
      return true;
    }
  for (size_t i = 0; i < view->count; i++)
    {
      const struct ds_fleet_peer *member = view->members[i];

      if (!ds_str_equal (host, member->info.host))
        continue;
      *out = (struct ds_successor){ .incarnation = member->info.incarnation,
                                    .since_ms = member->incarnation_ms };
      return true;
    }
  return false;
}

static bool
find_end (struct ds_str writer, uint64_t *end_ms, void *user_data)
{
  const struct ds_fleet_view *view = user_data;
  struct ds_successor successor;
  struct ds_str host;
  uint64_t incarnation;

  return parse_writer (writer, &host, &incarnation)
         && find_successor (view, host, &successor)
         && ds_fleet_clock_writer_end (&view->clock, end_ms, incarnation,
                                       &successor, ds_clock_ms ());
}

/* The time at which an update of the ledger is built.  */
struct ds_release_moment
ds_fleet_view_release_moment (struct ds_fleet_view *view)
{
  uint64_t now_ms = ds_clock_ms ();

  ds_fleet_clock_observe (&view->clock, ds_clock_wall_ms (), now_ms);
  return (struct ds_release_moment){
    .now_ms = now_ms,
    .wall_ms = ds_fleet_clock_earliest (&view->clock, now_ms),
  };
}

/* What this host knows of the ends of writers of the ledger, valid as long as
   VIEW does not change.  */
struct ds_writer_ends
ds_fleet_view_writer_ends (struct ds_fleet_view *view)
{
  uint64_t now_ms = ds_clock_ms ();

  ds_fleet_clock_observe (&view->clock, ds_clock_wall_ms (), now_ms);
  return (struct ds_writer_ends){
    .now_ms = ds_fleet_clock_latest (&view->clock, now_ms, now_ms),
    .find = find_end,
    .user_data = view,
  };
}
