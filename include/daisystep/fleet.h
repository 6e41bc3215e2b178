#ifndef DAISYSTEP_FLEET_H
#define DAISYSTEP_FLEET_H

#include "daisystep/host.h"
#include "daisystep/journal.h"
#include "daisystep/shard.h"

#include <stdbool.h>
#include <stdint.h>

/* The live records up to SEQUENCE that a backup holds of one shard of a sealed
   incarnation.  */
struct ds_sealed_shard
{
  uint32_t shard;
  uint64_t sequence;
  const struct ds_record *records;
  size_t count;
};

/* One host's view of the others: links, Host objects, its own backups and the
   recoveries that it runs.  Does no I/O; see ds_fleet_handle.  */
struct ds_fleet;

struct ds_fleet_options
{
  uint64_t incarnation;
  struct ds_str host;
  struct ds_str zone;
  struct ds_str peer_address;
  struct ds_str caller_address;
  uint32_t shard_count;
  uint32_t page_count;
  /* Target number of backups, at most DS_BACKUPS_MAX.  */
  uint32_t backups;
  /* Time after which a host whose link is down is recovered.  */
  uint64_t suspect_ms;
  /* Longest wait of a starting host for enough peers to be its backups.  */
  uint64_t startup_wait_ms;
  /* Time that a recovery with a quorum of replies waits for the other backups,
     which may show that a request was never dispatched.  */
  uint64_t seal_wait_ms;
  /* Pause before the second pass over the pages, which finds grants that were
     in flight when the first pass read them.  */
  uint64_t second_pass_ms;
  /* How long the records of a finished recovery can be queried, and how long a
     closed Host object is kept.  */
  uint64_t retention_ms;
};

#define DS_FLEET_OPTIONS_DEFAULT                                              \
  ((struct ds_fleet_options){                                                 \
      .shard_count = 1,                                                       \
      .page_count = 1,                                                        \
      .backups = DS_BACKUPS_MAX,                                              \
      .suspect_ms = 3000,                                                     \
      .startup_wait_ms = 1000,                                                \
      .seal_wait_ms = 1000,                                                   \
      .second_pass_ms = 30000,                                                \
      .retention_ms = (uint64_t)20 * 60 * 1000,                               \
  })

enum ds_fleet_event_kind
{
  DS_FLEET_PEER_UP,
  DS_FLEET_PEER_DOWN,
  DS_FLEET_HOST_UPDATED,
  DS_FLEET_HOST_DELETED,
  DS_FLEET_HOST_WRITTEN,
  DS_FLEET_HOST_WRITE_CONFLICT,
  DS_FLEET_HOST_WRITE_FAILED,
  DS_FLEET_SHARD_SYNCED,
  DS_FLEET_SEAL_REPLY,
  DS_FLEET_PAGE_SEALED,
  DS_FLEET_DRAIN,
  DS_FLEET_CLOSE,
  DS_FLEET_TICK
};

struct ds_fleet_event
{
  enum ds_fleet_event_kind kind;
  union
  {
    struct
    {
      uint64_t incarnation;
      struct ds_str host;
      struct ds_str zone;
      struct ds_str peer_address;
    } peer_up;
    struct
    {
      uint64_t incarnation;
    } peer_down;
    /* A Host object from a watch, or its content after this host's write took
       effect or met a version conflict.  */
    struct
    {
      const struct ds_host *object;
    } host;
    /* The Host object of INCARNATION was deleted, or a write of it failed with
       an unknown outcome.  */
    struct
    {
      uint64_t incarnation;
    } object;
    struct
    {
      uint32_t shard;
    } synced;
    struct
    {
      uint64_t backup;
      uint64_t incarnation;
      bool known;
      const struct ds_sealed_shard *shards;
      size_t shard_count;
    } seal_reply;
    struct
    {
      uint32_t page;
      uint64_t incarnation;
      /* Another host's recovery had sealed the page before.  */
      bool was_sealed;
    } page_sealed;
  };
};

enum ds_fleet_action_kind
{
  /* Write HOST if the stored version is still HOST->version; 0: create.  */
  DS_FLEET_WRITE_HOST,
  DS_FLEET_PROPOSE_BACKUPS,
  DS_FLEET_ADOPT_BACKUPS,
  DS_FLEET_SEND_SEAL,
  DS_FLEET_SEAL_PAGES,
  DS_FLEET_HOST_RECOVERED,
  /* The Host object of another host has been closed.  */
  DS_FLEET_HOST_CLOSED,
  /* Delete HOST's object if the stored version is still HOST->version.  */
  DS_FLEET_DELETE_HOST,
  /* This host's own incarnation has been sealed.  */
  DS_FLEET_SELF_SEALED,
  DS_FLEET_CONNECT,
  DS_FLEET_DISCONNECT
};

struct ds_fleet_action
{
  enum ds_fleet_action_kind kind;
  union
  {
    const struct ds_host *host;
    struct
    {
      uint64_t backups[DS_BACKUPS_MAX];
      size_t count;
    } propose;
    struct
    {
      uint64_t backup;
      uint64_t incarnation;
    } send_seal;
    /* Write the records into every ledger page.  */
    struct
    {
      uint64_t incarnation;
      const struct ds_record *records;
      size_t count;
    } seal_pages;
    struct
    {
      uint64_t incarnation;
    } recovered;
    struct
    {
      uint64_t incarnation;
    } closed;
    struct
    {
      struct ds_str host;
      struct ds_str peer_address;
    } link;
  };
};

struct ds_fleet_actions
{
  struct ds_fleet_action *items;
  size_t count;
  size_t capacity;
  TALLOC_CTX *owner;
};

int ds_fleet_actions_init (struct ds_fleet_actions *actions,
                           TALLOC_CTX *owner);
void ds_fleet_actions_clear (struct ds_fleet_actions *actions);

int ds_fleet_new (struct ds_fleet **out, TALLOC_CTX *owner,
                  const struct ds_fleet_options *options);
void ds_fleet_free (struct ds_fleet *fleet);
void ds_fleet_handle (struct ds_fleet *fleet,
                      const struct ds_fleet_event *event, uint64_t now_ms,
                      struct ds_fleet_actions *actions);
bool ds_fleet_is_open (const struct ds_fleet *fleet);
bool ds_fleet_is_responsible (const struct ds_fleet *fleet,
                              struct ds_str name);
const struct ds_host *ds_fleet_find (const struct ds_fleet *fleet,
                                     uint64_t incarnation);
enum ds_identity ds_fleet_recovered_request_state (
    const struct ds_fleet *fleet, uint64_t incarnation,
    const struct ds_request_id *id, struct ds_str text);
size_t ds_fleet_hosts_for_workspace (const struct ds_fleet *fleet,
                                     TALLOC_CTX *owner,
                                     struct ds_str workspace,
                                     const struct ds_host ***out);
struct json_t *ds_fleet_dump (const struct ds_fleet *fleet);

#endif
