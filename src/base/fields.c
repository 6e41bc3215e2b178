#include "daisystep/fields.h"
#include "daisystep/address.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* Bytes of a rejected value quoted in a message; fits a quoted SHA-256.  */
#define VALUE_EXCERPT_BYTES 80
#define SHA256_HEX_BYTES 64

struct reader
{
  TALLOC_CTX *owner;
  struct ds_problems *problems;
  struct ds_field_location location;
};

static struct ds_field_location
location_at (const struct reader *reader, const char *path)
{
  struct ds_field_location location = reader->location;

  location.path = path;
  return location;
}

static struct ds_str
json_text (const json_t *value)
{
  return (struct ds_str){ .data = json_string_value (value),
                          .length = json_string_length (value) };
}

/* Describes the values that FIELD accepts.  OWNER owns the text.  */
static const char *
allowed_text (TALLOC_CTX *owner, const struct ds_field *field)
{
  char *text;

  switch (field->type)
    {
    case DS_FIELD_BOOL:
      return "true or false";
    case DS_FIELD_NUMBER:
      return talloc_asprintf (owner, "a whole number %" PRIu64 "..%" PRIu64,
                              field->minimum, field->maximum);
    case DS_FIELD_REAL:
      return talloc_asprintf (owner, "a number %" PRIu64 "..%" PRIu64,
                              field->minimum, field->maximum);
    case DS_FIELD_CHOICE:
      text = talloc_strdup (owner, "one of");
      for (size_t i = 0; field->choices[i] != NULL; i++)
        text = talloc_asprintf_append (text, " \"%s\"", field->choices[i]);
      return text;
    case DS_FIELD_NAME:
      return field->minimum == 0 ? "0..63 characters of [a-z0-9.-]"
                                 : "1..63 characters of [a-z0-9.-]";
    case DS_FIELD_TEXT:
    case DS_FIELD_SECRET:
      return talloc_asprintf (owner,
                              "a string of %" PRIu64 "..%" PRIu64 " bytes",
                              field->minimum, field->maximum);
    case DS_FIELD_ADDRESS:
      return "\"IP:PORT\" with an IPv4 number and port 1..65535";
    case DS_FIELD_URL:
      return "\"http://IP:PORT\" or \"https://IP:PORT\" without a path";
    case DS_FIELD_NAMES:
      return talloc_asprintf (owner,
                              "a list of %" PRIu64 "..%" PRIu64
                              " names of 1..63 characters of [a-z0-9.-]",
                              field->minimum, field->maximum);
    case DS_FIELD_SHA256S:
      return talloc_asprintf (
          owner, "a list of %" PRIu64 "..%" PRIu64 " strings of 64 hex digits",
          field->minimum, field->maximum);
    case DS_FIELD_ADDRESSES:
      return talloc_asprintf (
          owner, "a list of %" PRIu64 "..%" PRIu64 " strings \"IP:PORT\"",
          field->minimum, field->maximum);
    case DS_FIELD_OBJECT:
      return "an object";
    }
  return "";
}

static char *
member_path (TALLOC_CTX *owner, const char *path, const char *name)
{
  return talloc_asprintf (owner, "%s%s%s", path, path[0] != '\0' ? "." : "",
                          name);
}

/* Adds the problem that FIELD does not allow VALUE, at PATH; returns CODE.  */
static int
report_invalid_value (const struct reader *reader,
                      const struct ds_field *field, const char *path,
                      const json_t *value, enum ds_error_code code)
{
  struct ds_field_location location = location_at (reader, path);
  char *scratch = talloc_new (NULL);
  char *text = NULL;

  if (field->type != DS_FIELD_SECRET)
    text = json_dumps (value,
                       JSON_ENCODE_ANY | JSON_COMPACT | JSON_ENSURE_ASCII);
  (void)ds_problems_add (
      reader->problems, code, &location, 0,
      "value %.*s%s is not allowed; "
      "allowed: %s",
      VALUE_EXCERPT_BYTES, text != NULL ? text : "(not shown)",
      text != NULL && strlen (text) > VALUE_EXCERPT_BYTES ? "…" : "",
      allowed_text (scratch, field));
  free (text);
  talloc_free (scratch);
  return code;
}

static bool
is_sha256 (struct ds_str text)
{
  for (size_t i = 0; i < text.length; i++)
    if (strchr ("0123456789abcdefABCDEF", text.data[i]) == NULL)
      return false;
  return text.length == SHA256_HEX_BYTES;
}

