#include "program/call.h"
#include "program/server_internal.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

static void
send_budget_event (struct ds_server *server, struct ds_str name,
                   uint64_t version, const struct ds_budget *budget)
{
  struct generation *generation = server->generation;
  uint32_t page = server_page_of_budget (server, name);
  struct ds_event event = {
    .kind = DS_EVENT_BUDGET,
    .budget
    = { .name = name,
        .page = page,
        .version = version,
        .prepaid = budget != NULL ? budget->prepaid : 0,
        .draw_percent = budget != NULL ? (uint32_t)budget->draw_percent : 1,
        .deleted = budget == NULL },
  };

  (void)pthread_mutex_lock (&server->fleet_lock);
  event.budget.responsible = ds_fleet_is_responsible (server->fleet, name);
  (void)pthread_mutex_unlock (&server->fleet_lock);
  server_shard_handle_event (generation,
                             server_shard_of_page (generation, page), &event);
}

/* Removes the keys declared by the current version of workspace NAME.
   Scanning the table instead took 18 s at startup with the 43,000 workspaces
   of the design target, and the control thread answered no heartbeat
   meanwhile.  */
static void
drop_keys (struct ds_server *server, const char *name)
{
  const struct ds_catalogue_entry *entry = ds_catalogue_find (
      server->catalogue, DS_STR ("Workspace"), ds_str_from_c (name));
  const struct ds_resource *old
      = entry != NULL && !entry->deleted ? entry->payload : NULL;

  for (size_t i = 0; old != NULL && i < old->workspace.key_sha256.count; i++)
    {
      struct ds_str digest = old->workspace.key_sha256.items[i];
      char *key = g_strndup (digest.data, digest.length);

      /* Another workspace may have declared the key since.  */
      if (g_strcmp0 (g_hash_table_lookup (server->keys, key), name) == 0)
        g_hash_table_remove (server->keys, key);
      g_free (key);
    }
}

static void
add_keys (struct ds_server *server, const char *name,
          const struct ds_resource *resource)
{
  for (size_t i = 0; i < resource->workspace.key_sha256.count; i++)
    {
      struct ds_str key = resource->workspace.key_sha256.items[i];

      g_hash_table_replace (server->keys, g_strndup (key.data, key.length),
                            g_strdup (name));
    }
}

/* Stores RESOURCE, null for a deletion, and the keys of a workspace.  Called
   with the catalogue's write lock.  Returns whether it was newer than the
   catalogue's version.  */
static bool
update_catalogue (struct ds_server *server, const char *kind, const char *name,
                  uint64_t version, struct ds_resource *resource)
{
  bool is_workspace = strcmp (kind, "Workspace") == 0;
  const struct ds_catalogue_entry *entry = ds_catalogue_find (
      server->catalogue, ds_str_from_c (kind), ds_str_from_c (name));

  if (entry != NULL && entry->version >= version)
    {
      ds_resource_free (resource);
      return false;
    }
  if (is_workspace)
    drop_keys (server, name);
  if (resource == NULL)
    return ds_catalogue_delete (server->catalogue, ds_str_from_c (kind),
                                ds_str_from_c (name), version)
           == 0;
  if (ds_catalogue_put (server->catalogue, ds_str_from_c (kind),
                        ds_str_from_c (name), version, resource)
      < 0)
    {
      ds_resource_free (resource);
      return false;
    }
  if (is_workspace)
    add_keys (server, name, resource);
  return true;
}

/* Applies a resource or, if RESOURCE is null, its deletion.  Versions not
   newer than the catalogue's are ignored.  */
static void
apply_resource (struct ds_server *server, const char *kind, const char *name,
                uint64_t version, struct ds_resource *resource)
{
  bool is_new;

  (void)pthread_rwlock_wrlock (&server->catalogue_lock);
  is_new = update_catalogue (server, kind, name, version, resource);
  (void)pthread_rwlock_unlock (&server->catalogue_lock);
  if (!is_new)
    {
      /* The catalogue did not take ownership.  */
      talloc_free (resource);
      return;
    }
  if (strcmp (kind, "Budget") == 0)
    send_budget_event (server, ds_str_from_c (name), version,
                       resource != NULL ? &resource->budget : NULL);
  else if (strcmp (kind, "Upstream") == 0 && resource != NULL)
    server_router_put (server, resource);
  else if (strcmp (kind, "Upstream") == 0)
    server_router_remove (server, ds_str_from_c (name), version);
}

/* Handles a change of a watched resource.  */
void
server_on_resource_change (struct ds_server *server, const char *kind,
                           enum ds_platform_change change, const char *name,
                           uint64_t version, const json_t *object)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_resource *resource = NULL;

  if (change == DS_PLATFORM_CHANGE_PUT)
    {
      if (ds_resource_from_json (&resource, NULL, object, &error) < 0)
        {
          /* The last valid version stays in effect.  */
          ds_log_error (&error, NULL);
          return;
        }
      resource->version = version;
    }
  apply_resource (server, kind, name, version, resource);
}

static int
replay_budget (const struct ds_catalogue_entry *entry, void *context)
{
  struct ds_server *server = context;
  const struct ds_resource *resource = entry->payload;

  if (ds_str_equal (entry->kind, DS_STR ("Budget")))
    send_budget_event (server, entry->name, entry->version,
                       resource != NULL && !entry->deleted ? &resource->budget
                                                           : NULL);
  return 0;
}

/* Sends the declared budgets to a new incarnation.  */
void
server_replay_resources (struct ds_server *server)
{
  uint64_t cursor = 0;

  (void)pthread_rwlock_rdlock (&server->catalogue_lock);
  (void)ds_catalogue_visit_changes (server->catalogue, &cursor, SIZE_MAX,
                                    replay_budget, server);
  (void)pthread_rwlock_unlock (&server->catalogue_lock);
}
