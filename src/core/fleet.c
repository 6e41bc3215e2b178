#include "fleet_internal.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

/* Pause after a failed write of this host's own Host object.  */
#define RETRY_MS 300
/* A backup is replaced when its link has been down for suspect_ms divided by
   this, so that a running host replaces its backups before they recover it. */
#define REPLACE_DIVISOR 2

static gboolean
equal_u64 (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (uint64_t)) == 0;
}

/* Initializes ACTIONS as an empty list, with its data owned by OWNER.  */
int
ds_fleet_actions_init (struct ds_fleet_actions *actions, TALLOC_CTX *owner)
{
  *actions = (struct ds_fleet_actions){ .owner = talloc_new (owner) };
  return actions->owner != NULL ? 0 : DS_ENOMEM;
}

/* Frees the actions and their data.  */
void
ds_fleet_actions_clear (struct ds_fleet_actions *actions)
{
  g_free (actions->items);
  talloc_free (actions->owner);
  *actions = (struct ds_fleet_actions){ .items = NULL };
}

/* Appends an action to the list of the event that is being handled.  */
struct ds_fleet_action *
fleet_add_action (struct ds_fleet *fleet, enum ds_fleet_action_kind kind)
{
  struct ds_fleet_actions *actions = fleet->actions;
  struct ds_fleet_action *action;

  if (actions->count == actions->capacity)
    {
      actions->capacity = actions->capacity > 0 ? 2 * actions->capacity : 8;
      actions->items = g_renew (struct ds_fleet_action, actions->items,
                                actions->capacity);
    }
  action = &actions->items[actions->count++];
  memset (action, 0, sizeof *action);
  action->kind = kind;
  return action;
}

/* The member of INCARNATION, or null.  */
struct member *
fleet_find_member (const struct ds_fleet *fleet, uint64_t incarnation)
{
  return g_hash_table_lookup (fleet->members, &incarnation);
}

static void
release_member (gpointer data)
{
  struct member *member = data;

  talloc_free (member->object);
  talloc_free ((void *)member->host.data);
  talloc_free ((void *)member->zone.data);
  talloc_free ((void *)member->peer_address.data);
  g_free (member);
}

static struct member *
find_or_add_member (struct ds_fleet *fleet, uint64_t incarnation,
                    struct ds_str host, struct ds_str zone,
                    struct ds_str peer_address)
{
  struct member *member = fleet_find_member (fleet, incarnation);

  if (member != NULL)
    return member;
  member = g_new0 (struct member, 1);
  member->incarnation = incarnation;
  member->host = ds_str_copy (NULL, host);
  member->zone = ds_str_copy (NULL, zone);
  member->peer_address = ds_str_copy (NULL, peer_address);
  member->down_since = fleet->now;
  g_hash_table_insert (fleet->members, &member->incarnation, member);
  return member;
}

static uint64_t
rendezvous_weight (struct ds_str name, uint64_t incarnation)
{
  return ds_str_hash (name, incarnation);
}

static bool
is_candidate (const struct member *member)
{
  return member->is_up
         && (member->object == NULL
             || (member->object->state == DS_HOST_OPEN
                 && !member->object->draining));
}

static bool
contains_backup (const struct ds_backup_ref *chosen, size_t count,
                 uint64_t incarnation)
{
  for (size_t i = 0; i < count; i++)
    if (chosen[i].incarnation == incarnation)
      return true;
  return false;
}

static bool
is_current_backup (const struct ds_fleet *fleet, uint64_t incarnation)
{
  return contains_backup (fleet->self->backups, fleet->self->backup_count,
                          incarnation);
}

static bool
zone_is_used (const struct ds_fleet *fleet, const struct ds_backup_ref *chosen,
              size_t count, struct ds_str zone)
{
  for (size_t i = 0; i < count; i++)
    {
      const struct member *member
          = fleet_find_member (fleet, chosen[i].incarnation);

      if (member != NULL && ds_str_equal (member->zone, zone))
        return true;
    }
  return false;
}

/* Whether A is preferred to B as the next backup: first a zone without a
   backup, then a current backup, then the higher rendezvous hash, which
   distributes the hosts' choices evenly.  */