static bool
is_url (struct ds_str text)
{
  struct sockaddr_in address;
  size_t scheme = 0;

  if (text.length > 7 && memcmp (text.data, "http://", 7) == 0)
    scheme = 7;
  else if (text.length > 8 && memcmp (text.data, "https://", 8) == 0)
    scheme = 8;
  if (scheme == 0)
    return false;
  text.data += scheme;
  text.length -= scheme;
  return ds_address_parse (&address, text) == 0;
}

/* Checks TEXT against the format of FIELD or of its items.  */
static int
check_text (const struct ds_field *field, struct ds_str text)
{
  struct sockaddr_in address;

  switch (field->type)
    {
    case DS_FIELD_NAME:
      if (text.length == 0 && field->minimum == 0)
        return 0;
      return ds_name_is_valid (text) ? 0 : DS_EINVAL;
    case DS_FIELD_NAMES:
      return ds_name_is_valid (text) ? 0 : DS_EINVAL;
    case DS_FIELD_TEXT:
    case DS_FIELD_SECRET:
      return text.length >= field->minimum && text.length <= field->maximum
                 ? 0
                 : DS_ERANGE;
    case DS_FIELD_ADDRESS:
    case DS_FIELD_ADDRESSES:
      return ds_address_parse (&address, text);
    case DS_FIELD_URL:
      return is_url (text) ? 0 : DS_EINVAL;
    case DS_FIELD_SHA256S:
      return is_sha256 (text) ? 0 : DS_EINVAL;
    default:
      return DS_EINVAL;
    }
}

static int
read_number (uint64_t *out, const struct ds_field *field, const json_t *value)
{
  json_int_t number;

  if (!json_is_integer (value))
    return DS_EINVAL;
  number = json_integer_value (value);
  if (number < 0 || (uint64_t)number < field->minimum
      || (uint64_t)number > field->maximum)
    return DS_ERANGE;
  *out = (uint64_t)number;
  return 0;
}

static int
read_real (double *out, const struct ds_field *field, const json_t *value)
{
  double number = json_number_value (value);

  if (!json_is_number (value))
    return DS_EINVAL;
  if (number < (double)field->minimum || number > (double)field->maximum)
    return DS_ERANGE;
  *out = number;
  return 0;
}

static int
read_choice (unsigned int *out, const struct ds_field *field,
             const json_t *value)
{
  if (!json_is_string (value))
    return DS_EINVAL;
  for (unsigned int i = 0; field->choices[i] != NULL; i++)
    if (strcmp (field->choices[i], json_string_value (value)) == 0)
      {
        *out = i;
        return 0;
      }
  return DS_EINVAL;
}

static int
read_string (struct ds_str *out, const struct reader *reader,
             const struct ds_field *field, const json_t *value)
{
  int status;

  if (!json_is_string (value))
    return DS_EINVAL;
  status = check_text (field, json_text (value));
  if (status != 0)
    return status;
  *out = ds_str_copy (reader->owner, json_text (value));
  return 0;
}

/* Copies ITEM for a list; SHA-256 digits are converted to lower case, so that
   equal keys compare equal as text.  */
static struct ds_str
copy_item (TALLOC_CTX *owner, const struct ds_field *field, struct ds_str item)
{
  struct ds_str copy = ds_str_copy (owner, item);
  char *bytes = (char *)copy.data;

  if (field->type == DS_FIELD_SHA256S)
    for (size_t i = 0; i < copy.length; i++)
      bytes[i] = g_ascii_tolower (bytes[i]);
  return copy;
}

static bool
list_contains (const struct ds_str_list *list, struct ds_str item)
{
  for (size_t i = 0; i < list->count; i++)
    if (ds_str_equal (list->items[i], item))
      return true;
  return false;
}

