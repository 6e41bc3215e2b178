#include "base/json_items.h"
#include "daisystep/error.h"

#include <glib.h>
#include <string.h>

/* Digits of an escaped code unit.  */
#define ESCAPE_DIGITS 4
/* Largest number of bytes of a code point.  */
#define UTF8_BYTES_MAX 4

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

/* Reads the code unit of the escape "\\uXXXX" at AT; -1 if it is malformed. */
static long
read_code_unit (const char *at, const char *end)
{
  long unit = 0;

  if (end - at < ESCAPE_DIGITS + 2 || at[0] != '\\' || at[1] != 'u')
    return -1;
  for (int i = 0; i < ESCAPE_DIGITS; i++)
    {
      int digit = g_ascii_xdigit_value (at[2 + i]);

      if (digit < 0)
        return -1;
      unit = 16 * unit + digit;
    }
  return unit;
}

/* Writes CODE to OUT in the encoding of UTF-8, a surrogate like any other code
   point.  Returns the number of bytes.  */
static size_t
write_code_point (char *out, unsigned long code)
{
  if (code < 0x80)
    {
      out[0] = (char)code;
      return 1;
    }
  if (code < 0x800)
    {
      out[0] = (char)(0xc0 | code >> 6);
      out[1] = (char)(0x80 | (code & 0x3f));
      return 2;
    }
  if (code < 0x10000)
    {
      out[0] = (char)(0xe0 | code >> 12);
      out[1] = (char)(0x80 | (code >> 6 & 0x3f));
      out[2] = (char)(0x80 | (code & 0x3f));
      return 3;
    }
  out[0] = (char)(0xf0 | code >> 18);
  out[1] = (char)(0x80 | (code >> 12 & 0x3f));
  out[2] = (char)(0x80 | (code >> 6 & 0x3f));
  out[3] = (char)(0x80 | (code & 0x3f));
  return 4;
}

/* Decodes the escape at *AT to OUT and moves *AT behind it.  Returns the
   number of bytes, 0 if the escape is malformed.  */
static size_t
decode_escape (char *out, const char **at, const char *end)
{
  static const char letters[] = "\"\\/bfnrt";
  static const char values[] = "\"\\/\b\f\n\r\t";
  const char *letter;
  long unit = read_code_unit (*at, end);
  long low;

  if (unit < 0)
    {
      letter = end - *at >= 2 && (*at)[1] != '\0' ? strchr (letters, (*at)[1])
                                                  : NULL;
      if (letter == NULL)
        return 0;
      out[0] = values[letter - letters];
      *at += 2;
      return 1;
    }
  *at += ESCAPE_DIGITS + 2;
  low = unit >= 0xd800 && unit < 0xdc00 ? read_code_unit (*at, end) : -1;
  if (low < 0xdc00 || low >= 0xe000)
    return write_code_point (out, (unsigned long)unit);
  *at += ESCAPE_DIGITS + 2;
  return write_code_point (out, 0x10000
                                    + ((unsigned long)(unit - 0xd800) << 10)
                                    + (unsigned long)(low - 0xdc00));
}

/* Decodes TEXT, the JSON text of a string, to its bytes, which belong to OWNER
   and are followed by a zero byte.  Unlike a JSON decoder it takes what other
   writers may leave in a name: zero bytes, unpaired surrogates and bytes that
   are no UTF-8.  Returns DS_EPROTOCOL if TEXT is no string, or DS_ENOMEM.  */
int
ds_json_string_decode (struct ds_str *out, TALLOC_CTX *owner,
                       struct ds_str text)
{
  const char *end = text.data + text.length;
  const char *at = text.data + 1;
  size_t length = 0;
  char *bytes;

  if (text.length < 2 || text.data[0] != '"'
      || string_end (text.data, end) != end)
    return DS_EPROTOCOL;
  /* An escape is at least as long as its bytes.  */
  bytes = talloc_size (owner, text.length + UTF8_BYTES_MAX);
  if (bytes == NULL)
    return DS_ENOMEM;
  for (end--; at < end;)
    {
      size_t count = 1;

      if (*at == '\\')
        count = decode_escape (bytes + length, &at, end);
      else
        bytes[length] = *at++;
      if (count == 0)
        {
          talloc_free (bytes);
          return DS_EPROTOCOL;
        }
      length += count;
    }
  bytes[length] = '\0';
  *out = (struct ds_str){ .data = bytes, .length = length };
  return 0;
}
