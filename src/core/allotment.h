#ifndef DS_CORE_ALLOTMENT_H
#define DS_CORE_ALLOTMENT_H

#include "daisystep/error.h"
#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

struct json_t;

/* What a host can say to a request for tokens.  */
enum ds_budget_answer
{
  DS_BUDGET_GRANTED,
  DS_BUDGET_EXHAUSTED, /* the workspace's rest does not cover it */
  DS_BUDGET_AWAY,      /* nobody can tell now: the ledger cannot be reached */
  DS_BUDGET_WAITING    /* being asked for */
};

/* Tokens that another host has passed on and that the ledger still counts as
   its own.  */
struct ds_borrowing
{
  struct ds_str giver; /* the giver's name in the ledger */
  uint64_t tokens;
};

/* One update of this host that the ledger has not confirmed.  */
struct ds_allotment_update
{
  uint64_t settled;
  uint64_t drawn;
  uint64_t returned;
  struct ds_borrowing *borrowed;
  size_t borrowed_count;
};

/* This host's share of one workspace's prepaid budget.  All figures are
   tokens. FREE may be reserved, RESERVED belongs to running requests, SPENT
   was used and is not yet in the ledger.  */
struct ds_allotment
{
  struct ds_str workspace;
  uint64_t limit;   /* prepaid, of the newest configuration seen */
  uint64_t version; /* of that configuration */
  uint64_t free;
  uint64_t reserved;
  uint64_t spent;
  struct ds_borrowing *borrowed;
  size_t borrowed_count;
  struct ds_allotment_update update;
  double demand;        /* tokens a second, of recent requests at their most */
  double demand_sum;    /* of weighted rates; DEMAND before its correction */
  double demand_weight; /* of the rates in DEMAND_SUM, up to 1 */
  uint64_t others_free; /* at other hosts, as they have told */
  double others_demand;
  uint64_t demanded;    /* since DEMAND was worked out last */
  uint64_t wanted;      /* by requests that wait */
  uint64_t ledger_rest; /* limit less all grants and what is settled */
  uint64_t ledger_settled;
  uint64_t last_request_ms;
  uint64_t asked_ms; /* when other hosts were last asked for tokens */
  bool known;        /* the ledger has been read */
  bool revoked;      /* the limit was lowered: nothing is free until the ledger
                        says so */
};

/* How much a host keeps: HOLD_S seconds of its demand, which outlast a cut
   from the store, while that is no more than PART of what the workspace has
   left.
 */
struct ds_allotment_policy
{
  double hold_s;
  double part;
  double start;     /* part of the limit, for all hosts, before any request */
  uint64_t minimum; /* tokens that all hosts keep of an active workspace */
  size_t hosts;
};

/* One page of the ledger in the form that the store keeps.  */
struct ds_ledger_page;

void ds_allotment_set_limit (struct ds_allotment *allotment, uint64_t limit,
                             uint64_t version);
bool ds_allotment_reserve (struct ds_allotment *allotment, uint64_t tokens,
                           uint64_t now_ms);
void ds_allotment_settle (struct ds_allotment *allotment, uint64_t reserved,
                          uint64_t used);
void ds_allotment_tick (struct ds_allotment *allotment, double seconds);
uint64_t ds_allotment_target (const struct ds_allotment *allotment,
                              const struct ds_allotment_policy *policy);
bool ds_allotment_needs_update (const struct ds_allotment *allotment,
                                const struct ds_allotment_policy *policy);
uint64_t ds_allotment_give (struct ds_allotment *allotment, uint64_t tokens,
                            double keep_s);
int ds_allotment_borrow (TALLOC_CTX *owner, struct ds_allotment *allotment,
                         struct ds_str giver, uint64_t tokens);

int ds_ledger_page_decode (struct ds_ledger_page **out, TALLOC_CTX *owner,
                           const struct json_t *spec, struct ds_error *error);
int ds_ledger_page_new (struct ds_ledger_page **out, TALLOC_CTX *owner);
struct json_t *ds_ledger_page_encode (const struct ds_ledger_page *page);
uint64_t ds_ledger_page_operation (const struct ds_ledger_page *page,
                                   struct ds_str writer);
int ds_ledger_page_set_operation (struct ds_ledger_page *page,
                                  struct ds_str writer, uint64_t number);
void ds_ledger_page_remove_writer (struct ds_ledger_page *page,
                                   struct ds_str writer);
int ds_allotment_apply (struct ds_allotment *allotment,
                        struct ds_ledger_page *page, struct ds_str writer,
                        const struct ds_allotment_policy *policy,
                        bool closing);
void ds_allotment_confirm (struct ds_allotment *allotment);
void ds_allotment_withdraw (struct ds_allotment *allotment);
void ds_allotment_observe (struct ds_allotment *allotment,
                           const struct ds_ledger_page *page);

#endif
