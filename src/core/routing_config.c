#include "daisystep/routing_config.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

/* Lookup tables.  They hold pointers into the configuration.  */
struct ds_routing_index
{
  GHashTable *routes; /* of struct ds_route, by host and prefix */
  GHashTable *keys;   /* of struct ds_routing_workspace, by key */
  GHashTable *services;
};

/* Ignores the case of the host name.  */
static guint
route_hash (gconstpointer value)
{
  const struct ds_route *route = value;
  guint hash = 0;

  for (size_t i = 0; i < route->host.length; i++)
    hash = hash * 31 + (guint)g_ascii_tolower (route->host.data[i]);
  return (guint)ds_str_hash (route->path_prefix, hash);
}

static gboolean
route_equal (gconstpointer a, gconstpointer b)
{
  const struct ds_route *left = a;
  const struct ds_route *right = b;

  return left->host.length == right->host.length
         && strncasecmp (left->host.data, right->host.data, left->host.length)
                == 0
         && ds_str_equal (left->path_prefix, right->path_prefix);
}

static guint
text_hash (gconstpointer value)
{
  return (guint)ds_str_hash (*(const struct ds_str *)value, 0);
}

static gboolean
text_equal (gconstpointer a, gconstpointer b)
{
  return ds_str_equal (*(const struct ds_str *)a, *(const struct ds_str *)b);
}

static int
destroy_index (struct ds_routing_index *index)
{
  g_hash_table_destroy (index->routes);
  g_hash_table_destroy (index->keys);
  g_hash_table_destroy (index->services);
  return 0;
}

/* Builds the lookup tables of a complete configuration.  Returns 0 or
   DS_ENOMEM.  */
int
ds_routing_config_index (struct ds_routing_config *config)
{
  struct ds_routing_index *index
      = talloc_zero (config, struct ds_routing_index);

  if (index == NULL)
    return DS_ENOMEM;
  index->routes = g_hash_table_new (route_hash, route_equal);
  index->keys = g_hash_table_new (text_hash, text_equal);
  index->services = g_hash_table_new (text_hash, text_equal);
  talloc_set_destructor (index, destroy_index);
  for (size_t i = 0; i < config->route_count; i++)
    g_hash_table_add (index->routes, &config->routes[i]);
  for (size_t i = 0; i < config->service_count; i++)
    g_hash_table_insert (index->services, &config->services[i].name,
                         &config->services[i]);
  for (size_t i = 0; i < config->workspace_count; i++)
    for (size_t k = 0; k < config->workspaces[i].key_count; k++)
      g_hash_table_insert (index->keys, &config->workspaces[i].keys[k],
                           &config->workspaces[i]);
  config->index = index;
  return 0;
}

/* Returns the route of HOST with the longest prefix of PATH, which has no
   query; null if there is none.  A port in HOST is ignored.  */
const struct ds_route *
ds_routing_config_find_route (const struct ds_routing_config *config,
                              struct ds_str host, struct ds_str path)
{
  const char *colon
      = host.length > 0 ? memchr (host.data, ':', host.length) : NULL;
  struct ds_route key = { .host = host };

  if (colon != NULL)
    key.host.length = (size_t)(colon - host.data);
  for (size_t length = path.length; length > 0; length--)
    {
      const struct ds_route *route;

      if (path.data[length - 1] != '/')
        continue;
      key.path_prefix = (struct ds_str){ .data = path.data, .length = length };
      route = g_hash_table_lookup (config->index->routes, &key);
      if (route != NULL)
        return route;
    }
  return NULL;
}

/* Returns the workspace of API key KEY, or null.  */
const struct ds_routing_workspace *
ds_routing_config_find_workspace (const struct ds_routing_config *config,
                                  struct ds_str key)
{
  return g_hash_table_lookup (config->index->keys, &key);
}

const struct ds_service *
ds_routing_config_find_service (const struct ds_routing_config *config,
                                struct ds_str name)
{
  return g_hash_table_lookup (config->index->services, &name);
}

/* Returns one of the services of ROUTE, chosen by weight.  DRAW is a uniformly
   distributed number.  The name is empty if all weights are 0.  */
struct ds_str
ds_route_choose_service (const struct ds_route *route, uint64_t draw)
{
  uint64_t total = 0;

  for (size_t i = 0; i < route->target_count; i++)
    total += route->targets[i].weight;
  if (total == 0)
    return DS_STR_EMPTY;
  draw %= total;
  for (size_t i = 0; i < route->target_count; i++)
    {
      if (draw < route->targets[i].weight)
        return route->targets[i].service;
      draw -= route->targets[i].weight;
    }
  return DS_STR_EMPTY;
}
