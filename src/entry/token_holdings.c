#include "entry/token_holdings.h"
#include "core/ledger_page.h"

#include <stdlib.h>
#include <string.h>

/* Tokens that an update of the ledger by this host makes usable.  */
static uint64_t
available_tokens (const struct ds_allotment *allotment)
{
  return allotment->ledger_ungranted + allotment->lock.locked;
}

static int
compare_holdings (const void *a, const void *b)
{
  const struct ds_token_holding *left = a;
  const struct ds_token_holding *right = b;

  if (left->ledger_known != right->ledger_known)
    return left->ledger_known ? -1 : 1;
  return left->tokens < right->tokens   ? 1
         : left->tokens > right->tokens ? -1
                                        : 0;
}

/* Lists the holdings of this host: first budgets of which it is the home, then
   the largest shares.  */
size_t
ds_token_holdings_list (const struct ds_budget_manager *budgets,
                        struct ds_token_holding *out)
{
  size_t count = ds_budget_manager_count (budgets);
  struct ds_token_holding *all
      = talloc_array (NULL, struct ds_token_holding, (unsigned)count + 1);
  size_t used = 0;

  for (size_t i = 0; i < count && all != NULL; i++)
    {
      const struct ds_allotment *a = ds_budget_manager_at (budgets, i);

      if (a->free > 0 || a->demand >= 1
          || (a->home == DS_HOME_SELF && a->known))
        all[used++] = (struct ds_token_holding){
          .workspace = ds_fleet_workspace_hash (a->workspace),
          .tokens = a->suspended ? 0 : a->free,
          .demand = (uint64_t)a->demand,
          .ledger_known = a->home == DS_HOME_SELF && a->known,
          .ledger_ungranted = available_tokens (a),
          .ledger_settled = a->ledger_settled,
        };
    }
  if (used > DS_HOLDINGS_MAX)
    {
      qsort (all, used, sizeof all[0], compare_holdings);
      used = DS_HOLDINGS_MAX;
    }
  if (used > 0)
    memcpy (out, all, used * sizeof all[0]);
  talloc_free (all);
  return used;
}

/* Returns what this host holds of WORKSPACE and knows of its ledger.  */
struct ds_token_holding
ds_token_holdings_get (const struct ds_budget_manager *budgets,
                       struct ds_fleet_view *fleet,
                       const struct ds_store_client *store,
                       struct ds_str workspace)
{
  const struct ds_allotment *a = ds_budget_manager_find (budgets, workspace);
  struct ds_token_holding holding
      = { .workspace = ds_fleet_workspace_hash (workspace) };

  if (a == NULL)
    return holding;
  holding.tokens = a->suspended ? 0 : a->free;
  holding.demand = (uint64_t)a->demand;
  holding.ledger_known = a->known;
  holding.ledger_ungranted = available_tokens (a);
  holding.ledger_settled = a->ledger_settled;
  holding.ledger_away
      = !ds_store_client_is_reachable (store)
        && (a->home != DS_HOME_GIVER
            || !ds_fleet_view_peer_state (
                    fleet, ds_ledger_page_index (workspace), workspace)
                    .home_ledger_reachable);
  return holding;
}
