#ifndef DS_ENTRY_FLEET_VIEW_H
#define DS_ENTRY_FLEET_VIEW_H

#include "core/allotment.h"
#include "core/crash_suspects.h"
#include "core/evacuation.h"
#include "core/heavy_callers.h"
#include "core/ledger_restore.h"
#include "core/replica_set.h"
#include "core/watch_pace.h"
#include "daisystep/error.h"

#include <tevent.h>

/* Identity that a host reports to the others.  CAPACITY is its processor share
   in percent of a core.  */
struct ds_fleet_self
{
  struct ds_str host;
  uint64_t incarnation;
  struct ds_str zone;
  struct ds_str region;
  struct ds_str caller_address;
  struct ds_str gossip_address;
  uint32_t capacity;
};

/* Another host.  */
struct ds_fleet_member
{
  struct ds_str host;
  uint64_t incarnation;
  struct ds_str zone;
  struct ds_str region;
  struct ds_str caller_address;
  uint32_t capacity;
  uint64_t last_seen_ms; /* 0: never */
  uint64_t timeout_ms;   /* not alive after this time */
  bool draining;
  bool ready;
  bool strained; /* should get fewer callers */
  uint32_t id;   /* short id */
  uint32_t load_percent;
  uint32_t load_level; /* at which it gives up callers */
};

/* What the store says of a host.  Strings may be empty except HOST.  */
struct ds_fleet_registration
{
  struct ds_str host;
  struct ds_str zone;
  struct ds_str region;
  struct ds_str caller_address;
  struct ds_str gossip_address;
  uint32_t capacity;
};

/* Tokens of one workspace that a host has free, and its demand in tokens per
   second.  */
struct ds_token_holding
{
  uint64_t workspace; /* a hash of its name */
  uint64_t tokens;
  uint64_t demand;
  bool ledger_known; /* the members below have been read or reported */
  uint64_t ledger_ungranted;
  uint64_t ledger_settled;
  bool ledger_away; /* neither the host nor its source reaches the ledger */
  uint64_t received_ms;
};

/* Holdings in one datagram; of more, home budgets, then the largest.  */
#define DS_HOLDINGS_MAX 32

/* A replica, given by the hash of its incarnation, that drains or is GONE
   since REVISION of the store.  */
struct ds_departure
{
  uint64_t replica;
  uint64_t revision;
  bool gone;
};

/* LIST_HOLDINGS writes up to DS_HOLDINGS_MAX of this host's holdings and
   returns their number; GET_HOLDING returns that of one workspace.
   ON_TOKEN_REQUEST handles a request for tokens of a workspace, of which the
   other host needs some at once, and returns how many it grants.
   ON_TOKEN_TRANSFER receives a transfer from another host.  ON_HOLDINGS is
   called after a datagram with holdings.  ON_SUSPECT is told what a report
   about a cause of crashes has changed.  ON_DEPARTURE takes a report of a
   departure and returns whether it is news, which is passed on.  ON_STORE_ERA
   is told the era of the store that another host knows.  */
struct ds_fleet_handlers
{
  size_t (*list_holdings) (struct ds_token_holding *out, void *user_data);
  struct ds_token_holding (*get_holding) (struct ds_str workspace,
                                          void *user_data);
  uint64_t (*on_token_request) (struct ds_str workspace, uint64_t tokens,
                                uint64_t needed, void *user_data);
  void (*on_token_transfer) (struct ds_str workspace,
                             const struct ds_token_transfer *transfer,
                             struct ds_str sender, void *user_data);
  void (*on_holdings) (void *user_data);
  void (*on_suspect) (struct ds_suspect_key key, enum ds_suspect_change change,
                      struct ds_str sender, void *user_data);
  bool (*on_departure) (const struct ds_departure *departure,
                        struct ds_str sender, void *user_data);
  void (*on_store_era) (uint64_t era, void *user_data);
  void *user_data;
};

/* LIST writes up to DS_EVACUATION_REPORTS_MAX evacuations that this host tells
   the others, and returns their number; ON_REPORT takes one of SENDER.  */
