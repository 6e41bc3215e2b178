#ifndef DS_ENTRY_FLEET_VIEW_H
#define DS_ENTRY_FLEET_VIEW_H

#include "core/allotment.h"
#include "core/crash_counter.h"
#include "core/replica_set.h"
#include "daisystep/error.h"

#include <tevent.h>

/* What a host tells the others of itself.  */
struct ds_fleet_self
{
  struct ds_str host;
  uint64_t incarnation;
  struct ds_str zone;
  struct ds_str region;
  struct ds_str caller_address;
  struct ds_str gossip_address;
};

/* Another host.  */
struct ds_fleet_member
{
  struct ds_str host;
  uint64_t incarnation;
  struct ds_str zone;
  struct ds_str region;
  struct ds_str caller_address;
  uint64_t last_seen_ms; /* 0: never */
  uint64_t timeout_ms;   /* without a datagram for so long it is not there */
  bool draining;
  bool ready;
};

/* Tokens of one workspace that a host has free, and its demand in tokens a
   second.  */
struct ds_token_holding
{
  uint64_t workspace; /* a hash of its name */
  uint64_t tokens;
  uint64_t demand;
  bool known;    /* the host keeps the budget and has read the ledger */
  uint64_t rest; /* of the ledger */
  uint64_t settled;
};

/* Holdings that hosts tell each other; the largest come first.  */
#define DS_HOLDINGS_MAX 32

/* GIVE is asked for tokens of a workspace, of which the asking host needs a
   part at once, and returns how many it gives; TAKE receives a transfer from
   another host.  HEARD is called after each datagram.  HOLDINGS writes up to
   DS_HOLDINGS_MAX of this host's holdings and returns how many.  */
struct ds_fleet_handlers
{
  size_t (*holdings) (struct ds_token_holding *out, void *user_data);
  uint64_t (*on_token_request) (struct ds_str workspace, uint64_t tokens,
                                uint64_t needed, void *user_data);
  void (*on_token_transfer) (struct ds_str workspace,
                             const struct ds_token_transfer *transfer,
                             struct ds_str giver, void *user_data);
  void (*on_datagram) (void *user_data);
  void *user_data;
};

struct ds_fleet_view;

int ds_fleet_view_new (struct ds_fleet_view **out, TALLOC_CTX *owner,
                       struct tevent_context *ev,
                       const struct ds_fleet_self *self,
                       struct ds_replica_set *replicas,
                       struct ds_crash_counter *crashes,
                       const struct ds_fleet_handlers *handlers,
                       struct ds_error *error);
void ds_fleet_view_add (struct ds_fleet_view *view, struct ds_str host,
                        struct ds_str gossip_address);
void ds_fleet_view_remove (struct ds_fleet_view *view, struct ds_str host);
void ds_fleet_view_tick (struct ds_fleet_view *view, uint64_t now_ms);
void ds_fleet_view_set_state (struct ds_fleet_view *view, bool ready,
                              bool draining);
void ds_fleet_view_set_ledger_reachable (struct ds_fleet_view *view,
                                         bool near);
enum ds_allotment_home ds_fleet_view_home (const struct ds_fleet_view *view,
                                           uint32_t page);
struct ds_budget_peer_state
ds_fleet_view_others (const struct ds_fleet_view *view, uint32_t page,
                      struct ds_str workspace);
void ds_fleet_view_request_tokens (struct ds_fleet_view *view, uint32_t page,
                                   struct ds_str workspace, uint64_t tokens,
                                   uint64_t needed);
bool ds_fleet_view_transfer_tokens (struct ds_fleet_view *view, uint32_t page,
                                    struct ds_str workspace,
                                    const struct ds_token_transfer *transfer);
size_t ds_fleet_view_pending_transfers (const struct ds_fleet_view *view);
void ds_fleet_view_announce_part (struct ds_fleet_view *view,
                                  const struct ds_replica *replica,
                                  uint64_t part);
uint64_t ds_fleet_workspace_hash (struct ds_str workspace);
size_t ds_fleet_view_count (const struct ds_fleet_view *view);
const struct ds_fleet_member *
ds_fleet_view_at (const struct ds_fleet_view *view, size_t index);
bool ds_fleet_member_is_alive (const struct ds_fleet_member *member,
                               uint64_t now_ms);
size_t ds_fleet_view_alive_count (const struct ds_fleet_view *view,
                                  uint64_t now_ms);

#endif
