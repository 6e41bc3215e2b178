#include "daisystep/resource.h"

#include <glib.h>
#include <jansson.h>
#include <stddef.h>
#include <string.h>

#define COUNT(rows) (sizeof (rows) / sizeof (rows)[0])
#define MODEL_NAME_BYTES_MAX 256
#define KEYS_MAX 64
#define OFFERINGS_MAX 1024
#define IN_FLIGHT_MAX 65536
#define IN_FLIGHT_DEFAULT 64
#define OUTPUT_TOKENS_DEFAULT 4096
#define PRIORITY_MAX 9
/* One draw of more than half of the remaining tokens would leave too few for
   hosts that draw later.  */
#define DRAW_PERCENT_MAX 50
#define DRAW_PERCENT_DEFAULT 12
#define CONFIG_AGE_MS_MAX ((uint64_t)7 * 24 * 60 * 60 * 1000)

/* In the order of enum ds_resource_kind.  */
static const char *const kind_names[]
    = { "Workspace", "Budget", "Offering", "Upstream", NULL };
static const char *const offering_types[] = { "model", "service", NULL };
static const char *const upstream_states[] = { "active", "leaving", NULL };

static const struct ds_field workspace_fields[] = {
  {
      .name = "budget",
      .type = DS_FIELD_NAME,
      .offset = offsetof (struct ds_workspace, budget),
      .required = true,
      .minimum = 1,
  },
  {
      .name = "key_sha256",
      .type = DS_FIELD_SHA256S,
      .offset = offsetof (struct ds_workspace, key_sha256),
      .required = true,
      .maximum = KEYS_MAX,
  },
  {
      .name = "priority",
      .type = DS_FIELD_NUMBER,
      .offset = offsetof (struct ds_workspace, priority),
      .maximum = PRIORITY_MAX,
  },
  {
      .name = "offerings",
      .type = DS_FIELD_NAMES,
      .offset = offsetof (struct ds_workspace, offerings),
      .required = true,
      .maximum = OFFERINGS_MAX,
  },
};

static const struct ds_field budget_fields[] = {
  {
      .name = "prepaid",
      .type = DS_FIELD_NUMBER,
      .offset = offsetof (struct ds_budget, prepaid),
      .required = true,
      .maximum = DS_TOKENS_MAX,
  },
  {
      .name = "draw_percent",
      .type = DS_FIELD_NUMBER,
      .offset = offsetof (struct ds_budget, draw_percent),
      .minimum = 1,
      .maximum = DRAW_PERCENT_MAX,
      .number = DRAW_PERCENT_DEFAULT,
  },
};

static const struct ds_field offering_fields[] = {
  {
      .name = "type",
      .type = DS_FIELD_CHOICE,
      .offset = offsetof (struct ds_offering, type),
      .required = true,
      .choices = offering_types,
  },
  {
      .name = "model",
      .type = DS_FIELD_TEXT,
      .offset = offsetof (struct ds_offering, model),
      .maximum = MODEL_NAME_BYTES_MAX,
      .text = "",
  },
  {
      .name = "adapter",
      .type = DS_FIELD_TEXT,
      .offset = offsetof (struct ds_offering, adapter),
      .maximum = MODEL_NAME_BYTES_MAX,
      .text = "",
  },
  {
      .name = "max_output_tokens",
      .type = DS_FIELD_NUMBER,
      .offset = offsetof (struct ds_offering, max_output_tokens),
      .minimum = 1,
      .maximum = DS_CALL_TOKENS_MAX,
      .number = OUTPUT_TOKENS_DEFAULT,
  },
  {
      .name = "tokens_per_call",
      .type = DS_FIELD_NUMBER,
      .offset = offsetof (struct ds_offering, tokens_per_call),
      .minimum = 1,
      .maximum = DS_CALL_TOKENS_MAX,
      .number = 1,
  },
  {
      .name = "repeatable",
      .type = DS_FIELD_BOOL,
      .offset = offsetof (struct ds_offering, repeatable),
      .number = 1,
  },
  {
      .name = "max_config_age_ms",
      .type = DS_FIELD_NUMBER,
      .offset = offsetof (struct ds_offering, max_config_age_ms),
      .maximum = CONFIG_AGE_MS_MAX,
  },
};

