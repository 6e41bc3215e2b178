#include "daisystep/session.h"
#include "daisystep/error.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INCARNATION_DIGITS 16

struct ds_sessions
{
  uint64_t incarnation;
  uint64_t lifetime_ms;
  /* When session number FIRST + i was issued, in milliseconds.  */
  uint64_t *issued_at;
  uint64_t first;
  size_t count;
};

/* Creates an empty table; a session accepts new requests for LIFETIME_MS of
   this host's clock.  */
int
ds_sessions_new (struct ds_sessions **out, TALLOC_CTX *owner,
                 uint64_t incarnation, uint64_t lifetime_ms)
{
  struct ds_sessions *sessions = talloc_zero (owner, struct ds_sessions);

  if (sessions == NULL)
    return DS_ENOMEM;
  sessions->incarnation = incarnation;
  sessions->lifetime_ms = lifetime_ms;
  sessions->first = 1;
  *out = sessions;
  return 0;
}

/* Frees SESSIONS, which may be null.  */
void
ds_sessions_free (struct ds_sessions *sessions)
{
  talloc_free (sessions);
}

static void
drop_expired (struct ds_sessions *sessions, uint64_t now_ms)
{
  size_t expired = 0;

  while (expired < sessions->count
         && now_ms - sessions->issued_at[expired] >= sessions->lifetime_ms)
    expired++;
  /* Moving the table only when half of it is expired keeps the amortized cost
     of a session constant.  */
  if (expired == 0 || expired < sessions->count / 2)
    return;
  sessions->count -= expired;
  sessions->first += expired;
  memmove (sessions->issued_at, sessions->issued_at + expired,
           sessions->count * sizeof *sessions->issued_at);
}

/* Issues a session and writes its null-terminated text to OUT.  */
int
ds_sessions_issue (struct ds_sessions *sessions, uint64_t now_ms,
                   char out[DS_SESSION_TEXT_BYTES])
{
  size_t capacity = talloc_array_length (sessions->issued_at);

  drop_expired (sessions, now_ms);
  if (sessions->count == capacity)
    {
      uint64_t *grown
          = talloc_realloc (sessions, sessions->issued_at, uint64_t,
                            capacity > 0 ? 2 * capacity : 64);

      if (grown == NULL)
        return DS_ENOMEM;
      sessions->issued_at = grown;
    }
  (void)snprintf (out, DS_SESSION_TEXT_BYTES, "%016" PRIx64 "-%" PRIx64,
                  sessions->incarnation, sessions->first + sessions->count);
  sessions->issued_at[sessions->count++] = now_ms;
  return 0;
}

/* Reads hexadecimal digits up to END; at most 16 of them.  */
static int
read_hex (const char **cursor, const char *end, uint64_t *out)
{
  size_t digits = 0;
  uint64_t value = 0;

  for (; *cursor < end && digits < INCARNATION_DIGITS; (*cursor)++, digits++)
    {
      char digit = **cursor;

      if (digit >= '0' && digit <= '9')
        value = value << 4 | (uint64_t)(digit - '0');
      else if (digit >= 'a' && digit <= 'f')
        value = value << 4 | (uint64_t)(digit - 'a' + 10);
      else
        break;
    }
  *out = value;
  return digits > 0 ? 0 : DS_EINVAL;
}

static bool
is_request_number (const char *cursor, const char *end)
{
  uint64_t number;

  return ds_str_to_u64 (&number,
                        (struct ds_str){ .data = cursor,
                                         .length = (size_t)(end - cursor) })
         == 0;
}

/* The lowest session number that still accepts new requests.  */
uint64_t
ds_sessions_lowest_open (const struct ds_sessions *sessions, uint64_t now_ms)
{
  size_t expired = 0;

  while (expired < sessions->count
         && now_ms - sessions->issued_at[expired] >= sessions->lifetime_ms)
    expired++;
  return sessions->first + expired;
}

/* Parses "SESSION.NUMBER" into the incarnation that issued the session and the
   session's number.  DS_EINVAL for any other text.  */
int
ds_session_parse (struct ds_str request_text, uint64_t *incarnation,
                  uint64_t *number)
{
  const char *cursor = request_text.data;
  const char *end = request_text.data + request_text.length;

  if (read_hex (&cursor, end, incarnation) < 0
      || cursor != request_text.data + INCARNATION_DIGITS || cursor == end
      || *cursor++ != '-' || read_hex (&cursor, end, number) < 0
      || cursor == end || *cursor++ != '.' || !is_request_number (cursor, end))
    return DS_EINVAL;
  return 0;
}

/* Checks REQUEST_TEXT, "SESSION.NUMBER".  INCARNATION is set to the host
   incarnation that issued the session unless the text is malformed.  */
enum ds_session_check
ds_sessions_check (const struct ds_sessions *sessions,
                   struct ds_str request_text, uint64_t now_ms,
                   uint64_t *incarnation)
{
  uint64_t number;

  if (ds_session_parse (request_text, incarnation, &number) < 0)
    return DS_SESSION_MALFORMED;
  if (*incarnation != sessions->incarnation)
    return DS_SESSION_OTHER_INCARNATION;
  if (number < sessions->first)
    return DS_SESSION_EXPIRED;
  if (number - sessions->first >= sessions->count)
    return DS_SESSION_MALFORMED;
  return now_ms - sessions->issued_at[number - sessions->first]
                 < sessions->lifetime_ms
             ? DS_SESSION_OPEN
             : DS_SESSION_EXPIRED;
}