/* Reads a list of strings and reports each invalid item by its index.  */
static int
read_list (struct ds_str_list *out, const struct reader *reader,
           const struct ds_field *field, const char *path, const json_t *value)
{
  size_t count = json_array_size (value);
  int status = 0;

  if (!json_is_array (value))
    return report_invalid_value (reader, field, path, value, DS_EINVAL);
  if (count < field->minimum || count > field->maximum)
    return report_invalid_value (reader, field, path, value, DS_ERANGE);
  out->items = talloc_zero_array (reader->owner, struct ds_str, count);
  if (out->items == NULL)
    return DS_ENOMEM;
  for (size_t i = 0; i < count; i++)
    {
      const json_t *item = json_array_get (value, i);
      char *item_path = talloc_asprintf (NULL, "%s[%zu]", path, i);
      struct ds_field_location location = location_at (reader, item_path);

      struct ds_str copy;

      if (!json_is_string (item) || check_text (field, json_text (item)) != 0)
        {
          status = report_invalid_value (reader, field, item_path, item,
                                         DS_EINVAL);
          talloc_free (item_path);
          continue;
        }
      copy = copy_item (reader->owner, field, json_text (item));
      if (list_contains (out, copy))
        status = ds_problems_add (reader->problems, DS_EINVAL, &location, 0,
                                  "value \"%s\" is in the list twice; "
                                  "allowed: each item once",
                                  copy.data);
      else
        out->items[out->count++] = copy;
      talloc_free (item_path);
    }
  return status;
}

static int
read_value (void *out, const struct reader *reader,
            const struct ds_field *field, const char *path,
            const json_t *value)
{
  struct ds_field_location location = location_at (reader, path);
  int status = DS_EINVAL;

  switch (field->type)
    {
    case DS_FIELD_BOOL:
      if (json_is_boolean (value))
        {
          *(bool *)out = json_is_true (value);
          status = 0;
        }
      break;
    case DS_FIELD_NUMBER:
      status = read_number (out, field, value);
      break;
    case DS_FIELD_REAL:
      status = read_real (out, field, value);
      break;
    case DS_FIELD_CHOICE:
      status = read_choice (out, field, value);
      break;
    case DS_FIELD_NAMES:
    case DS_FIELD_SHA256S:
    case DS_FIELD_ADDRESSES:
      return read_list (out, reader, field, path, value);
    case DS_FIELD_OBJECT:
      return ds_fields_read (out, reader->owner, value, field->members,
                             field->member_count, &location, reader->problems);
    default:
      status = read_string (out, reader, field, value);
      break;
    }
  if (status != 0)
    return report_invalid_value (reader, field, path, value, status);
  return 0;
}

/* Sets the member to its default.  An absent object is read as an empty
   one.  */
static int
set_default (void *out, const struct reader *reader,
             const struct ds_field *field, const char *path)
{
  struct ds_field_location location = location_at (reader, path);
  json_t *empty;
  int status;

  switch (field->type)
    {
    case DS_FIELD_BOOL:
      *(bool *)out = field->number != 0;
      return 0;
    case DS_FIELD_NUMBER:
      *(uint64_t *)out = field->number;
      return 0;
    case DS_FIELD_REAL:
      *(double *)out = field->real;
      return 0;
    case DS_FIELD_CHOICE:
      *(unsigned int *)out = (unsigned int)field->number;
      return 0;
    case DS_FIELD_NAMES:
    case DS_FIELD_SHA256S:
    case DS_FIELD_ADDRESSES:
      *(struct ds_str_list *)out = (struct ds_str_list){ .items = NULL };
      return 0;
    case DS_FIELD_OBJECT:
      empty = json_object ();
      status
          = ds_fields_read (out, reader->owner, empty, field->members,
                            field->member_count, &location, reader->problems);
      json_decref (empty);
      return status;
    default:
      *(struct ds_str *)out
          = ds_str_copy (reader->owner, ds_str_from_c (field->text));
      return 0;
    }
}

static int
report_unknown (const struct reader *reader, const json_t *object,
                const struct ds_field *fields, size_t count)
{
  const char *key;
  json_t *value;
  int status = 0;
  char *allowed = talloc_strdup (NULL, "");

  for (size_t i = 0; i < count; i++)
    allowed = talloc_asprintf_append (allowed, "%s%s", i > 0 ? ", " : "",
                                      fields[i].name);
  json_object_foreach ((json_t *)object, key, value)
  {
    const char *path = member_path (allowed, reader->location.path, key);
    struct ds_field_location location = location_at (reader, path);
    bool known = false;

    for (size_t i = 0; i < count && !known; i++)
      known = strcmp (fields[i].name, key) == 0;
    if (!known)
      status = ds_problems_add (reader->problems, DS_EINVAL, &location, 0,
                                "unknown field; allowed: %s", allowed);
  }
  talloc_free (allowed);
  return status;
}

/* Creates an empty list of problems.  */
int
ds_problems_new (struct ds_problems **out, TALLOC_CTX *owner)
{
  *out = talloc_zero (owner, struct ds_problems);
  return *out != NULL ? 0 : DS_ENOMEM;
}

void
ds_problems_free (struct ds_problems *problems)
{
  talloc_free (problems);
}

