#ifndef DAISYSTEP_BASE_JSON_FILE_H
#define DAISYSTEP_BASE_JSON_FILE_H

#include "daisystep/fields.h"

struct json_t;

struct ds_json_cursor;

/* The text of a JSON file and its parsed content.  */
struct ds_json_file
{
  const char *path;
  struct ds_str text;
  struct json_t *root;
  /* Starts of the items of a top-level array; set by the first line
     look-up.  */
  struct ds_json_cursor *item_starts;
};

int ds_json_file_load (struct ds_json_file **out, TALLOC_CTX *owner,
                       const char *path, struct ds_problems *problems);
void ds_json_file_free (struct ds_json_file *file);
int ds_json_file_line (struct ds_json_file *file, const char *document_path,
                       const char *path);
void ds_json_file_add_lines (struct ds_json_file *file,
                             struct ds_problems *problems, size_t first);

#endif
