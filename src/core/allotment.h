#ifndef DS_CORE_ALLOTMENT_H
#define DS_CORE_ALLOTMENT_H

#include "core/grant_release.h"
#include "daisystep/error.h"
#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

struct json_t;

/* Outcome of a reservation of tokens.  */
enum ds_budget_outcome
{
  DS_BUDGET_GRANTED,
  DS_BUDGET_EXHAUSTED,   /* the remaining budget does not cover it */
  DS_BUDGET_UNAVAILABLE, /* not known: the ledger cannot be reached */
  DS_BUDGET_WAITING      /* tokens have been requested */
};

/* An update of the ledger by this host that has not been confirmed.  */
struct ds_allotment_update
{
  bool in_flight;   /* an update of the account is under way */
  uint64_t version; /* of the limit that the update is based on */
  uint64_t settled;
  uint64_t drawn;
  uint64_t returned;
};

/* The part of a host in the distribution of a budget.  The home of a budget is
   the host that holds tokens of it for the whole fleet; in a large fleet,
   givers get tokens from it and serve a group of hosts.  */
enum ds_allotment_home
{
  DS_HOME_UNKNOWN, /* no host qualifies, as shortly after startup */
  DS_HOME_SELF,
  DS_HOME_OTHER, /* the home or a giver serves this host */
  DS_HOME_GIVER  /* the home serves this host, which serves others */
};

/* Tokens that move from one host's allotment to another's, with the tokens
   that the sender's requests have used.  */
struct ds_token_transfer
{
  uint64_t tokens;
  uint64_t spent;
  uint64_t limit; /* the sender's, of configuration VERSION */
  uint64_t version;
};

/* What the peers last reported of one workspace.  The members home_* are of
   the host that serves this one, and zero unless it is a peer and alive.  With
   DEMAND_IS_REQUESTED, peers report neither free tokens nor demand.  */
struct ds_budget_peer_state
{
  bool demand_is_requested;
  uint64_t free; /* sum over the peers */
  uint64_t demand;
  uint64_t home_free;
  uint64_t home_ungranted; /* neither settled nor granted in the ledger */
  uint64_t home_settled;
  uint64_t home_reported_ms;  /* time of its last report, 0 for none */
  uint64_t home_id;           /* of the incarnation of the host, not 0 */
  bool home_ledger_known;     /* the home has read the ledger */
  bool home_ledger_reachable; /* the home can reach the ledger */
};

/* The part of one workspace's prepaid budget that this host holds, in tokens.
   FREE can be reserved, LOCK holds what cannot be reserved yet, RESERVED
   belongs to running requests, SPENT has been used and is not in the ledger
   yet.  */
struct ds_allotment
{
  struct ds_str workspace;
  enum ds_allotment_home home;
  uint64_t limit;   /* prepaid, of the newest configuration seen */
  uint64_t version; /* of that configuration */
  uint64_t free;
  uint64_t reserved;
  uint64_t spent;
  struct ds_allotment_update update;
  struct ds_grant_lock lock;
  uint64_t largest;     /* size of a request, seen lately */
  double demand;        /* tokens/s, from the upper bounds of requests */
  double demand_sum;    /* of weighted rates; demand times demand_weight */
  double demand_weight; /* sum of the weights in demand_sum, up to 1 */
  uint64_t peer_free;   /* at the peers, as last reported */
  double peer_demand;
  bool demand_is_requested; /* peers' requests for tokens show their demand */
  uint64_t demand_since_tick; /* by new requests since the last tick */
  uint64_t waiting_tokens;    /* needed by waiting requests */
  uint64_t peer_requested;    /* by peers, more than was free */
  uint64_t ledger_ungranted;  /* limit less what is granted and settled */
  uint64_t ledger_settled;
  uint64_t ledger_observed_ms; /* when the two members above were read */
  uint64_t ledger_reporter;    /* the host that reported them, 0: this one */
  uint64_t last_request_ms;    /* of the last request for tokens to peers */
  uint64_t last_transfer_ms;   /* of the last transfer to the home */
  uint64_t peer_request_ms;    /* of a peer's last request that was not met */
  uint64_t lacking_since_ms;   /* of a giver: it could not meet a request */
  bool known;                  /* the ledger has been read */
  bool home_timed_out; /* the home has not served a waiting request in time */
  bool is_kept;        /* free tokens are kept for an aged reservation */
  bool suspended; /* the limit was lowered: no reservation until the ledger
                   has been updated */
};

/* How many tokens a host holds.  The home of a budget holds HOLD_S seconds of
   the fleet's demand, to outlast a store outage, but at most
   MAX_FRACTION of what the workspace has left; other hosts hold CUSHION_S
   seconds of their own demand.  */
struct ds_allotment_policy
{
  double hold_s;
  double max_fraction;     /* of the remaining budget */
  double initial_fraction; /* of the limit, before any request */
  uint64_t minimum;        /* tokens held for a workspace with demand */
  double cushion_s;
};

/* One page of the ledger, as decoded from the store.  */
struct ds_ledger_page;

void ds_allotment_set_limit (struct ds_allotment *allotment, uint64_t limit,
                             uint64_t version);
bool ds_allotment_reserve (struct ds_allotment *allotment, uint64_t tokens);
bool ds_allotment_may_cover (const struct ds_allotment *allotment,
                             uint64_t tokens);
void ds_allotment_settle (struct ds_allotment *allotment, uint64_t reserved,
                          uint64_t used);
void ds_allotment_tick (struct ds_allotment *allotment, double seconds);
uint64_t ds_allotment_target (const struct ds_allotment *allotment,
                              const struct ds_allotment_policy *policy);
bool ds_allotment_has_source (const struct ds_allotment *allotment);
bool ds_allotment_needs_update (const struct ds_allotment *allotment,
                                const struct ds_allotment_policy *policy);
uint64_t ds_allotment_give (struct ds_allotment *allotment, uint64_t tokens,
                            uint64_t needed, uint64_t now_ms);
void ds_allotment_receive (struct ds_allotment *allotment,
                           const struct ds_token_transfer *transfer);
bool ds_allotment_make_transfer (struct ds_allotment *allotment,
                                 struct ds_token_transfer *transfer,
                                 const struct ds_allotment_policy *policy,
                                 bool closing);

int ds_ledger_page_decode (struct ds_ledger_page **out, TALLOC_CTX *owner,
                           const struct json_t *spec, struct ds_error *error);
int ds_ledger_page_new (struct ds_ledger_page **out, TALLOC_CTX *owner);
struct json_t *ds_ledger_page_encode (const struct ds_ledger_page *page);
uint64_t ds_ledger_page_update_number (const struct ds_ledger_page *page,
                                       struct ds_str writer);
int ds_ledger_page_set_update_number (struct ds_ledger_page *page,
                                      struct ds_str writer, uint64_t number);
void ds_ledger_page_remove_old_writers (struct ds_ledger_page *page,
                                        struct ds_str writer);
int ds_allotment_apply (struct ds_allotment *allotment,
                        struct ds_ledger_page *page,
                        const struct ds_allotment_policy *policy,
                        bool closing);
void ds_allotment_confirm (struct ds_allotment *allotment);
void ds_allotment_withdraw (struct ds_allotment *allotment);
void ds_allotment_drop_returned (struct ds_allotment *allotment);
void ds_allotment_observe (struct ds_allotment *allotment,
                           const struct ds_ledger_page *page, uint64_t now_ms);

#endif
