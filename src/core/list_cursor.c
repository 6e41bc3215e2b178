#include "core/list_cursor.h"

#include <string.h>

/* Follows the other printable characters of ASCII, so that a name with it
   appended comes after most names that begin alike.  */
#define LAST_CHARACTER '~'

static void
release (struct ds_str *text)
{
  /* The empty string is a constant.  */
  if (text->length > 0)
    talloc_free ((char *)text->data);
  *text = DS_STR_EMPTY;
}

/* Begins a list, also the first one of a zeroed CURSOR.  */
void
ds_list_cursor_begin (struct ds_list_cursor *cursor)
{
  release (&cursor->after);
  release (&cursor->mark);
  *cursor = (struct ds_list_cursor){
    .after = DS_STR_EMPTY,
    .mark = DS_STR_EMPTY,
    .mark_steps = 1,
  };
}

/* True if the next page is the first one.  */
bool
ds_list_cursor_is_first (const struct ds_list_cursor *cursor)
{
  return cursor->after.length == 0;
}

/* Whether a list that continues after NAME would go round in circles, by
   Brent's method: the mark moves at distances that double.  */
static bool
is_repetition (struct ds_list_cursor *cursor, TALLOC_CTX *owner,
               struct ds_str name)
{
  if (ds_str_equal (name, cursor->after)
      || (cursor->mark.length > 0 && ds_str_equal (name, cursor->mark)))
    return true;
  if (++cursor->steps == cursor->mark_steps)
    {
      release (&cursor->mark);
      cursor->mark = ds_str_copy (owner, name);
      cursor->mark_steps *= 2;
      cursor->steps = 0;
    }
  return false;
}

static void
set_after (struct ds_list_cursor *cursor, TALLOC_CTX *owner,
           struct ds_str name)
{
  struct ds_str after = ds_str_copy (owner, name);

  release (&cursor->after);
  cursor->after = after;
}

/* Passes over a page without names, and over names that begin with that of the
   entry before.  Returns false if there is none, or for a second such page.
 */
static bool
guess_after (struct ds_list_cursor *cursor, TALLOC_CTX *owner)
{
  size_t length = cursor->after.length;
  char *guess;

  if (cursor->guessed || length == 0)
    return false;
  guess = talloc_size (owner, length + 1);
  if (guess == NULL)
    return false;
  memcpy (guess, cursor->after.data, length);
  guess[length] = LAST_CHARACTER;
  set_after (cursor, owner,
             (struct ds_str){ .data = guess, .length = length + 1 });
  talloc_free (guess);
  cursor->guessed = true;
  return true;
}

/* Moves on after a page whose last name is LAST_NAME, empty if it has none.
   HAS_MORE: the store says that the list continues.  Returns whether a further
   page can be asked for.  A list that cannot continue, since no name says
   where or since the store does not go on from there, ends as incomplete.  */
bool
ds_list_cursor_advance (struct ds_list_cursor *cursor, TALLOC_CTX *owner,
                        struct ds_str last_name, bool has_more)
{
  if (!has_more)
    return false;
  if (last_name.length == 0)
    {
      cursor->incomplete = true;
      return guess_after (cursor, owner);
    }
  if (is_repetition (cursor, owner, last_name))
    {
      cursor->incomplete = true;
      return false;
    }
  set_after (cursor, owner, last_name);
  cursor->guessed = false;
  return true;
}
