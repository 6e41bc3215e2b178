#include "base/json_items.h"
#include "daisystep/error.h"

static bool
is_space (char c)
{
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

static struct ds_str
trim (const char *start, const char *end)
{
  while (start < end && is_space (*start))
    start++;
  while (end > start && is_space (end[-1]))
    end--;
  return (struct ds_str){ .data = start, .length = (size_t)(end - start) };
}

/* Returns the position after the string that begins at START, or null when it
   has no end.  */
static const char *
string_end (const char *start, const char *end)
{
  for (const char *at = start + 1; at < end; at++)
    {
      if (*at == '"')
        return at + 1;
      if (*at == '\\' && at + 1 < end)
        at++;
    }
  return NULL;
}

/* Returns the comma after the item that begins at START, or END if it is the
   last one; null when its strings or brackets have no end.  Nesting is only
   counted, so that any depth takes the same memory.  */
static const char *
item_end (const char *start, const char *end)
{
  const char *at = start;
  size_t depth = 0;

  while (at < end)
    {
      if (*at == '"')
        {
          at = string_end (at, end);
          if (at == NULL)
            return NULL;
          continue;
        }
      if (*at == ',' && depth == 0)
        return at;
      if (*at == '{' || *at == '[')
        depth++;
      else if (*at == '}' || *at == ']')
        {
          if (depth == 0)
            return NULL;
          depth--;
        }
      at++;
    }
  return depth == 0 ? end : NULL;
}

/* Removes the key and its colon from VALUE, the text of a member.  A member
   without a key has an empty one.  */
static struct ds_str
split_key (struct ds_str *value)
{
  const char *end = value->data + value->length;
  const char *key_end = value->length > 0 && value->data[0] == '"'
                            ? string_end (value->data, end)
                            : NULL;
  struct ds_str key;
  struct ds_str rest;

  if (key_end == NULL)
    return DS_STR_EMPTY;
  rest = trim (key_end, end);
  if (rest.length == 0 || rest.data[0] != ':')
    return DS_STR_EMPTY;
  key = (struct ds_str){ .data = value->data + 1,
                         .length = (size_t)(key_end - value->data) - 2 };
  *value = trim (rest.data + 1, end);
  return key;
}

/* Begins to split TEXT, which is borrowed.  Returns 0, or DS_EPROTOCOL when it
   is neither an array nor an object.  */
int
ds_json_items_begin (struct ds_json_items *out, struct ds_str text)
{
  struct ds_str trimmed = trim (text.data, text.data + text.length);
  const char *last;
  bool is_object;

  if (trimmed.length < 2)
    return DS_EPROTOCOL;
  last = trimmed.data + trimmed.length - 1;
  is_object = trimmed.data[0] == '{' && *last == '}';
  if (!is_object && !(trimmed.data[0] == '[' && *last == ']'))
    return DS_EPROTOCOL;
  *out = (struct ds_json_items){ .rest = trim (trimmed.data + 1, last),
                                 .is_object = is_object };
  return 0;
}

/* Stores the text of the next item in VALUE and, in an object, that of its key
   without quotes in KEY.  Neither need be valid JSON: only strings and
   brackets are paired, so that an item that cannot be decoded hides no other.
   Returns 1 for an item, 0 after the last one, or DS_EPROTOCOL when the items
   cannot be told apart.  */
int
ds_json_items_next (struct ds_json_items *items, struct ds_str *key,
                    struct ds_str *value)
{
  const char *end = items->rest.data + items->rest.length;
  const char *item;

  if (items->rest.length == 0)
    return 0;
  item = item_end (items->rest.data, end);
  if (item == NULL)
    return DS_EPROTOCOL;
  *value = trim (items->rest.data, item);
  *key = items->is_object ? split_key (value) : DS_STR_EMPTY;
  items->rest = item < end ? trim (item + 1, end)
                           : (struct ds_str){ .data = end, .length = 0 };
  return 1;
}

/* Returns the text of the last member KEY of OBJECT; empty if there is none or
   OBJECT cannot be split.  Keys with escapes are not recognized.  */
struct ds_str
ds_json_member (struct ds_str object, struct ds_str key)
{
  struct ds_json_items items;
  struct ds_str found = DS_STR_EMPTY;
  struct ds_str name;
  struct ds_str value;
  int status;

  if (ds_json_items_begin (&items, object) != 0 || !items.is_object)
    return DS_STR_EMPTY;
  while ((status = ds_json_items_next (&items, &name, &value)) > 0)
    if (ds_str_equal (name, key))
      found = value;
  return status == 0 ? found : DS_STR_EMPTY;
}
