#include "entry/token_log.h"
#include "base/decision_log.h"
#include "io/clock.h"

/* Logs the OUTCOME of the reservation of NEEDED tokens for a request, with
   what this host knows of the budget.  */
void
ds_token_log (const struct ds_budget_manager *budgets,
              struct ds_str request_id, struct ds_str workspace,
              uint64_t needed, enum ds_budget_outcome outcome)
{
  const struct ds_allotment *a = ds_budget_manager_find (budgets, workspace);
  struct ds_decision_line line = ds_decision_line_begin ("tokens", request_id);

  ds_decision_line_add_text (&line, "workspace", workspace);
  ds_decision_line_add_text (
      &line, "outcome",
      outcome == DS_BUDGET_GRANTED       ? DS_STR ("granted")
      : outcome == DS_BUDGET_EXHAUSTED   ? DS_STR ("exhausted")
      : outcome == DS_BUDGET_UNAVAILABLE ? DS_STR ("away")
                                         : DS_STR ("waits"));
  ds_decision_line_add_number (&line, "needed", (int64_t)needed);
  if (a != NULL)
    {
      ds_decision_line_add_number (&line, "free", (int64_t)a->free);
      ds_decision_line_add_number (&line, "limit", (int64_t)a->limit);
      ds_decision_line_add_number (&line, "settled",
                                   (int64_t)a->ledger_settled);
      ds_decision_line_add_number (&line, "rest",
                                   (int64_t)a->ledger_ungranted);
      ds_decision_line_add_number (
          &line, "age_ms", (int64_t)(ds_clock_ms () - a->ledger_observed_ms));
      ds_decision_line_add_number (&line, "others_free",
                                   (int64_t)a->peer_free);
      ds_decision_line_add_text (&line, "home",
                                 a->home == DS_HOME_SELF ? DS_STR ("this host")
                                 : a->home == DS_HOME_OTHER
                                     ? DS_STR ("another host")
                                     : DS_STR ("unknown"));
    }
  ds_decision_line_end (&line);
}