/* Adds a problem at LOCATION and returns CODE.  LINE is 0 if unknown.  */
int
ds_problems_add (struct ds_problems *problems, enum ds_error_code code,
                 const struct ds_field_location *location, int line,
                 const char *format, ...)
{
  struct ds_problem *grown
      = talloc_realloc (problems, problems->items, struct ds_problem,
                        (unsigned int)problems->count + 1);
  va_list arguments;

  if (grown == NULL)
    return DS_ENOMEM;
  problems->items = grown;
  va_start (arguments, format);
  grown[problems->count++] = (struct ds_problem){
    .code = code,
    .location = {
      .file = talloc_strdup (problems, location->file),
      .subject = talloc_strdup (problems, location->subject),
      .document_path = talloc_strdup (problems, location->document_path),
      .path = talloc_strdup (problems, location->path),
    },
    .line = line,
    .message = talloc_vasprintf (problems, format, arguments),
  };
  va_end (arguments);
  return code;
}

/* Formats PROBLEM as "FILE:LINE: SUBJECT: FIELD: MESSAGE", without the unknown
   parts.  OWNER owns the text.  */
char *
ds_problem_to_text (TALLOC_CTX *owner, const struct ds_problem *problem)
{
  const struct ds_field_location *location = &problem->location;
  char *text = talloc_strdup (owner, location->file);

  if (problem->line > 0)
    text = talloc_asprintf_append (text, ":%d", problem->line);
  text = talloc_asprintf_append (text, ": ");
  if (location->subject != NULL)
    text = talloc_asprintf_append (text, "%s: ", location->subject);
  if (location->path[0] != '\0')
    text = talloc_asprintf_append (text, "%s: ", location->path);
  return talloc_asprintf_append (text, "%s", problem->message);
}

/* Copies the problem at index FIRST to ERROR and returns its code; returns 0
   if there is none.  The peer of the error is the file.  */
int
ds_problems_to_error (const struct ds_problems *problems, size_t first,
                      const char *step, struct ds_error *error)
{
  const struct ds_problem *problem;
  char *text;

  if (problems->count <= first)
    return 0;
  problem = &problems->items[first];
  text = ds_problem_to_text (NULL, problem);
  (void)ds_error_set (error, problem->code, step, problem->location.file, "%s",
                      text);
  talloc_free (text);
  return problem->code;
}

/* Fills the struct OUT from the JSON OBJECT as the COUNT rows of FIELDS
   describe.  Members of absent fields get their defaults.  Every problem is
   added to PROBLEMS, with paths that start at LOCATION; members of invalid
   fields are left unchanged.  Strings and lists are owned by OWNER.  Returns
   0, or the code of one of the problems.  */
int
ds_fields_read (void *out, TALLOC_CTX *owner, const json_t *object,
                const struct ds_field *fields, size_t count,
                const struct ds_field_location *location,
                struct ds_problems *problems)
{
  struct reader reader
      = { .owner = owner, .problems = problems, .location = *location };
  const struct ds_field document = { .type = DS_FIELD_OBJECT };
  int status;

  if (!json_is_object (object))
    return report_invalid_value (&reader, &document, location->path, object,
                                 DS_EINVAL);
  status = report_unknown (&reader, object, fields, count);
  for (size_t i = 0; i < count; i++)
    {
      const struct ds_field *field = &fields[i];
      const json_t *value = json_object_get (object, field->name);
      char *path = member_path (NULL, location->path, field->name);
      struct ds_field_location field_location = location_at (&reader, path);
      char *member = (char *)out + field->offset;
      int result;

      if (value != NULL)
        result = read_value (member, &reader, field, path, value);
      else if (field->required)
        result = ds_problems_add (problems, DS_EINVAL, &field_location, 0,
                                  "required field is missing; allowed: %s",
                                  allowed_text (path, field));
      else
        result = set_default (member, &reader, field, path);
      if (result != 0)
        status = result;
      talloc_free (path);
    }
  return status;
}

/* Whether NAME is a valid object, host or zone name: 1..63 characters of
   [a-z0-9.-].  */
bool
ds_name_is_valid (struct ds_str name)
{
  for (size_t i = 0; i < name.length; i++)
    {
      char c = name.data[i];

      if (!(c >= 'a' && c <= 'z') && !(c >= '0' && c <= '9') && c != '.'
          && c != '-')
        return false;
    }
  return name.length >= 1 && name.length <= DS_NAME_BYTES_MAX;
}
