#include "daisystep/host.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static const char *const state_names[] = {
  [DS_HOST_OPEN] = "open",
  [DS_HOST_SEALED] = "sealed",
  [DS_HOST_CLOSED] = "closed",
};

#define STATE_COUNT (sizeof state_names / sizeof state_names[0])

static json_t *
hex_json (uint64_t incarnation)
{
  return json_sprintf ("%016" PRIx64, incarnation);
}

static json_t *
str_json (struct ds_str string)
{
  return json_stringn (string.data, string.length);
}

/* The name of the Host object of INCARNATION, owned by OWNER.  */
char *
ds_host_object_name (TALLOC_CTX *owner, struct ds_str host,
                     uint64_t incarnation)
{
  return talloc_asprintf (owner, "%.*s-%016" PRIx64, DS_STR_ARG (host),
                          incarnation);
}

/* Copies SOURCE with its strings.  */
int
ds_host_copy (struct ds_host **out, TALLOC_CTX *owner,
              const struct ds_host *source)
{
  struct ds_host *copy = talloc (owner, struct ds_host);

  if (copy == NULL)
    return DS_ENOMEM;
  *copy = *source;
  copy->host = ds_str_copy (copy, source->host);
  copy->zone = ds_str_copy (copy, source->zone);
  copy->peer_address = ds_str_copy (copy, source->peer_address);
  copy->caller_address = ds_str_copy (copy, source->caller_address);
  for (size_t i = 0; i < source->backup_count; i++)
    {
      copy->backups[i].host = ds_str_copy (copy, source->backups[i].host);
      copy->backups[i].peer_address
          = ds_str_copy (copy, source->backups[i].peer_address);
    }
  *out = copy;
  return 0;
}

/* Formats the content of a Host object; DS_ENOMEM when out of memory.  */
int
ds_host_to_json (struct json_t **out, const struct ds_host *host)
{
  json_t *backups = json_array ();

  for (size_t i = 0; i < host->backup_count; i++)
    json_array_append_new (
        backups, json_pack ("{s:o, s:o, s:o}", "incarnation",
                            hex_json (host->backups[i].incarnation), "name",
                            str_json (host->backups[i].host), "address",
                            str_json (host->backups[i].peer_address)));
  *out = json_pack ("{s:o, s:o, s:o, s:o, s:o, s:s, s:b, s:o}", "incarnation",
                    hex_json (host->incarnation), "host",
                    str_json (host->host), "zone", str_json (host->zone),
                    "peer_address", str_json (host->peer_address),
                    "caller_address", str_json (host->caller_address), "state",
                    state_names[host->state], "draining", host->draining,
                    "backups", backups);
  return *out != NULL ? 0 : DS_ENOMEM;
}

static int
set_member_error (struct ds_error *error, const char *member)
{
  return ds_error_set (error, DS_EINVAL, "read Host object", NULL,
                       "member '%s' is missing or malformed", member);
}

static bool
read_hex (uint64_t *out, const json_t *json, const char *member)
{
  const char *text = json_string_value (json_object_get (json, member));

  if (text == NULL || strlen (text) != 16
      || strspn (text, "0123456789abcdef") != 16)
    return false;
  *out = strtoull (text, NULL, 16);
  return true;
}

static bool
read_str (struct ds_str *out, TALLOC_CTX *owner, const json_t *json,
          const char *member)
{
  const char *text = json_string_value (json_object_get (json, member));

  if (text == NULL)
    return false;
  *out = ds_str_copy (owner, ds_str_from_c (text));
  return true;
}

static bool
read_state (enum ds_host_state *out, const json_t *json)
{
  const char *text = json_string_value (json_object_get (json, "state"));

  for (size_t i = 0; text != NULL && i < STATE_COUNT; i++)
    if (strcmp (text, state_names[i]) == 0)
      {
        *out = (enum ds_host_state)i;
        return true;
      }
  return false;
}

static bool
read_backups (struct ds_host *host, const json_t *json)
{
  const json_t *array = json_object_get (json, "backups");

  host->backup_count = json_array_size (array);
  if (!json_is_array (array) || host->backup_count > DS_BACKUPS_MAX)
    return false;
  for (size_t i = 0; i < host->backup_count; i++)
    {
      const json_t *backup = json_array_get (array, i);

      if (!read_hex (&host->backups[i].incarnation, backup, "incarnation")
          || !read_str (&host->backups[i].host, host, backup, "name")
          || !read_str (&host->backups[i].peer_address, host, backup,
                        "address"))
        return false;
    }
  return true;
}

/* Parses the content of a Host object; the caller sets the version.  Returns
   DS_EINVAL for a missing or malformed member, which ERROR names.  */
int
ds_host_from_json (struct ds_host **out, TALLOC_CTX *owner,
                   const struct json_t *json, struct ds_error *error)
{
  struct ds_host *host = talloc_zero (owner, struct ds_host);
  const char *invalid_member = NULL;

  if (host == NULL)
    return DS_ENOMEM;
  if (!read_hex (&host->incarnation, json, "incarnation"))
    invalid_member = "incarnation";
  else if (!read_str (&host->host, host, json, "host"))
    invalid_member = "host";
  else if (!read_str (&host->zone, host, json, "zone"))
    invalid_member = "zone";
  else if (!read_str (&host->peer_address, host, json, "peer_address"))
    invalid_member = "peer_address";
  else if (!read_str (&host->caller_address, host, json, "caller_address"))
    invalid_member = "caller_address";
  else if (!read_state (&host->state, json))
    invalid_member = "state";
  else if (!read_backups (host, json))
    invalid_member = "backups";
  if (invalid_member != NULL)
    {
      talloc_free (host);
      return set_member_error (error, invalid_member);
    }
  host->draining = json_is_true (json_object_get (json, "draining"));
  *out = host;
  return 0;
}
