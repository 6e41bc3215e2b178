#ifndef DAISYSTEP_FIELDS_H
#define DAISYSTEP_FIELDS_H

#include "daisystep/error.h"
#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

#define DS_NAME_BYTES_MAX 63

struct json_t;

/* Location of a document or of one of its fields.  SUBJECT names the object
   that the document declares, as "KIND/NAME", and may be null; DOCUMENT_PATH
   is the path of the document in the file, such as "[2]", null for the whole
   file; PATH is that of a field in the document, empty for all of it.  */
struct ds_field_location
{
  const char *file;
  const char *subject;
  const char *document_path;
  const char *path;
};

/* One problem in a JSON document.  LINE is 0 if unknown.  */
struct ds_problem
{
  enum ds_error_code code;
  struct ds_field_location location;
  int line;
  const char *message;
};

/* A talloc context that owns the problems found so far.  */
struct ds_problems
{
  struct ds_problem *items;
  size_t count;
};

/* Each type is followed by the C type of the member at OFFSET.  */
enum ds_field_type
{
  DS_FIELD_BOOL,      /* bool */
  DS_FIELD_NUMBER,    /* uint64_t */
  DS_FIELD_REAL,      /* double, MINIMUM..MAXIMUM */
  DS_FIELD_CHOICE,    /* unsigned int, index into CHOICES */
  DS_FIELD_NAME,      /* struct ds_str, MINIMUM..63 of [a-z0-9.-] */
  DS_FIELD_TEXT,      /* struct ds_str, MINIMUM..MAXIMUM bytes of UTF-8 */
  DS_FIELD_SECRET,    /* as TEXT; the value is omitted from messages */
  DS_FIELD_ADDRESS,   /* struct ds_str, "IP:PORT" */
  DS_FIELD_URL,       /* struct ds_str, "http://IP:PORT" or https */
  DS_FIELD_NAMES,     /* struct ds_str_list of names */
  DS_FIELD_SHA256S,   /* struct ds_str_list of 64 lower-case hex digits */
  DS_FIELD_ADDRESSES, /* struct ds_str_list of addresses */
  DS_FIELD_OBJECT     /* a struct described by MEMBERS */
};

/* An array of strings owned by the enclosing object.  */
struct ds_str_list
{
  struct ds_str *items;
  size_t count;
};

/* Maps one field of a JSON object to a member of a C struct.  NUMBER is the
   default of whole numbers, booleans and choices, REAL that of other numbers,
   TEXT that of strings; lists default to empty.  MINIMUM and MAXIMUM limit the
   value of a number, the bytes of a text and the items of a list.  */
struct ds_field
{
  const char *name;
  enum ds_field_type type;
  size_t offset;
  bool required;
  uint64_t minimum;
  uint64_t maximum;
  uint64_t number;
  double real;
  const char *text;
  const char *const *choices;
  const struct ds_field *members;
  size_t member_count;
};

int ds_problems_new (struct ds_problems **out, TALLOC_CTX *owner);
void ds_problems_free (struct ds_problems *problems);
int ds_problems_add (struct ds_problems *problems, enum ds_error_code code,
                     const struct ds_field_location *location, int line,
                     const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));
char *ds_problem_to_text (TALLOC_CTX *owner, const struct ds_problem *problem);
int ds_problems_to_error (const struct ds_problems *problems, size_t first,
                          const char *step, struct ds_error *error);
int ds_fields_read (void *out, TALLOC_CTX *owner, const struct json_t *object,
                    const struct ds_field *fields, size_t count,
                    const struct ds_field_location *location,
                    struct ds_problems *problems);
bool ds_name_is_valid (struct ds_str name);

#endif