static bool
is_better_backup (const struct ds_fleet *fleet, const struct member *a,
                  const struct member *b, const struct ds_backup_ref *chosen,
                  size_t count)
{
  bool zone_a = !zone_is_used (fleet, chosen, count, a->zone);
  bool zone_b = !zone_is_used (fleet, chosen, count, b->zone);
  bool current_a = is_current_backup (fleet, a->incarnation);
  bool current_b = is_current_backup (fleet, b->incarnation);

  if (zone_a != zone_b)
    return zone_a;
  if (current_a != current_b)
    return current_a;
  return rendezvous_weight (fleet->options.host, a->incarnation)
         > rendezvous_weight (fleet->options.host, b->incarnation);
}

static size_t
choose_backups (const struct ds_fleet *fleet,
                struct ds_backup_ref out[DS_BACKUPS_MAX])
{
  size_t count = 0;

  while (count < fleet->options.backups)
    {
      GHashTableIter iterator;
      gpointer item;
      const struct member *best = NULL;

      g_hash_table_iter_init (&iterator, fleet->members);
      while (g_hash_table_iter_next (&iterator, NULL, &item))
        if (is_candidate (item)
            && !contains_backup (out, count,
                                 ((struct member *)item)->incarnation)
            && (best == NULL
                || is_better_backup (fleet, item, best, out, count)))
          best = item;
      if (best == NULL)
        break;
      out[count++] = (struct ds_backup_ref){
        .incarnation = best->incarnation,
        .host = best->host,
        .peer_address = best->peer_address,
      };
    }
  return count;
}

/* Whether a current backup is lost, or an additional one is available.  */
static bool
should_replace_backups (const struct ds_fleet *fleet,
                        const struct ds_backup_ref *best, size_t best_count)
{
  const struct ds_host *self = fleet->self;
  uint64_t replace_after_ms = fleet->options.suspect_ms / REPLACE_DIVISOR;

  if (best_count > self->backup_count)
    return true;
  for (size_t i = 0; i < self->backup_count; i++)
    {
      const struct member *backup
          = fleet_find_member (fleet, self->backups[i].incarnation);
      bool is_lost
          = backup == NULL
            || (!backup->is_up
                && fleet->now - backup->down_since >= replace_after_ms)
            || (backup->object != NULL
                && (backup->object->state != DS_HOST_OPEN
                    || backup->object->draining));

      if (is_lost
          && !contains_backup (best, best_count, self->backups[i].incarnation))
        return true;
    }
  return false;
}

static void
propose_backups (struct ds_fleet *fleet, const struct ds_backup_ref *backups,
                 size_t count)
{
  struct ds_fleet_action *action
      = fleet_add_action (fleet, DS_FLEET_PROPOSE_BACKUPS);

  fleet->has_proposal = true;
  fleet->proposed_count = count;
  memset (fleet->synced, 0, fleet->options.shard_count * sizeof (bool));
  action->propose.count = count;
  for (size_t i = 0; i < count; i++)
    {
      fleet->proposed[i] = (struct ds_backup_ref){
        .incarnation = backups[i].incarnation,
        .host = ds_str_copy (fleet->memory, backups[i].host),
        .peer_address = ds_str_copy (fleet->memory, backups[i].peer_address),
      };
      action->propose.backups[i] = backups[i].incarnation;
    }
}

static bool
has_unusable_proposal (const struct ds_fleet *fleet)
{
  for (size_t i = 0; i < fleet->proposed_count; i++)
    {
      const struct member *backup
          = fleet_find_member (fleet, fleet->proposed[i].incarnation);

      if (backup == NULL || !is_candidate (backup))
        return true;
    }
  return false;
}

static bool
all_shards_synced (const struct ds_fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->options.shard_count; i++)
    if (!fleet->synced[i])
      return false;
  return true;
}

/* Starts a change of backups when one is needed and none is in progress.  A
   proposal is kept while its write may have taken effect.  */
static void
check_backups (struct ds_fleet *fleet)
{
  struct ds_backup_ref best[DS_BACKUPS_MAX];
  size_t count;

  if (fleet->is_self_sealed || fleet->is_closing || fleet->is_writing
      || fleet->is_write_due)
    return;
  if (fleet->has_proposal && !has_unusable_proposal (fleet))
    return;
  count = choose_backups (fleet, best);
  if (!fleet->is_open && count < fleet->options.backups
      && fleet->now - fleet->started_at < fleet->options.startup_wait_ms)
    return;
  if (!fleet->is_open || fleet->has_proposal
      || should_replace_backups (fleet, best, count))
    propose_backups (fleet, best, count);
}

