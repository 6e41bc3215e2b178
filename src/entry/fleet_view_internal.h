#ifndef DS_ENTRY_FLEET_VIEW_INTERNAL_H
#define DS_ENTRY_FLEET_VIEW_INTERNAL_H

#include "entry/fleet_view.h"
#include "io/socket_address.h"
#include "proto/gossip.pb-c.h"

/* Loads in one datagram; those of this host's busiest replicas.  */
#define LOADS_PER_DATAGRAM_MAX 32
/* Crashes in one datagram, and how often each is sent.  */
#define CRASHES_PER_DATAGRAM_MAX 8
#define CRASH_REPEATS 3
/* Prompt parts waiting to be announced; further ones are dropped.  */
#define PENDING_PARTS_MAX 128
/* Unacknowledged transfers to a host; further ones are refused.  */
#define TRANSFERS_MAX 64
/* Transfer numbers kept per host to detect duplicates.  */
#define SEEN_TRANSFERS_MAX 256

struct ds_fleet_load
{
  uint64_t replica;
  uint32_t running;
  uint64_t prefill_tokens;
};

struct ds_fleet_transfer
{
  uint64_t number;
  struct ds_str workspace;
  struct ds_token_transfer content;
};

struct ds_fleet_cached_part
{
  uint64_t replica;
  uint64_t part;
  size_t intervals_left; /* intervals in which it is still sent */
};

struct ds_fleet_peer
{
  struct ds_fleet_member info;
  struct ds_socket_address address;
  struct ds_fleet_load loads[LOADS_PER_DATAGRAM_MAX];
  size_t load_count;
  struct ds_token_holding holdings[DS_HOLDINGS_MAX];
  size_t holding_count;
  struct ds_fleet_transfer transfers[TRANSFERS_MAX]; /* unacknowledged */
  size_t transfer_count;
  uint64_t acks[TRANSFERS_MAX]; /* for the next datagram to this member */
  size_t ack_count;
  uint64_t seen[SEEN_TRANSFERS_MAX]; /* numbers of its transfers */
  size_t seen_count;
  bool ledger_reachable;
  bool failure_logged;
};

struct ds_fleet_crash
{
  Daisystep__Gossip__Crash message;
  int repeats;
};

struct ds_fleet_view
{
  struct tevent_context *ev;
  struct tevent_fd *watch;
  struct ds_fleet_self self;
  struct ds_replica_set *replicas;
  struct ds_crash_counter *crashes;
  struct ds_fleet_handlers handlers;
  struct ds_fleet_peer **members;
  size_t count;
  struct ds_fleet_crash announced[CRASHES_PER_DATAGRAM_MAX];
  size_t announced_count;
  struct ds_fleet_cached_part
      cached_parts[PENDING_PARTS_MAX]; /* not yet sent to all */
  size_t cached_part_count;
  uint64_t sequence;
  uint64_t transfer_number;
  uint64_t started_ms;
  size_t next_target;
  int fd;
  bool ledger_reachable;
  bool ready;
  bool draining;
};

void ds_fleet_fill_self (struct ds_fleet_view *view, TALLOC_CTX *owner,
                         Daisystep__Gossip__Datagram *datagram);
void ds_fleet_send (struct ds_fleet_view *view, struct ds_fleet_peer *member,
                    Daisystep__Gossip__Datagram *datagram, TALLOC_CTX *owner);
bool ds_fleet_add_transfer (struct ds_fleet_view *view,
                            struct ds_fleet_peer *member,
                            struct ds_str workspace,
                            const struct ds_token_transfer *content);

#endif
