#include "io/problem_document.h"
#include "daisystep/error.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Sets a text member.  External text that is not UTF-8 is omitted, so that the
   document is always valid.  */
static int
set_text (json_t *document, const char *key, const char *text)
{
  if (text == NULL || !ds_str_is_utf8 (ds_str_from_c (text)))
    return 0;
  return json_object_set_new (document, key, json_string (text));
}

static int
fill (json_t *document, const struct ds_problem_document *problem)
{
  if (set_text (document, "type", problem->type) != 0
      || set_text (document, "title", problem->title) != 0
      || json_object_set_new (document, "status",
                              json_integer (problem->status))
             != 0
      || set_text (document, "detail", problem->detail) != 0
      || set_text (document, "ran", ds_ran_name (problem->ran)) != 0
      || set_text (document, "request_id", problem->request_id) != 0)
    return DS_ENOMEM;
  if (problem->retry_after_ms >= 0
      && json_object_set_new (document, "retry_after_ms",
                              json_integer (problem->retry_after_ms))
             != 0)
    return DS_ENOMEM;
  return 0;
}

/* The value of the "ran" member.  */
const char *
ds_ran_name (enum ds_ran ran)
{
  switch (ran)
    {
    case DS_RAN_NO:
      return "no";
    case DS_RAN_YES:
      return "yes";
    case DS_RAN_UNKNOWN:
      break;
    }
  return "unknown";
}

/* Formats PROBLEM as JSON owned by OWNER, on one line so that it can be the
   data of a server-sent event.  Returns DS_ENOMEM if out of memory.  */
int
ds_problem_document_format (struct ds_str *out, TALLOC_CTX *owner,
                            const struct ds_problem_document *problem)
{
  json_t *document = json_object ();
  char *text = NULL;
  int status = DS_ENOMEM;

  if (document == NULL || fill (document, problem) != 0)
    goto done;
  text = json_dumps (document, JSON_COMPACT);
  if (text == NULL)
    goto done;
  *out = ds_str_copy (owner, ds_str_from_c (text));
  status = out->length > 0 ? 0 : DS_ENOMEM;

done:
  free (text);
  json_decref (document);
  return status;
}
