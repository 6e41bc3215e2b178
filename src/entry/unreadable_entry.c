#include "entry/unreadable_entry.h"
#include "base/decision_log.h"
#include "daisystep/metrics.h"

/* Counts and logs an entry of the store that cannot be used: REVISION of NAME,
   which is empty if it is the name that cannot be read.  Call it once a
   change.  */
void
ds_unreadable_entry_report (const char *kind, struct ds_str name,
                            uint64_t revision, const char *reason)
{
  struct ds_decision_line line
      = ds_decision_line_begin ("entry_unreadable", DS_STR_EMPTY);

  ds_metric_add (DS_METRIC_UNREADABLE_ENTRIES, 1);
  ds_decision_line_add_text (&line, "kind", ds_str_from_c (kind));
  ds_decision_line_add_text (&line, "name", name);
  ds_decision_line_add_number (&line, "revision", (int64_t)revision);
  ds_decision_line_add_text (&line, "reason", ds_str_from_c (reason));
  ds_decision_line_end (&line);
}
