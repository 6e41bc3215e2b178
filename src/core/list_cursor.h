#ifndef DS_CORE_LIST_CURSOR_H
#define DS_CORE_LIST_CURSOR_H

#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

/* Place in a list that has several pages, each of which continues after a
   name.  Its strings belong to the owner given to ds_list_cursor_advance.  */
struct ds_list_cursor
{
  struct ds_str after; /* the page continues after it; empty for the first */
  struct ds_str mark;  /* an earlier value of AFTER */
  uint64_t steps;      /* since MARK was set */
  uint64_t mark_steps; /* after which MARK is set again */
  bool guessed;        /* AFTER is not the name of an entry */
  bool incomplete;     /* entries may be missing */
};

void ds_list_cursor_begin (struct ds_list_cursor *cursor);
bool ds_list_cursor_is_first (const struct ds_list_cursor *cursor);
bool ds_list_cursor_advance (struct ds_list_cursor *cursor, TALLOC_CTX *owner,
                             struct ds_str last_name, bool has_more);

#endif
