#include "program/resources.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

static void
add_change (json_t *changes, const char *path, const json_t *before,
            const json_t *after)
{
  json_t *change = json_object ();

  json_object_set_new (change, "field", json_string (path));
  if (before != NULL)
    json_object_set (change, "from", (json_t *)before);
  if (after != NULL)
    json_object_set (change, "to", (json_t *)after);
  json_array_append_new (changes, change);
}

static void
compare_values (json_t *changes, const json_t *before, const json_t *after,
                const char *path)
{
  const char *key;
  json_t *value;

  if (!json_is_object (before) || !json_is_object (after))
    {
      if (before != after && !json_equal (before, after))
        add_change (changes, path, before, after);
      return;
    }
  json_object_foreach ((json_t *)before, key, value)
  {
    char *member = talloc_asprintf (NULL, "%s.%s", path, key);

    compare_values (changes, value, json_object_get (after, key), member);
    talloc_free (member);
  }
  json_object_foreach ((json_t *)after, key, value)
  {
    if (json_object_get (before, key) == NULL)
      {
        char *member = talloc_asprintf (NULL, "%s.%s", path, key);

        add_change (changes, member, NULL, value);
        talloc_free (member);
      }
  }
}

static void
print_value (const json_t *value)
{
  if (value == NULL)
    (void)fputs ("(absent)", stdout);
  else
    (void)json_dumpf (value, stdout, JSON_ENCODE_ANY | JSON_COMPACT);
}

/* Returns the differences between two JSON values by field, as an array of
   {"field","from","to"} that the caller owns; "from" or "to" is missing where
   the field is.  Arrays are compared as a whole.  Null is an absent value.  */
json_t *
ds_json_diff (const json_t *before, const json_t *after, const char *path)
{
  json_t *changes = json_array ();

  compare_values (changes, before, after, path);
  return changes;
}

/* Prints each of CHANGES as an indented line.  */
void
ds_json_diff_print (const json_t *changes)
{
  size_t index;
  json_t *change;

  json_array_foreach ((json_t *)changes, index, change)
  {
    (void)printf ("  %s: ",
                  json_string_value (json_object_get (change, "field")));
    print_value (json_object_get (change, "from"));
    (void)fputs (" -> ", stdout);
    print_value (json_object_get (change, "to"));
    (void)putchar ('\n');
  }
}
