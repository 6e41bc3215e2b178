#ifndef DAISYSTEP_BASE_JSON_ITEMS_H
#define DAISYSTEP_BASE_JSON_ITEMS_H

#include "daisystep/str.h"

/* Position in the text of a JSON array or object whose items are not
   decoded.  */
struct ds_json_items
{
  struct ds_str rest;
  bool is_object;
};

int ds_json_items_begin (struct ds_json_items *out, struct ds_str text);
int ds_json_items_next (struct ds_json_items *items, struct ds_str *key,
                        struct ds_str *value);
struct ds_str ds_json_member (struct ds_str object, struct ds_str key);
int ds_json_string_decode (struct ds_str *out, TALLOC_CTX *owner,
                           struct ds_str text);

#endif