/* Writes this host's own object, with the proposed backups once every shard
   has copied its journal to them.  */
static void
write_self (struct ds_fleet *fleet)
{
  struct ds_host *copy;

  if (ds_host_copy (&copy, fleet->actions->owner, fleet->self) < 0)
    return;
  copy->draining = fleet->is_draining;
  copy->state = fleet->is_closing ? DS_HOST_CLOSED : DS_HOST_OPEN;
  if (fleet->has_proposal && all_shards_synced (fleet))
    {
      copy->backup_count = fleet->proposed_count;
      memcpy (copy->backups, fleet->proposed, sizeof copy->backups);
    }
  fleet->is_writing = true;
  fleet->is_write_due = true;
  fleet_add_action (fleet, DS_FLEET_WRITE_HOST)->host = copy;
}

static bool
lists_proposed_backups (const struct ds_fleet *fleet,
                        const struct ds_host *object)
{
  if (object->backup_count != fleet->proposed_count)
    return false;
  for (size_t i = 0; i < object->backup_count; i++)
    if (object->backups[i].incarnation != fleet->proposed[i].incarnation)
      return false;
  return true;
}

/* Applies this host's own object as stored in the platform.  */
static void
apply_own_object (struct ds_fleet *fleet, const struct ds_host *object,
                  bool is_write_result)
{
  struct ds_host *copy;

  if (is_write_result)
    fleet->is_writing = false;
  if (object->version < fleet->self->version
      || ds_host_copy (&copy, fleet->memory, object) < 0)
    return;
  talloc_free (fleet->self);
  fleet->self = copy;
  if (object->state != DS_HOST_OPEN && !fleet->is_closing
      && !fleet->is_self_sealed)
    {
      fleet->is_self_sealed = true;
      fleet->is_write_due = false;
      fleet_add_action (fleet, DS_FLEET_SELF_SEALED);
      return;
    }
  if (fleet->has_proposal && all_shards_synced (fleet)
      && lists_proposed_backups (fleet, object))
    {
      fleet->has_proposal = false;
      fleet->is_open = true;
      fleet_add_action (fleet, DS_FLEET_ADOPT_BACKUPS);
    }
  fleet->is_write_due
      = !fleet->is_self_sealed
        && (object->draining != fleet->is_draining
            || (fleet->has_proposal && all_shards_synced (fleet))
            || (fleet->is_closing && object->state == DS_HOST_OPEN));
}

static void
apply_object (struct ds_fleet *fleet, const struct ds_host *object,
              bool is_write_result)
{
  struct member *member;
  struct ds_host *copy;

  if (object->incarnation == fleet->options.incarnation)
    {
      apply_own_object (fleet, object, is_write_result);
      return;
    }
  member = find_or_add_member (fleet, object->incarnation, object->host,
                               object->zone, object->peer_address);
  if (member->object == NULL || object->version > member->object->version)
    {
      if (ds_host_copy (&copy, NULL, object) < 0)
        return;
      if (member->object == NULL || member->object->state != object->state)
        member->state_since = fleet->now;
      talloc_free (member->object);
      member->object = copy;
      if (object->state == DS_HOST_CLOSED)
        fleet_add_action (fleet, DS_FLEET_HOST_CLOSED)->closed.incarnation
            = object->incarnation;
      if (object->state == DS_HOST_OPEN)
        {
          struct ds_fleet_action *action
              = fleet_add_action (fleet, DS_FLEET_CONNECT);

          action->link.host = member->host;
          action->link.peer_address = member->peer_address;
        }
    }
  recovery_on_object (fleet, object, is_write_result);
}

static void
on_peer_up (struct ds_fleet *fleet, const struct ds_fleet_event *event)
{
  struct member *member = find_or_add_member (
      fleet, event->peer_up.incarnation, event->peer_up.host,
      event->peer_up.zone, event->peer_up.peer_address);

  member->is_up = true;
  member->up_since = fleet->now;
}