static const struct ds_field upstream_fields[] = {
  {
      .name = "address",
      .type = DS_FIELD_ADDRESS,
      .offset = offsetof (struct ds_upstream, address),
      .required = true,
  },
  {
      .name = "zone",
      .type = DS_FIELD_NAME,
      .offset = offsetof (struct ds_upstream, zone),
      .required = true,
      .minimum = 1,
  },
  {
      .name = "offerings",
      .type = DS_FIELD_NAMES,
      .offset = offsetof (struct ds_upstream, offerings),
      .required = true,
      .minimum = 1,
      .maximum = OFFERINGS_MAX,
  },
  {
      .name = "state",
      .type = DS_FIELD_CHOICE,
      .offset = offsetof (struct ds_upstream, state),
      .choices = upstream_states,
      .number = DS_UPSTREAM_ACTIVE,
  },
  {
      .name = "max_in_flight",
      .type = DS_FIELD_NUMBER,
      .offset = offsetof (struct ds_upstream, max_in_flight),
      .minimum = 1,
      .maximum = IN_FLIGHT_MAX,
      .number = IN_FLIGHT_DEFAULT,
  },
  {
      .name = "checks_fencing",
      .type = DS_FIELD_BOOL,
      .offset = offsetof (struct ds_upstream, checks_fencing),
  },
};

/* The fields of an object outside "spec" and "status".  */
struct envelope
{
  unsigned int kind;
  struct ds_str name;
  uint64_t version;
};

static const struct ds_field envelope_fields[] = {
  {
      .name = "kind",
      .type = DS_FIELD_CHOICE,
      .offset = offsetof (struct envelope, kind),
      .required = true,
      .choices = kind_names,
  },
  {
      .name = "name",
      .type = DS_FIELD_NAME,
      .offset = offsetof (struct envelope, name),
      .required = true,
      .minimum = 1,
  },
  {
      .name = "version",
      .type = DS_FIELD_NUMBER,
      .offset = offsetof (struct envelope, version),
      .maximum = INT64_MAX,
  },
};

static int
read_spec (struct ds_resource *resource, const json_t *spec,
           const struct ds_field_location *location,
           struct ds_problems *problems)
{
  switch (resource->kind)
    {
    case DS_RESOURCE_WORKSPACE:
      return ds_fields_read (&resource->workspace, resource, spec,
                             workspace_fields, COUNT (workspace_fields),
                             location, problems);
    case DS_RESOURCE_BUDGET:
      return ds_fields_read (&resource->budget, resource, spec, budget_fields,
                             COUNT (budget_fields), location, problems);
    case DS_RESOURCE_OFFERING:
      return ds_fields_read (&resource->offering, resource, spec,
                             offering_fields, COUNT (offering_fields),
                             location, problems);
    case DS_RESOURCE_UPSTREAM:
      return ds_fields_read (&resource->upstream, resource, spec,
                             upstream_fields, COUNT (upstream_fields),
                             location, problems);
    }
  return DS_EINVAL;
}

/* Checks the fields that only one type of offering requires.  */
static int
check_offering (const struct ds_resource *resource, const json_t *spec,
                const struct ds_field_location *spec_location,
                struct ds_problems *problems)
{
  struct ds_field_location location = *spec_location;

  if (resource->kind != DS_RESOURCE_OFFERING)
    return 0;
  if (resource->offering.type == DS_OFFERING_MODEL
      && resource->offering.model.length == 0)
    {
      location.path = "spec.model";
      return ds_problems_add (problems, DS_EINVAL, &location, 0,
                              "value \"\" is not allowed for type \"model\"; "
                              "allowed: a string of 1..%d bytes",
                              MODEL_NAME_BYTES_MAX);
    }
  if (resource->offering.type == DS_OFFERING_SERVICE
      && json_object_get (spec, "tokens_per_call") == NULL)
    {
      location.path = "spec.tokens_per_call";
      return ds_problems_add (problems, DS_EINVAL, &location, 0,
                              "required field is missing for type "
                              "\"service\"; allowed: a whole number 1..%d",
                              DS_CALL_TOKENS_MAX);
    }
  return 0;
}

/* "KIND/NAME" of the object JSON as far as it is known, owned by OWNER.  */
static char *
object_label (TALLOC_CTX *owner, const json_t *json)
{
  const char *kind = json_string_value (json_object_get (json, "kind"));
  const char *name = json_string_value (json_object_get (json, "name"));

  return talloc_asprintf (owner, "%s/%s", kind != NULL ? kind : "?",
                          name != NULL ? name : "?");
}

