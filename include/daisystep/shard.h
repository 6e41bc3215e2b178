#ifndef DAISYSTEP_SHARD_H
#define DAISYSTEP_SHARD_H

#include "daisystep/id.h"
#include "daisystep/journal.h"
#include "daisystep/ledger.h"
#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

/* A shard manages the budgets of its ledger pages: reservations, journal,
   settlement, draws.  It does no I/O and reads no clock; the caller passes it
   events with the time and executes the resulting actions.  */
struct ds_shard;
struct json_t;

/* As a holder: every peer with a link.  */
#define DS_HOLDER_ALL_PEERS 0

struct ds_shard_options
{
  uint64_t incarnation;
  uint32_t index;
  uint64_t random_seed;
  /* Interval between updates of a page that are not urgent.  */
  uint64_t flush_ms;
  /* Longest wait of a request for tokens.  */
  uint64_t draw_wait_ms;
  /* Unused tokens are returned after this time without demand.  */
  uint64_t idle_ms;
  /* How long ended requests are kept to detect duplicates.  */
  uint64_t retention_ms;
  /* First and longest backoff after a failed platform call.  */
  uint64_t backoff_min_ms;
  uint64_t backoff_max_ms;
  /* Age after which provisional bills of a sealed host become final.  */
  uint64_t finalize_ms;
};

#define DS_SHARD_OPTIONS_DEFAULT                                              \
  ((struct ds_shard_options){                                                 \
      .flush_ms = 2000,                                                       \
      .draw_wait_ms = 2000,                                                   \
      .idle_ms = 10000,                                                       \
      .retention_ms = (uint64_t)20 * 60 * 1000,                               \
      .backoff_min_ms = 50,                                                   \
      .backoff_max_ms = 5000,                                                 \
      .finalize_ms = (uint64_t)10 * 60 * 1000,                                \
  })

/* How a request ended.  */
enum ds_request_end
{
  /* Complete response; the cost is as reported by the upstream.  */
  DS_END_COMPLETE,
  /* Interrupted, and the upstream may have run it; the cost is an upper
     bound.  */
  DS_END_INTERRUPTED,
  /* No byte can have reached an upstream.  */
  DS_END_NOT_RUN
};

/* State of a request id on one host.  */
enum ds_identity
{
  DS_IDENTITY_UNKNOWN,
  DS_IDENTITY_NOT_SEEN,
  DS_IDENTITY_RUNNING,
  DS_IDENTITY_DONE,
  /* The same id with another body.  */
  DS_IDENTITY_MISMATCH,
  /* This host has promised another one never to run the request.  */
  DS_IDENTITY_CLAIMED
};

/* Why a request was refused before it ran.  */
enum ds_refusal
{
  DS_REFUSAL_BUDGET_EXHAUSTED,
  DS_REFUSAL_PLATFORM_UNAVAILABLE,
  DS_REFUSAL_JOURNAL_UNAVAILABLE,
  DS_REFUSAL_UNKNOWN_BUDGET,
  DS_REFUSAL_STOPPING,
  DS_REFUSAL_SEALED
};

enum ds_event_kind
{
  DS_EVENT_ARRIVE,
  DS_EVENT_ABANDON,
  DS_EVENT_END,
  DS_EVENT_JOURNAL_ACK,
  DS_EVENT_JOURNAL_RESET,
  DS_EVENT_BACKUP_LINK,
  DS_EVENT_BACKUPS_PROPOSED,
  DS_EVENT_BACKUPS_ADOPTED,
  DS_EVENT_PAGE,
  DS_EVENT_PAGE_FAILED,
  DS_EVENT_ARCHIVE_WRITTEN,
  DS_EVENT_ARCHIVE_FAILED,
  DS_EVENT_BUDGET,
  DS_EVENT_TOKEN_ASK,
  DS_EVENT_TOKEN_GIVE,
  DS_EVENT_SEAL_HOLDER,
  DS_EVENT_HOST_CLOSED,
  DS_EVENT_SEALED,
  DS_EVENT_SESSION_FLOOR,
  DS_EVENT_STOP,
  DS_EVENT_TICK
};