static void
on_peer_down (struct ds_fleet *fleet, const struct ds_fleet_event *event)
{
  struct member *member
      = fleet_find_member (fleet, event->peer_down.incarnation);

  if (member == NULL || !member->is_up)
    return;
  member->is_up = false;
  member->down_since = fleet->now;
}

static void
on_host_deleted (struct ds_fleet *fleet, const struct ds_fleet_event *event)
{
  struct member *member = fleet_find_member (fleet, event->object.incarnation);
  struct ds_fleet_action *action;

  /* This host's own object is deleted only retention_ms after a recovery has
     closed it.  */
  if (event->object.incarnation == fleet->options.incarnation && fleet->is_open
      && !fleet->is_closing && !fleet->is_self_sealed)
    {
      fleet->is_self_sealed = true;
      fleet->is_write_due = false;
      fleet_add_action (fleet, DS_FLEET_SELF_SEALED);
      return;
    }
  if (member == NULL || member->is_up)
    return;
  action = fleet_add_action (fleet, DS_FLEET_DISCONNECT);
  action->link.host = ds_str_copy (fleet->actions->owner, member->host);
  g_hash_table_remove (fleet->members, &event->object.incarnation);
}

static void
on_write_failed (struct ds_fleet *fleet, const struct ds_fleet_event *event)
{
  if (event->object.incarnation != fleet->options.incarnation)
    {
      recovery_on_write_failed (fleet, event->object.incarnation);
      return;
    }
  fleet->is_writing = false;
  fleet->retry_at = fleet->now + RETRY_MS;
}

static void
on_synced (struct ds_fleet *fleet, const struct ds_fleet_event *event)
{
  if (!fleet->has_proposal
      || event->synced.shard >= fleet->options.shard_count)
    return;
  fleet->synced[event->synced.shard] = true;
  if (all_shards_synced (fleet) && !fleet->is_writing)
    write_self (fleet);
}

/* Requests the deletion of a Host object that has been closed for
   retention_ms.  Usually one host of the fleet does so; a repeated deletion is
   harmless.  */
static void
delete_old_object (struct ds_fleet *fleet, struct member *member)
{
  struct ds_host *copy;

  if (member->object == NULL || member->object->state != DS_HOST_CLOSED
      || fleet->now - member->state_since < fleet->options.retention_ms
      || fleet->now - member->delete_requested_at < fleet->options.retention_ms
      || !ds_fleet_is_responsible (fleet, member->host)
      || ds_host_copy (&copy, fleet->actions->owner, member->object) < 0)
    return;
  member->delete_requested_at = fleet->now;
  fleet_add_action (fleet, DS_FLEET_DELETE_HOST)->host = copy;
}

static void
on_tick (struct ds_fleet *fleet)
{
  GHashTableIter iterator;
  gpointer item;
  GPtrArray *recoveries = g_ptr_array_new ();

  check_backups (fleet);
  if (fleet->is_write_due && !fleet->is_writing
      && fleet->now >= fleet->retry_at)
    write_self (fleet);
  g_hash_table_iter_init (&iterator, fleet->members);
  while (g_hash_table_iter_next (&iterator, NULL, &item))
    {
      recovery_start_if_due (fleet, item);
      delete_old_object (fleet, item);
    }
  g_hash_table_iter_init (&iterator, fleet->recoveries);
  while (g_hash_table_iter_next (&iterator, NULL, &item))
    g_ptr_array_add (recoveries, item);
  for (guint i = 0; i < recoveries->len; i++)
    recovery_tick (fleet, g_ptr_array_index (recoveries, i));
  g_ptr_array_free (recoveries, TRUE);
}