static int
read_envelope (struct envelope *out, TALLOC_CTX *owner, const json_t *json,
               const struct ds_field_location *location,
               struct ds_problems *problems)
{
  json_t *head = json_copy ((json_t *)json);
  int status;

  if (json_is_object (head))
    {
      json_object_del (head, "spec");
      json_object_del (head, "status");
    }
  status = ds_fields_read (out, owner, head, envelope_fields,
                           COUNT (envelope_fields), location, problems);
  json_decref (head);
  return status;
}

/* Index for the checks across resources: the entries by "KIND/NAME" and the
   workspaces by key.  */
struct resource_index
{
  const struct ds_resource_entry *entries;
  size_t count;
  GHashTable *by_name;
  GHashTable *by_key;
  struct ds_problems *problems;
  int status;
};

static const struct ds_resource_entry *
find_entry (const struct resource_index *index, enum ds_resource_kind kind,
            struct ds_str name)
{
  char key[DS_NAME_BYTES_MAX + 16];

  (void)snprintf (key, sizeof key, "%s/%.*s", kind_names[kind],
                  DS_STR_ARG (name));
  return g_hash_table_lookup (index->by_name, key);
}

static void
check_names_are_unique (struct resource_index *index)
{
  for (size_t i = 0; i < index->count; i++)
    {
      const struct ds_resource_entry *entry = &index->entries[i];
      const struct ds_resource *resource = entry->resource;
      const struct ds_resource_entry *other
          = find_entry (index, resource->kind, resource->name);

      if (other == NULL)
        g_hash_table_insert (index->by_name,
                             g_strdup_printf ("%s/%.*s",
                                              kind_names[resource->kind],
                                              DS_STR_ARG (resource->name)),
                             (void *)entry);
      else
        {
          struct ds_field_location location = entry->location;

          location.path = "name";
          index->status = ds_problems_add (
              index->problems, DS_EDUPLICATE, &location, 0,
              "value \"%s\" is declared in %s too; allowed: each object once",
              resource->name.data, other->location.file);
        }
    }
}

static void
check_reference (struct resource_index *index,
                 const struct ds_resource_entry *entry, const char *path,
                 enum ds_resource_kind kind, struct ds_str name)
{
  struct ds_field_location location = entry->location;

  if (find_entry (index, kind, name) != NULL)
    return;
  location.path = path;
  index->status = ds_problems_add (
      index->problems, DS_ENOTFOUND, &location, 0,
      "value \"%s\" names no %s; allowed: the name of a declared %s",
      name.data, kind_names[kind], kind_names[kind]);
}

static void
check_offerings (struct resource_index *index,
                 const struct ds_resource_entry *entry,
                 const struct ds_str_list *offerings)
{
  for (size_t i = 0; i < offerings->count; i++)
    {
      char path[40];

      (void)snprintf (path, sizeof path, "spec.offerings[%zu]", i);
      check_reference (index, entry, path, DS_RESOURCE_OFFERING,
                       offerings->items[i]);
    }
}

static void
check_keys (struct resource_index *index,
            const struct ds_resource_entry *entry)
{
  const struct ds_str_list *keys = &entry->resource->workspace.key_sha256;

  for (size_t i = 0; i < keys->count; i++)
    {
      const struct ds_resource_entry *other
          = g_hash_table_lookup (index->by_key, keys->items[i].data);
      struct ds_field_location location = entry->location;
      char path[40];

      if (other == NULL)
        {
          g_hash_table_insert (index->by_key, (void *)keys->items[i].data,
                               (void *)entry);
          continue;
        }
      (void)snprintf (path, sizeof path, "spec.key_sha256[%zu]", i);
      location.path = path;
      index->status = ds_problems_add (
          index->problems, DS_EDUPLICATE, &location, 0,
          "value \"%s\" is a key of Workspace/%s too; allowed: a key of one "
          "workspace only",
          keys->items[i].data, other->resource->name.data);
    }
}

/* The name of KIND in the object API.  */
const char *
ds_resource_kind_name (enum ds_resource_kind kind)
{
  return kind_names[kind];
}

/* Parses the name of a kind; DS_EINVAL for any other than the four kinds that
   operators write.  */
int
ds_resource_kind_parse (enum ds_resource_kind *out, struct ds_str name)
{
  for (unsigned int i = 0; i < DS_RESOURCE_KINDS; i++)
    if (ds_str_equal (name, ds_str_from_c (kind_names[i])))
      {
        *out = (enum ds_resource_kind)i;
        return 0;
      }
  return DS_EINVAL;
}

