#ifndef DS_ENTRY_BUDGET_MANAGER_H
#define DS_ENTRY_BUDGET_MANAGER_H

#include "core/allotment.h"
#include "core/ledger_restore.h"
#include "daisystep/routing_config.h"
#include "entry/store_client.h"

struct ds_budget_manager;
struct ds_budget_pending_reservation;

/* Receives the outcome of a reservation that had to wait.  */
typedef void ds_budget_reserve_done_fn (enum ds_budget_outcome outcome,
                                        void *user_data);

/* Access to the other hosts.  HOME returns which host is the home of a
   page.  REQUEST_TOKENS requests TOKENS, of which NEEDED are lacking now, from
   the home or, with NEEDED 0, from all that hold some.  TRANSFER sends tokens
   and use to the home of a page; false when it cannot be queued.  PEER_STATE
   returns their reports.  PENDING counts unacknowledged transfers.
   UNMET returns what the peers need at once and have not got from this host.
   RELEASE_MOMENT and WRITER_ENDS are as for a ledger client.
   REPORTER_STATE tells what has been heard of the host with an id of
   peer_state since a time.  ON_TOKENS reports that tokens have arrived,
   ON_STORE_TIMEOUT a call without response.  */
struct ds_budget_peers
{
  enum ds_allotment_home (*home) (uint32_t page, void *user_data);
  void (*request_tokens) (uint32_t page, struct ds_str workspace,
                          uint64_t tokens, uint64_t needed, void *user_data);
  bool (*transfer) (uint32_t page, struct ds_str workspace,
                    const struct ds_token_transfer *transfer, void *user_data);
  struct ds_budget_peer_state (*peer_state) (uint32_t page,
                                             struct ds_str workspace,
                                             void *user_data);
  size_t (*pending) (void *user_data);
  uint64_t (*unmet) (struct ds_str workspace, void *user_data);
  struct ds_release_moment (*release_moment) (void *user_data);
  struct ds_writer_ends (*writer_ends) (void *user_data);
  enum ds_reporter_state (*reporter_state) (uint64_t id, uint64_t since_ms,
                                            void *user_data);
  void (*on_tokens) (void *user_data);
  void (*on_store_timeout) (void *user_data);
  void *user_data;
};

/* WRITER names this incarnation of the host in the ledger.  SETTLE_MS is the
   longest time that spent tokens stay out of the ledger while the store
   responds.  */
struct ds_budget_manager_options
{
  struct tevent_context *ev;
  struct ds_store_client *store;
  struct ds_str writer;
  struct ds_allotment_policy policy;
  struct ds_release_policy release;
  uint32_t settle_ms;
  struct ds_budget_peers peers;
};

int ds_budget_manager_new (struct ds_budget_manager **out, TALLOC_CTX *owner,
                           const struct ds_budget_manager_options *options);
void ds_budget_manager_configure (struct ds_budget_manager *manager,
                                  const struct ds_routing_config *config);
void ds_budget_manager_set_policy (struct ds_budget_manager *manager,
                                   const struct ds_allotment_policy *policy,
                                   const struct ds_release_policy *release,
                                   uint32_t settle_ms);
void ds_budget_manager_tick (struct ds_budget_manager *manager,
                             uint64_t now_ms);
void ds_budget_manager_begin_era (struct ds_budget_manager *manager,
                                  uint64_t now_ms);
void ds_budget_manager_close (struct ds_budget_manager *manager);
bool ds_budget_manager_is_closed (const struct ds_budget_manager *manager);
uint64_t ds_budget_manager_give (struct ds_budget_manager *manager,
                                 struct ds_str workspace, uint64_t tokens,
                                 uint64_t needed);
void ds_budget_manager_receive (struct ds_budget_manager *manager,
                                struct ds_str workspace,
                                const struct ds_token_transfer *transfer);
void ds_budget_manager_peers_updated (struct ds_budget_manager *manager);

enum ds_budget_outcome
ds_budget_reserve (struct ds_budget_manager *manager,
                   struct ds_budget_pending_reservation **reservation,
                   struct ds_str workspace, uint64_t tokens, uint32_t urgency,
                   uint64_t expires_ms, ds_budget_reserve_done_fn *on_done,
                   void *user_data);
void ds_budget_cancel_reservation (
    struct ds_budget_pending_reservation *reservation);
void ds_budget_settle (struct ds_budget_manager *manager,
                       struct ds_str workspace, uint64_t reserved,
                       uint64_t used);
size_t ds_budget_manager_count (const struct ds_budget_manager *manager);
const struct ds_allotment *
ds_budget_manager_at (const struct ds_budget_manager *manager, size_t index);
const struct ds_allotment *
ds_budget_manager_find (const struct ds_budget_manager *manager,
                        struct ds_str workspace);

#endif
