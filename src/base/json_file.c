#include "base/json_file.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* A position in JSON text known to be valid, and its line.  */
struct ds_json_cursor
{
  const char *position;
  const char *end;
  int line;
};

static void
skip_space (struct ds_json_cursor *cursor)
{
  while (cursor->position < cursor->end
         && strchr (" \t\r\n", *cursor->position) != NULL)
    {
      if (*cursor->position == '\n')
        cursor->line++;
      cursor->position++;
    }
}

/* Moves past the string that begins at CURSOR and returns the raw text between
   its quotes.  */
static struct ds_str
skip_string (struct ds_json_cursor *cursor)
{
  const char *start = ++cursor->position;
  struct ds_str inner;

  while (cursor->position < cursor->end && *cursor->position != '"')
    cursor->position += *cursor->position == '\\' ? 2 : 1;
  inner.data = start;
  inner.length = (size_t)(cursor->position - start);
  cursor->position++;
  return inner;
}

static void
skip_value (struct ds_json_cursor *cursor)
{
  int depth = 0;

  do
    {
      skip_space (cursor);
      if (cursor->position >= cursor->end)
        return;
      if (*cursor->position == '"')
        {
          (void)skip_string (cursor);
          continue;
        }
      if (strchr ("[{", *cursor->position) != NULL)
        depth++;
      else if (strchr ("]}", *cursor->position) != NULL)
        depth--;
      else if (depth == 0)
        {
          while (cursor->position < cursor->end
                 && strchr (",]} \t\r\n", *cursor->position) == NULL)
            cursor->position++;
          return;
        }
      cursor->position++;
    }
  while (depth > 0);
}

/* Moves from the start of an array to its item INDEX.  */
static bool
enter_item (struct ds_json_cursor *cursor, long index)
{
  if (*cursor->position != '[')
    return false;
  cursor->position++;
  for (long i = 0; i < index; i++)
    {
      skip_value (cursor);
      skip_space (cursor);
      if (cursor->position >= cursor->end || *cursor->position != ',')
        return false;
      cursor->position++;
    }
  skip_space (cursor);
  return true;
}

/* Moves from the start of an object to the value of member NAME and sets
   KEY_LINE to the line of its key.  */
static bool
enter_member (struct ds_json_cursor *cursor, struct ds_str name, int *key_line)
{
  if (*cursor->position != '{')
    return false;
  do
    {
      struct ds_str key;

      cursor->position++;
      skip_space (cursor);
      if (cursor->position >= cursor->end || *cursor->position != '"')
        return false;
      *key_line = cursor->line;
      key = skip_string (cursor);
      skip_space (cursor);
      cursor->position++;
      skip_space (cursor);
      if (ds_str_equal (key, name))
        return true;
      skip_value (cursor);
      skip_space (cursor);
    }
  while (cursor->position < cursor->end && *cursor->position == ',');
  return false;
}

/* Follows PATH, such as "[2].spec.priority", from CURSOR.  Returns the line of
   the value, or of the nearest enclosing one if the value is absent.  */
static int
find_line (struct ds_json_cursor *cursor, const char *path)
{
  int line = cursor->line;

  while (*path != '\0')
    {
      if (*path == '[')
        {
          char *rest;

          if (!enter_item (cursor, strtol (path + 1, &rest, 10)))
            return line;
          path = *rest == ']' ? rest + 1 : "";
          line = cursor->line;
        }
      else
        {
          struct ds_str name;
          int key_line;

          path += *path == '.' ? 1 : 0;
          name.data = path;
          name.length = strcspn (path, ".[");
          path += name.length;
          if (!enter_member (cursor, name, &key_line))
            return line;
          line = key_line;
        }
    }
  return line;
}

/* The start of each item of the array at CURSOR.  Scanning from the start of
   the file for each item takes minutes for a large invalid set.  */
static struct ds_json_cursor *
index_items (struct ds_json_file *file, struct ds_json_cursor cursor)
{
  size_t count = json_array_size (file->root);
  struct ds_json_cursor *items
      = talloc_zero_array (file, struct ds_json_cursor, count);

  for (size_t i = 0; items != NULL && i < count; i++)
    {
      /* Skip the bracket or comma before the item.  */
      cursor.position++;
      skip_space (&cursor);
      items[i] = cursor;
      skip_value (&cursor);
      skip_space (&cursor);
    }
  return items;
}

static int
destroy_file (struct ds_json_file *file)
{
  json_decref (file->root);
  return 0;
}

/* Reads and parses the JSON file PATH.  Duplicate keys, invalid UTF-8, numbers
   beyond 64 bits and incomplete documents are added to PROBLEMS with line and
   column.  Returns DS_EIO if the file cannot be read, DS_EINVAL if it is not
   valid JSON; OUT is null then.  */
int
ds_json_file_load (struct ds_json_file **out, TALLOC_CTX *owner,
                   const char *path, struct ds_problems *problems)
{
  struct ds_field_location location = { .file = path, .path = "" };
  struct ds_json_file *file;
  GError *read_error = NULL;
  json_error_t parse_error;
  gchar *text;
  gsize length;

  *out = NULL;
  if (!g_file_get_contents (path, &text, &length, &read_error))
    {
      (void)ds_problems_add (problems, DS_EIO, &location, 0, "%s",
                             read_error->message);
      g_error_free (read_error);
      return DS_EIO;
    }
  file = talloc_zero (owner, struct ds_json_file);
  if (file == NULL)
    {
      g_free (text);
      return DS_ENOMEM;
    }
  talloc_set_destructor (file, destroy_file);
  file->path = talloc_strdup (file, path);
  file->text
      = ds_str_copy (file, (struct ds_str){ .data = text, .length = length });
  file->root = json_loadb (text, length, JSON_REJECT_DUPLICATES, &parse_error);
  g_free (text);
  if (file->root != NULL)
    {
      *out = file;
      return 0;
    }
  talloc_free (file);
  return ds_problems_add (
      problems, DS_EINVAL, &location, parse_error.line,
      "line %d, column %d: %s%s", parse_error.line, parse_error.column,
      json_error_code (&parse_error) == json_error_invalid_utf8
          ? "invalid UTF-8: "
          : "",
      parse_error.text);
}

void
ds_json_file_free (struct ds_json_file *file)
{
  talloc_free (file);
}

/* The line, from 1, of the field at PATH in the document at DOCUMENT_PATH,
   null or "[INDEX]", of FILE; that of the nearest enclosing value if the field
   is absent.  */
int
ds_json_file_line (struct ds_json_file *file, const char *document_path,
                   const char *path)
{
  size_t index
      = document_path != NULL ? strtoul (document_path + 1, NULL, 10) : 0;
  struct ds_json_cursor cursor = { .position = file->text.data,
                                   .end = file->text.data + file->text.length,
                                   .line = 1 };

  skip_space (&cursor);
  if (document_path != NULL && file->item_starts == NULL)
    file->item_starts = index_items (file, cursor);
  if (document_path != NULL && file->item_starts != NULL
      && index < json_array_size (file->root))
    cursor = file->item_starts[index];
  return find_line (&cursor, path);
}

/* Sets the missing line numbers of those PROBLEMS from index FIRST on that are
   in FILE.  */
void
ds_json_file_add_lines (struct ds_json_file *file,
                        struct ds_problems *problems, size_t first)
{
  for (size_t i = first; i < problems->count; i++)
    {
      struct ds_problem *problem = &problems->items[i];

      if (problem->line == 0
          && strcmp (problem->location.file, file->path) == 0)
        problem->line = ds_json_file_line (
            file, problem->location.document_path, problem->location.path);
    }
}