static void
dispatch_event (struct ds_fleet *fleet, const struct ds_fleet_event *event)
{
  switch (event->kind)
    {
    case DS_FLEET_PEER_UP:
      on_peer_up (fleet, event);
      break;
    case DS_FLEET_PEER_DOWN:
      on_peer_down (fleet, event);
      break;
    case DS_FLEET_HOST_UPDATED:
      apply_object (fleet, event->host.object, false);
      break;
    case DS_FLEET_HOST_WRITTEN:
    case DS_FLEET_HOST_WRITE_CONFLICT:
      apply_object (fleet, event->host.object, true);
      break;
    case DS_FLEET_HOST_DELETED:
      on_host_deleted (fleet, event);
      break;
    case DS_FLEET_HOST_WRITE_FAILED:
      on_write_failed (fleet, event);
      break;
    case DS_FLEET_SHARD_SYNCED:
      on_synced (fleet, event);
      break;
    case DS_FLEET_SEAL_REPLY:
      recovery_on_seal_reply (fleet, event);
      break;
    case DS_FLEET_PAGE_SEALED:
      recovery_on_page_sealed (fleet, event->page_sealed.incarnation,
                               event->page_sealed.page,
                               event->page_sealed.was_sealed);
      break;
    case DS_FLEET_DRAIN:
      fleet->is_draining = true;
      fleet->is_write_due = fleet->is_open;
      break;
    case DS_FLEET_CLOSE:
      fleet->is_closing = true;
      fleet->is_write_due = fleet->is_open;
      break;
    case DS_FLEET_TICK:
      on_tick (fleet);
      break;
    }
}

/* Creates the view of a starting host.  The strings of OPTIONS are copied.  */
int
ds_fleet_new (struct ds_fleet **out, TALLOC_CTX *owner,
              const struct ds_fleet_options *options)
{
  struct ds_fleet *fleet = g_new0 (struct ds_fleet, 1);
  struct ds_host self = {
    .incarnation = options->incarnation,
    .host = options->host,
    .zone = options->zone,
    .peer_address = options->peer_address,
    .caller_address = options->caller_address,
  };

  fleet->options = *options;
  if (fleet->options.backups > DS_BACKUPS_MAX)
    fleet->options.backups = DS_BACKUPS_MAX;
  fleet->memory = talloc_new (owner);
  if (fleet->memory == NULL
      || ds_host_copy (&fleet->self, fleet->memory, &self) < 0)
    {
      talloc_free (fleet->memory);
      g_free (fleet);
      return DS_ENOMEM;
    }
  fleet->options.host = ds_str_copy (fleet->memory, options->host);
  fleet->members
      = g_hash_table_new_full (g_int64_hash, equal_u64, NULL, release_member);
  fleet->recoveries
      = g_hash_table_new_full (g_int64_hash, equal_u64, NULL, recovery_free);
  fleet->synced = g_new0 (bool, options->shard_count);
  *out = fleet;
  return 0;
}

/* Frees FLEET, which may be null.  */
void
ds_fleet_free (struct ds_fleet *fleet)
{
  if (fleet == NULL)
    return;
  g_hash_table_destroy (fleet->members);
  g_hash_table_destroy (fleet->recoveries);
  talloc_free (fleet->memory);
  g_free (fleet->synced);
  g_free (fleet);
}

/* Handles EVENT at NOW_MS, milliseconds of a monotonic clock, and appends the
   resulting actions to ACTIONS.  */
void
ds_fleet_handle (struct ds_fleet *fleet, const struct ds_fleet_event *event,
                 uint64_t now_ms, struct ds_fleet_actions *actions)
{
  if (fleet->started_at == 0)
    fleet->started_at = now_ms > 0 ? now_ms : 1;
  fleet->now = now_ms;
  fleet->actions = actions;
  dispatch_event (fleet, event);
  fleet->actions = NULL;
}

/* Whether this host's Host object with its backups is stored as open and the
   host is not closing.  */
bool
ds_fleet_is_open (const struct ds_fleet *fleet)
{
  return fleet->is_open && !fleet->is_self_sealed && !fleet->is_closing;
}

/* Whether this host, among those it has links to, does the shared work for
   NAME.  It may be true on two hosts, so the work must be idempotent.  */
bool
ds_fleet_is_responsible (const struct ds_fleet *fleet, struct ds_str name)
{
  uint64_t own = rendezvous_weight (name, fleet->options.incarnation);
  GHashTableIter iterator;
  gpointer item;

  g_hash_table_iter_init (&iterator, fleet->members);
  while (g_hash_table_iter_next (&iterator, NULL, &item))
    if (is_candidate (item)
        && rendezvous_weight (name, ((struct member *)item)->incarnation)
               > own)
      return false;
  return true;
}

