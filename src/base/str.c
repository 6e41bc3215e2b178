#include "daisystep/str.h"
#include "daisystep/error.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Wraps the zero-terminated TEXT; a null pointer gives the empty string.  */
struct ds_str
ds_str_from_c (const char *text)
{
  if (text == NULL)
    return DS_STR_EMPTY;
  return (struct ds_str){ .data = text, .length = strlen (text) };
}

/* Copies SOURCE to memory owned by OWNER and appends a zero byte, so that the
   data can be passed to C functions.  */
struct ds_str
ds_str_copy (TALLOC_CTX *owner, struct ds_str source)
{
  char *data = talloc_size (owner, source.length + 1);

  if (data == NULL)
    return DS_STR_EMPTY;
  if (source.length > 0)
    memcpy (data, source.data, source.length);
  data[source.length] = '\0';
  return (struct ds_str){ .data = data, .length = source.length };
}

/* Whether A and B hold the same bytes.  */
bool
ds_str_equal (struct ds_str a, struct ds_str b)
{
  return a.length == b.length
         && (a.length == 0 || memcmp (a.data, b.data, a.length) == 0);
}

/* Compares bytewise; a prefix sorts before the longer string.  Returns a
   negative, zero or positive number like memcmp.  */
int
ds_str_compare (struct ds_str a, struct ds_str b)
{
  size_t shorter = a.length < b.length ? a.length : b.length;
  int order = shorter > 0 ? memcmp (a.data, b.data, shorter) : 0;

  if (order != 0)
    return order;
  if (a.length == b.length)
    return 0;
  return a.length < b.length ? -1 : 1;
}

/* A 64-bit hash that is identical on all hosts and in all processes.  It is
   not collision-resistant: use it for placement, not as an identifier.  */
uint64_t
ds_str_hash (struct ds_str string, uint64_t seed)
{
  return XXH3_64bits_withSeed (string.data, string.length, seed);
}

/* Parses STRING, decimal digits only, into OUT.  Returns DS_EINVAL for any
   other character or an empty string, DS_ERANGE if the number does not
   fit.  */
int
ds_str_to_u64 (uint64_t *out, struct ds_str string)
{
  uint64_t value = 0;

  if (string.length == 0)
    return DS_EINVAL;
  for (size_t i = 0; i < string.length; i++)
    {
      char digit = string.data[i];

      if (digit < '0' || digit > '9')
        return DS_EINVAL;
      if (__builtin_mul_overflow (value, (uint64_t)10, &value)
          || __builtin_add_overflow (value, (uint64_t)(digit - '0'), &value))
        return DS_ERANGE;
    }
  *out = value;
  return 0;
}

/* Whether STRING is valid UTF-8 without zero bytes.  */
bool
ds_str_is_utf8 (struct ds_str string)
{
  return g_utf8_validate (string.data, (gssize)string.length, NULL);
}