struct ds_event
{
  enum ds_event_kind kind;
  union
  {
    /* A new request.  HANDLE identifies it in later events and actions.  */
    struct
    {
      uint64_t handle;
      struct ds_request_id id;
      uint64_t body_digest;
      struct ds_str budget;
      struct ds_str workspace;
      struct ds_str offering;
      /* Upper bound of the cost.  */
      uint64_t tokens;
      bool repeatable;
      bool keyed;
    } arrive;
    /* The caller disconnected before dispatch.  */
    struct
    {
      uint64_t handle;
    } abandon;
    struct
    {
      uint64_t handle;
      enum ds_request_end end;
      uint64_t input_tokens;
      uint64_t output_tokens;
      uint64_t tokens;
    } end;
    struct
    {
      uint64_t backup;
      uint64_t sequence;
    } journal_ack;
    /* The backup has no copy of the journal.  */
    struct
    {
      uint64_t backup;
    } journal_reset;
    struct
    {
      uint64_t backup;
      bool is_up;
    } backup_link;
    struct
    {
      const uint64_t *backups;
      size_t count;
    } backups;
    /* The content of a page, from a read or a write.  The caller keeps
       LEDGER, which is null for a page that does not exist.  WRITTEN: this is
       the result of the shard's own update, which took effect.  */
    struct
    {
      uint32_t page;
      const struct ds_ledger *ledger;
      bool written;
    } page;
    /* A page call failed; a write may have taken effect.  */
    struct
    {
      uint32_t page;
    } page_failed;
    /* The archive exists, or with DS_EVENT_ARCHIVE_FAILED may not exist.  */
    struct
    {
      uint32_t page;
      uint64_t number;
    } archive_written;
    struct
    {
      struct ds_str name;
      uint32_t page;
      uint64_t version;
      uint64_t prepaid;
      uint32_t draw_percent;
      bool deleted;
      /* This host has to write the new limit to the page.  */
      bool responsible;
    } budget;
    struct
    {
      struct ds_str budget;
      uint64_t amount;
      uint64_t asker;
    } token_ask;
    struct
    {
      struct ds_str budget;
      uint64_t giver;
      uint64_t receiver;
      uint64_t total;
    } token_give;
    /* Recovery of another host: apply its journal to PAGE.  The caller keeps
       the array.  */
    struct
    {
      uint32_t page;
      uint64_t incarnation;
      const struct ds_record *records;
      size_t record_count;
    } seal_holder;
    /* Sessions below NUMBER accept no new requests.  */
    struct
    {
      uint64_t number;
    } session_floor;
    /* The recovery of INCARNATION is complete.  Tokens drawn by an update of
       it that takes effect later can be returned.  */
    struct
    {
      uint64_t incarnation;
    } host_closed;
  };
};

enum ds_action_kind
{
  DS_ACTION_DISPATCH,
  DS_ACTION_REFUSE,
  DS_ACTION_DUPLICATE,
  DS_ACTION_JOURNAL_SEND,
  DS_ACTION_PAGE_READ,
  DS_ACTION_PAGE_WRITE,
  DS_ACTION_ARCHIVE_WRITE,
  DS_ACTION_TOKEN_ASK,
  DS_ACTION_TOKEN_GIVE,
  DS_ACTION_BACKUPS_SYNCED,
  DS_ACTION_HOLDER_SEALED,
  DS_ACTION_SEALED,
  DS_ACTION_STOPPED
};

struct ds_action
{
  enum ds_action_kind kind;
  union
  {
    struct
    {
      uint64_t handle;
    } dispatch;
    struct
    {
      uint64_t handle;
      enum ds_refusal reason;
      /* Zero when a retry cannot succeed.  */
      uint64_t retry_after_ms;
      /* The request did not run, but its reservation may have reached a
         backup, so that a recovery of this host may bill it.  */
      bool is_outcome_unknown;
    } refuse;
    struct
    {
      uint64_t handle;
      enum ds_identity identity;
    } duplicate;
    /* The records belong to the action list.  */
    struct ds_journal_batch journal_send;
    struct
    {
      uint32_t page;
    } page_read;
    /* Write LEDGER, owned by the action list, if the version in the platform
       is still BASE_VERSION; zero: if the page does not exist.  */
    struct
    {
      uint32_t page;
      uint64_t base_version;
      const struct ds_ledger *ledger;
    } page_write;
    /* Create the archive NUMBER of PAGE from the first COUNT bills of
       LEDGER.  */
    struct
    {
      uint32_t page;
      uint64_t number;
      const struct ds_ledger *ledger;
      size_t count;
    } archive_write;
    struct
    {
      struct ds_str budget;
      uint64_t amount;
      uint64_t holder;
    } token_ask;
    struct
    {
      struct ds_str budget;
      uint64_t receiver;
      uint64_t total;
    } token_give;
    struct
    {
      uint32_t page;
      uint64_t incarnation;
      /* Another host had sealed the page before, from records that may
         differ.  */
      bool was_sealed;
    } holder_sealed;
  };
};

/* The actions that result from one or more events, in order.  */
struct ds_actions
{
  struct ds_action *items;
  size_t count;
  size_t capacity;
  /* The incarnation of the shard that added them.  */
  uint64_t incarnation;
  TALLOC_CTX *owner;
};

int ds_actions_init (struct ds_actions *actions, TALLOC_CTX *owner);
void ds_actions_clear (struct ds_actions *actions);
struct ds_action *ds_actions_add (struct ds_actions *actions,
                                  enum ds_action_kind kind);

uint32_t ds_page_of_budget (struct ds_str budget, uint32_t page_count);

int ds_shard_new (struct ds_shard **out, TALLOC_CTX *owner,
                  const struct ds_shard_options *options);
void ds_shard_free (struct ds_shard *shard);
void ds_shard_handle (struct ds_shard *shard, const struct ds_event *event,
                      uint64_t now_ms, struct ds_actions *actions);
enum ds_identity ds_shard_identity (const struct ds_shard *shard,
                                    const struct ds_request_id *id);
enum ds_identity ds_shard_claim (struct ds_shard *shard,
                                 const struct ds_request_id *id,
                                 uint64_t now_ms);
uint64_t ds_shard_incarnation (const struct ds_shard *shard);
uint64_t ds_shard_available (struct ds_shard *shard, struct ds_str budget);
uint64_t ds_shard_journal (const struct ds_shard *shard,
                           const struct ds_record **records, size_t *count);
bool ds_shard_is_sealed (const struct ds_shard *shard);
bool ds_shard_is_idle (const struct ds_shard *shard);
size_t ds_shard_running_count (const struct ds_shard *shard);
struct json_t *ds_shard_dump (const struct ds_shard *shard);

#endif
