#include "entry/replica_log.h"
#include "base/decision_log.h"

/* Logs what the store says of a replica in OBJECT.  RECORD and REASON may be
   null.  */
void
ds_replica_log (const struct ds_store_object *object, struct ds_str state,
                const struct ds_replica_record *record, const char *reason)
{
  struct ds_decision_line line
      = ds_decision_line_begin ("replica", DS_STR_EMPTY);

  ds_decision_line_add_text (&line, "replica", object->name);
  ds_decision_line_add_number (&line, "revision", (int64_t)object->revision);
  ds_decision_line_add_text (&line, "state", state);
  if (record != NULL)
    {
      ds_decision_line_add_text (&line, "service", record->service);
      ds_decision_line_add_text (&line, "address", record->address);
    }
  if (reason != NULL)
    ds_decision_line_add_text (&line, "reason", ds_str_from_c (reason));
  ds_decision_line_end (&line);
}