/* Reads one object {"kind","name","version","spec","status"} of an operator
   kind, from LOCATION, and adds every problem to PROBLEMS.  "version" and
   "status" may be absent; "status" is ignored.  On failure OUT is null and the
   code of one of the problems is returned.  */
int
ds_resource_read (struct ds_resource **out, TALLOC_CTX *owner,
                  const json_t *json, const struct ds_field_location *location,
                  struct ds_problems *problems)
{
  struct ds_resource *resource = talloc_zero (owner, struct ds_resource);
  struct ds_field_location at = *location;
  struct envelope envelope = { .kind = 0 };
  const json_t *spec = json_object_get (json, "spec");
  char *subject = object_label (NULL, json);
  int status = DS_ENOMEM;

  *out = NULL;
  if (resource == NULL || subject == NULL)
    goto done;
  at.subject = json_is_object (json) ? subject : NULL;
  status = read_envelope (&envelope, resource, json, &at, problems);
  at.path = "spec";
  if (json_is_object (json) && spec == NULL)
    status = ds_problems_add (problems, DS_EINVAL, &at, 0,
                              "required field is missing; allowed: an object");
  resource->kind = envelope.kind;
  resource->name = envelope.name;
  resource->version = envelope.version;
  /* Without a valid kind the fields of the spec are not known.  */
  if (spec != NULL
      && ds_resource_kind_parse (&resource->kind,
                                 ds_str_from_c (json_string_value (
                                     json_object_get (json, "kind"))))
             == 0)
    {
      int result = read_spec (resource, spec, &at, problems);

      if (result == 0)
        result = check_offering (resource, spec, &at, problems);
      status = result != 0 ? result : status;
    }
  if (status != 0)
    goto done;
  *out = resource;
  resource = NULL;

done:
  talloc_free (subject);
  talloc_free (resource);
  return status;
}

/* Reads one object of an operator kind.  ERROR names kind, name, field, value
   and the allowed values of the first problem; its peer is the object.
   Returns DS_EINVAL or DS_ERANGE, and OUT null, for an invalid object.  */
int
ds_resource_from_json (struct ds_resource **out, TALLOC_CTX *owner,
                       const json_t *json, struct ds_error *error)
{
  struct ds_field_location location = { .file = "object", .path = "" };
  struct ds_problems *problems;
  int status;

  *out = NULL;
  if (ds_problems_new (&problems, NULL) != 0)
    return ds_error_set (error, DS_ENOMEM, "read resource", NULL,
                         "out of memory");
  status = ds_resource_read (out, owner, json, &location, problems);
  if (status != 0
      && ds_problems_to_error (problems, 0, "read resource", error) == 0)
    (void)ds_error_set (error, DS_ENOMEM, "read resource", NULL,
                        "out of memory");
  ds_problems_free (problems);
  return status;
}

void
ds_resource_free (struct ds_resource *resource)
{
  talloc_free (resource);
}

/* Checks the rules across resources: each is declared once, the budget of a
   workspace and the offerings of workspaces and upstreams are declared, and no
   two workspaces share a key.  The problem is reported for the later of two
   conflicting entries.  Returns 0 or the code of one of the problems.  */
int
ds_resources_check (const struct ds_resource_entry *entries, size_t count,
                    struct ds_problems *problems)
{
  struct resource_index index = {
    .entries = entries,
    .count = count,
    .by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .by_key = g_hash_table_new (g_str_hash, g_str_equal),
    .problems = problems,
  };

  check_names_are_unique (&index);
  for (size_t i = 0; i < count; i++)
    {
      const struct ds_resource *resource = entries[i].resource;

      switch (resource->kind)
        {
        case DS_RESOURCE_WORKSPACE:
          check_reference (&index, &entries[i], "spec.budget",
                           DS_RESOURCE_BUDGET, resource->workspace.budget);
          check_offerings (&index, &entries[i],
                           &resource->workspace.offerings);
          check_keys (&index, &entries[i]);
          break;
        case DS_RESOURCE_UPSTREAM:
          check_offerings (&index, &entries[i], &resource->upstream.offerings);
          break;
        case DS_RESOURCE_BUDGET:
        case DS_RESOURCE_OFFERING:
          break;
        }
    }
  g_hash_table_destroy (index.by_name);
  g_hash_table_destroy (index.by_key);
  return index.status;
}
