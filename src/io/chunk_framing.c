#include "io/chunk_framing.h"

/* Digits of the size of a chunk.  */
#define SIZE_DIGITS_MAX 15

/* The value of the hexadecimal digit C, or -1.  */
static int
digit_value (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

static bool
read_digit (struct ds_chunk_framing *framing, char c)
{
  int value = digit_value (c);

  if (value < 0 || framing->digits == SIZE_DIGITS_MAX)
    return false;
  framing->size = framing->size * 16 + (uint64_t)value;
  framing->digits++;
  framing->state = DS_CHUNK_SIZE_DIGITS;
  return true;
}

/* Reads what may follow the digits of a size.  */
static bool
read_size_end (struct ds_chunk_framing *framing, char c)
{
  switch (c)
    {
    case '\r':
      framing->state = DS_CHUNK_SIZE_LF;
      return true;
    case ';':
      framing->state = DS_CHUNK_EXTENSION;
      return true;
    case ' ':
    case '\t':
      framing->state = DS_CHUNK_SIZE_SPACE;
      return true;
    default:
      return false;
    }
}

static bool
read_extension (struct ds_chunk_framing *framing, char c)
{
  if (c == '\r')
    framing->state = DS_CHUNK_SIZE_LF;
  return c == '\r' || c == '\t' || (unsigned char)c >= ' ';
}

static bool
expect (struct ds_chunk_framing *framing, char c, char expected,
        enum ds_chunk_state next)
{
  framing->state = next;
  return c == expected;
}

/* Reads one byte that is not data.  */
static bool
read_byte (struct ds_chunk_framing *framing, char c)
{
  switch (framing->state)
    {
    case DS_CHUNK_SIZE:
      framing->size = 0;
      framing->digits = 0;
      return read_digit (framing, c);
    case DS_CHUNK_SIZE_DIGITS:
      return digit_value (c) >= 0 ? read_digit (framing, c)
                                  : read_size_end (framing, c);
    case DS_CHUNK_SIZE_SPACE:
      return read_size_end (framing, c);
    case DS_CHUNK_EXTENSION:
      return read_extension (framing, c);
    case DS_CHUNK_SIZE_LF:
      return expect (framing, c, '\n',
                     framing->size > 0 ? DS_CHUNK_DATA : DS_CHUNK_TRAILERS);
    case DS_CHUNK_DATA_CR:
      return expect (framing, c, '\r', DS_CHUNK_DATA_LF);
    case DS_CHUNK_DATA_LF:
      return expect (framing, c, '\n', DS_CHUNK_SIZE);
    case DS_CHUNK_DATA:
    case DS_CHUNK_TRAILERS:
      break;
    }
  return false;
}

/* Returns how many of BYTES belong to the same part of the body: to data of a
   chunk, to what lies between two, or to the trailers.  Sets *VALID to false
   at a byte that RFC 9112 does not allow between chunks.  */
size_t
ds_chunk_framing_advance (struct ds_chunk_framing *framing,
                          struct ds_str bytes, bool *valid)
{
  size_t length = 0;

  *valid = true;
  if (framing->state == DS_CHUNK_TRAILERS)
    return bytes.length;
  if (framing->state == DS_CHUNK_DATA)
    {
      length = bytes.length < framing->size ? bytes.length
                                            : (size_t)framing->size;
      framing->size -= length;
      if (framing->size == 0)
        framing->state = DS_CHUNK_DATA_CR;
      return length;
    }
  while (*valid && length < bytes.length && framing->state != DS_CHUNK_DATA
         && framing->state != DS_CHUNK_TRAILERS)
    *valid = read_byte (framing, bytes.data[length++]);
  return length;
}