struct ds_fleet_evacuation_handlers
{
  size_t (*list) (struct ds_evacuation_report *out, void *user_data);
  void (*on_report) (const struct ds_evacuation_report *report,
                     struct ds_str sender, void *user_data);
  void *user_data;
};

/* What hosts watch in the store.  */
enum ds_store_subject
{
  DS_STORE_CONFIG,
  DS_STORE_REPLICAS,
  DS_STORE_EVACUATIONS,
  DS_STORE_SUBJECTS
};

struct ds_fleet_view;

int ds_fleet_view_new (struct ds_fleet_view **out, TALLOC_CTX *owner,
                       struct tevent_context *ev,
                       const struct ds_fleet_self *self,
                       struct ds_replica_set *replicas,
                       struct ds_crash_suspects *suspects,
                       const struct ds_fleet_handlers *handlers,
                       struct ds_error *error);
void ds_fleet_view_add (struct ds_fleet_view *view,
                        const struct ds_fleet_registration *registration);
void ds_fleet_view_tick (struct ds_fleet_view *view, uint64_t now_ms);
void ds_fleet_view_set_state (struct ds_fleet_view *view, bool ready,
                              bool draining);
void ds_fleet_view_set_strained (struct ds_fleet_view *view, bool strained);
void ds_fleet_view_share_loads (struct ds_fleet_view *view,
                                struct ds_heavy_callers *heavy);
void ds_fleet_view_set_load (struct ds_fleet_view *view, uint32_t percent,
                             uint32_t level);
uint32_t ds_fleet_view_id (const struct ds_fleet_view *view);
void ds_fleet_view_set_ledger_reachable (struct ds_fleet_view *view,
                                         bool reachable);
bool ds_fleet_view_others_lost_ledger (const struct ds_fleet_view *view);
enum ds_allotment_home ds_fleet_view_home (struct ds_fleet_view *view,
                                           uint32_t page);
struct ds_budget_peer_state
ds_fleet_view_peer_state (struct ds_fleet_view *view, uint32_t page,
                          struct ds_str workspace);
void ds_fleet_view_request_tokens (struct ds_fleet_view *view, uint32_t page,
                                   struct ds_str workspace, uint64_t tokens,
                                   uint64_t needed);
void ds_fleet_view_serve_unmet_requests (struct ds_fleet_view *view);
uint64_t ds_fleet_view_unmet_tokens (const struct ds_fleet_view *view,
                                     struct ds_str workspace);
bool ds_fleet_view_transfer_tokens (struct ds_fleet_view *view, uint32_t page,
                                    struct ds_str workspace,
                                    const struct ds_token_transfer *transfer);
size_t ds_fleet_view_pending_transfers (const struct ds_fleet_view *view);
void ds_fleet_view_announce_part (struct ds_fleet_view *view,
                                  const struct ds_replica *replica,
                                  uint64_t part);
void ds_fleet_view_announce_departure (struct ds_fleet_view *view,
                                       const struct ds_departure *departure);
void ds_fleet_view_set_evacuations (
    struct ds_fleet_view *view,
    const struct ds_fleet_evacuation_handlers *handlers);
void ds_fleet_view_set_store_revision (struct ds_fleet_view *view,
                                       enum ds_store_subject subject,
                                       uint64_t revision);
uint64_t ds_fleet_view_heard_revision (const struct ds_fleet_view *view,
                                       enum ds_store_subject subject);
void ds_fleet_view_reject_revision (struct ds_fleet_view *view,
                                    enum ds_store_subject subject);
void ds_fleet_view_set_store_era (struct ds_fleet_view *view, uint64_t era);
enum ds_reporter_state
ds_fleet_view_reporter_state (const struct ds_fleet_view *view, uint64_t id,
                              uint64_t since_ms);
struct ds_watch_place
ds_fleet_view_watch_place (const struct ds_fleet_view *view, uint64_t now_ms);
uint64_t ds_fleet_workspace_hash (struct ds_str workspace);
size_t ds_fleet_view_count (const struct ds_fleet_view *view);
const struct ds_fleet_member *
ds_fleet_view_at (const struct ds_fleet_view *view, size_t index);
bool ds_fleet_member_is_alive (const struct ds_fleet_member *member,
                               uint64_t now_ms);

#endif