/* The last known Host object of INCARNATION, or null.  */
const struct ds_host *
ds_fleet_find (const struct ds_fleet *fleet, uint64_t incarnation)
{
  const struct member *member;

  if (incarnation == fleet->options.incarnation)
    return fleet->self;
  member = fleet_find_member (fleet, incarnation);
  return member != NULL ? member->object : NULL;
}

static bool
is_available (const struct member *member)
{
  return member->is_up && member->object != NULL
         && member->object->state == DS_HOST_OPEN && !member->object->draining;
}

static gint
compare_hosts (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct ds_str *workspace = data;
  uint64_t left = rendezvous_weight (
      *workspace, (*(const struct ds_host *const *)a)->incarnation);
  uint64_t right = rendezvous_weight (
      *workspace, (*(const struct ds_host *const *)b)->incarnation);

  return left == right ? 0 : left > right ? -1 : 1;
}

/* Writes the hosts that WORKSPACE may use to OUT, an array owned by OWNER,
   best first, and returns their number.  The order is the same on every host,
   so that a workspace's requests go to few hosts and its budget is split into
   few grants.  Draining hosts are left out.  */
size_t
ds_fleet_hosts_for_workspace (const struct ds_fleet *fleet, TALLOC_CTX *owner,
                              struct ds_str workspace,
                              const struct ds_host ***out)
{
  GPtrArray *hosts = g_ptr_array_new ();
  GHashTableIter iterator;
  gpointer item;
  size_t count;

  if (ds_fleet_is_open (fleet) && !fleet->is_draining)
    g_ptr_array_add (hosts, fleet->self);
  g_hash_table_iter_init (&iterator, fleet->members);
  while (g_hash_table_iter_next (&iterator, NULL, &item))
    if (is_available (item))
      g_ptr_array_add (hosts, ((struct member *)item)->object);
  g_ptr_array_sort_with_data (hosts, compare_hosts, &workspace);
  count = hosts->len;
  *out = talloc_array (owner, const struct ds_host *, count);
  for (size_t i = 0; *out != NULL && i < count; i++)
    (*out)[i] = g_ptr_array_index (hosts, i);
  g_ptr_array_free (hosts, TRUE);
  return *out != NULL ? count : 0;
}

static const char *
step_name (enum recovery_step step)
{
  static const char *const names[] = { "sealing_object",
                                       "sealing_backups",
                                       "sealing_pages",
                                       "second_pass",
                                       "closing_object",
                                       "done",
                                       "lost" };

  return names[step];
}

static json_t *
dump_member (const struct member *member)
{
  return json_pack (
      "{s:o, s:s%, s:s%, s:b, s:b, s:i}", "incarnation",
      json_sprintf ("%016" PRIx64, member->incarnation), "host",
      member->host.data, member->host.length, "zone", member->zone.data,
      member->zone.length, "up", member->is_up, "draining",
      member->object != NULL && member->object->draining, "state",
      member->object != NULL ? (int)member->object->state : -1);
}

/* The view of the fleet for the operator dump; the caller owns the result.  */
struct json_t *
ds_fleet_dump (const struct ds_fleet *fleet)
{
  json_t *members = json_array ();
  json_t *recoveries = json_array ();
  json_t *self = NULL;
  GHashTableIter iterator;
  gpointer item;

  g_hash_table_iter_init (&iterator, fleet->members);
  while (g_hash_table_iter_next (&iterator, NULL, &item))
    json_array_append_new (members, dump_member (item));
  g_hash_table_iter_init (&iterator, fleet->recoveries);
  while (g_hash_table_iter_next (&iterator, NULL, &item))
    {
      const struct recovery *recovery = item;

      json_array_append_new (
          recoveries,
          json_pack ("{s:o, s:s, s:i}", "incarnation",
                     json_sprintf ("%016" PRIx64, recovery->incarnation),
                     "step", step_name (recovery->step), "pages_left",
                     (int)recovery->pages_left));
    }
  ds_host_to_json (&self, fleet->self);
  return json_pack ("{s:o, s:b, s:b, s:b, s:o, s:o}", "self", self, "open",
                    ds_fleet_is_open (fleet), "sealed", fleet->is_self_sealed,
                    "draining", fleet->is_draining, "members", members,
                    "recoveries", recoveries);
}
