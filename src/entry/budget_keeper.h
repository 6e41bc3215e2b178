#ifndef DS_ENTRY_BUDGET_KEEPER_H
#define DS_ENTRY_BUDGET_KEEPER_H

#include "core/allotment.h"
#include "daisystep/routing_config.h"
#include "entry/store_link.h"

struct ds_budget_keeper;
struct ds_budget_wait;

/* The outcome of a reservation that had to wait.  */
typedef void ds_budget_decided_fn (enum ds_budget_answer answer,
                                   void *user_data);

/* How the keeper reaches the other hosts.  HOME tells who keeps the budgets of
   a page.  ASK asks for TOKENS of which NEEDED are lacking now, the home alone
   or, with NEEDED 0, all that hold some.  TRANSFER passes tokens and use to
   the home of a page; false when it cannot be taken now.  PENDING counts
   transfers that are not acknowledged.  */
struct ds_budget_peers
{
  enum ds_allotment_home (*home) (uint32_t page, void *user_data);
  void (*ask) (uint32_t page, struct ds_str workspace, uint64_t tokens,
               uint64_t needed, void *user_data);
  bool (*transfer) (uint32_t page, struct ds_str workspace,
                    const struct ds_token_transfer *transfer, void *user_data);
  struct ds_budget_others (*others) (uint32_t page, struct ds_str workspace,
                                     void *user_data);
  size_t (*pending) (void *user_data);
  void (*silent) (void *user_data);
  void *user_data;
};

/* WRITER names this life of the host in the ledger.  SETTLE_MS is the longest
   time that spent tokens stay out of the ledger while the store answers.  */
struct ds_budget_keeper_options
{
  struct tevent_context *ev;
  struct ds_store_link *link;
  struct ds_str writer;
  struct ds_allotment_policy policy;
  uint32_t settle_ms;
  struct ds_budget_peers peers;
};

int ds_budget_keeper_new (struct ds_budget_keeper **out, TALLOC_CTX *owner,
                          const struct ds_budget_keeper_options *options);
void ds_budget_keeper_configure (struct ds_budget_keeper *keeper,
                                 const struct ds_routing_config *config);
void ds_budget_keeper_set_policy (struct ds_budget_keeper *keeper,
                                  const struct ds_allotment_policy *policy,
                                  uint32_t settle_ms);
void ds_budget_keeper_tick (struct ds_budget_keeper *keeper, uint64_t now_ms);
void ds_budget_keeper_close (struct ds_budget_keeper *keeper);
bool ds_budget_keeper_is_closed (const struct ds_budget_keeper *keeper);
uint64_t ds_budget_keeper_give (struct ds_budget_keeper *keeper,
                                struct ds_str workspace, uint64_t tokens,
                                uint64_t needed);
void ds_budget_keeper_take (struct ds_budget_keeper *keeper,
                            struct ds_str workspace,
                            const struct ds_token_transfer *transfer);
void ds_budget_keeper_hear (struct ds_budget_keeper *keeper);
bool ds_budget_keeper_is_near (const struct ds_budget_keeper *keeper,
                               uint64_t now_ms);

enum ds_budget_answer ds_budget_reserve (struct ds_budget_keeper *keeper,
                                         struct ds_budget_wait **wait,
                                         struct ds_str workspace,
                                         uint64_t tokens, uint64_t until_ms,
                                         ds_budget_decided_fn *on_decided,
                                         void *user_data);
void ds_budget_cancel_wait (struct ds_budget_wait *wait);
void ds_budget_settle (struct ds_budget_keeper *keeper,
                       struct ds_str workspace, uint64_t reserved,
                       uint64_t used);
size_t ds_budget_keeper_count (const struct ds_budget_keeper *keeper);
const struct ds_allotment *
ds_budget_keeper_at (const struct ds_budget_keeper *keeper, size_t index);
const struct ds_allotment *
ds_budget_keeper_find (const struct ds_budget_keeper *keeper,
                       struct ds_str workspace);

#endif
