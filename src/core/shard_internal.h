#ifndef DAISYSTEP_CORE_SHARD_INTERNAL_H
#define DAISYSTEP_CORE_SHARD_INTERNAL_H

#include "daisystep/sealed_journal.h"
#include "daisystep/shard.h"

#include <glib.h>

/* Length of each of the two windows over which demand is counted.  */
#define DEMAND_WINDOW_MS 30000

enum request_state
{
  /* Waits for tokens.  */
  REQUEST_WAITING,
  /* Tokens are reserved; waits for a quorum of the journal's backups.  */
  REQUEST_JOURNALING,
  REQUEST_RUNNING,
  /* Ended; its bill is not in the ledger page yet.  */
  REQUEST_ENDED,
  REQUEST_BILLED,
  /* Did not run, but a backup may still have its reservation: SEQUENCE is the
     record that removes it there.  */
  REQUEST_WITHDRAWN,
  /* Has not run on this host and never will.  */
  REQUEST_CLAIMED
};

struct grant;
struct page;

struct request
{
  uint64_t handle;
  struct ds_request_id id;
  uint64_t body_digest;
  enum request_state state;
  struct grant *grant;
  struct ds_str workspace;
  struct ds_str offering;
  uint64_t tokens;
  bool repeatable;
  bool keyed;
  /* Sequence of the reservation, then of the settlement in the journal.  */
  uint64_t sequence;
  uint64_t wait_until;
  uint64_t ended_at;
  struct ds_bill bill;
  /* Number of the page update that contains the bill, or zero.  */
  uint64_t update;
};

/* Tokens moved to or from a peer.  TOTAL is what this host has sent or
   received; PAGE_TOTAL is the total in the ledger page.  A transfer counts
   once its journal record, SEQUENCE, is committed.  */
struct transfer
{
  uint64_t peer;
  uint64_t total;
  uint64_t page_total;
  uint64_t sequence;
  bool announced;
};

/* The tokens of one budget that this host holds.  */
struct grant
{
  struct ds_str budget;
  struct page *page;
  uint64_t budget_version;
  uint64_t prepaid;
  uint32_t draw_percent;
  bool is_configured;
  bool responsible;
  /* Tokens granted to this incarnation in the ledger page.  */
  uint64_t granted;
  uint64_t reserved;
  /* Tokens of ended requests whose bills are not in the page.  */
  uint64_t used;
  /* Returned in the update under way; not available any more.  */
  uint64_t returning;
  uint64_t demand[2];
  uint64_t demand_started;
  uint64_t last_arrival;
  uint64_t last_ask_at;
  /* Tokens held by the last peer asked; zero to start with the largest
     holder.  */
  uint64_t ask_cursor;
  /* Requests waiting for tokens, smallest first.  */
  GPtrArray *waiting;
  GArray *sent;
  GArray *received;
};

/* An update of a page under way.  It is not changed until its outcome is
   known: of two updates based on the same version of the page, only one can
   take effect.  */
struct update
{
  uint64_t operation;
  uint64_t base_version;
  struct ds_ledger *ledger;
  GPtrArray *settled;
};

/* A recovery that has to be applied to the page.  */
struct seal
{
  uint64_t incarnation;
  struct ds_sealed_journal *content;
  /* Number of the page update that contains it, or zero.  */
  uint64_t update;
  /* Another host had sealed the page before.  */
  bool was_sealed;
};

struct page
{
  uint32_t number;
  struct ds_ledger *ledger;
  /* The page has been read or written at least once.  */
  bool is_loaded;
  bool is_reading;
  uint64_t refreshed_at;
  uint64_t next_operation;
  struct update *update;
  bool is_writing;
  uint64_t call_started_at;
  bool is_urgent;
  uint64_t flush_at;
  uint64_t retry_at;
  uint64_t backoff_ms;
  bool is_failing;
  /* An archive is being written, or exists and the page can drop its bills. */
  bool is_archiving;
  bool is_archived;
  uint64_t archive_number;
  GPtrArray *grants;
  /* Ended requests of this page, in the order of their settlement records.  */
  GPtrArray *unbilled;
  GArray *seals;
  /* When a provisional bill was first seen, to finalize it later.  */
  uint64_t provisional_since;
  uint64_t idle_checked_at;
  bool is_closed;
};

struct ds_shard
{
  struct ds_shard_options options;
  struct ds_journal *journal;
  GRand *random;
  GHashTable *grants;
  GHashTable *pages;
  GHashTable *by_handle;
  GHashTable *by_id;
  /* Incarnations whose recovery is complete, as a set.  */
  GHashTable *closed_incarnations;
  /* Grants with waiting requests, in the order in which they began to wait:
     replays need an order that does not depend on addresses.  */
  GPtrArray *waiting;
  /* Requests waiting for the journal, by sequence.  */
  GQueue *journaling;
  /* Ended requests that are kept for a time, oldest first.  */
  GQueue *retained;
  size_t running;
  bool is_sealed;
  bool is_sealed_reported;
  bool is_stopping;
  bool is_stop_reported;
  bool is_synced_reported;
  uint64_t now;
  struct ds_actions *actions;
};

/* shard_grant.c */
struct grant *grant_find (struct ds_shard *shard, struct ds_str budget);
struct grant *grant_find_or_add (struct ds_shard *shard, struct ds_str budget,
                                 struct page *page);
void grant_release (gpointer grant);
uint64_t grant_available (const struct ds_shard *shard,
                          const struct grant *grant);
void grant_add_demand (struct ds_shard *shard, struct grant *grant,
                       uint64_t tokens);
uint64_t grant_demand (const struct ds_shard *shard,
                       const struct grant *grant);
uint64_t grant_waiting_tokens (const struct grant *grant);
void grant_enqueue (struct ds_shard *shard, struct grant *grant,
                    struct request *request);
void grant_serve_waiting (struct ds_shard *shard, struct grant *grant);
void grant_refuse_waiting (struct ds_shard *shard, struct grant *grant,
                           enum ds_refusal reason, uint64_t retry_after_ms);
void grant_tick (struct ds_shard *shard, struct grant *grant);
void grant_ask_peers (struct ds_shard *shard, struct grant *grant);
void grant_token_ask (struct ds_shard *shard, struct grant *grant,
                      uint64_t amount, uint64_t asker);
void grant_token_give (struct ds_shard *shard, struct grant *grant,
                       uint64_t giver, uint64_t total);
void grant_announce_transfers (struct ds_shard *shard, struct grant *grant);
void grant_sync_transfers (const struct ds_shard *shard, struct grant *grant,
                           const struct ds_account *account);

/* shard_update.c */
struct update *update_plan (struct ds_shard *shard, struct page *page);
void update_discard (struct page *page);

/* shard_page.c */
struct page *page_find_or_add (struct ds_shard *shard, uint32_t number);
void page_release (gpointer page);
void page_schedule_update (struct ds_shard *shard, struct page *page,
                           bool is_urgent);
void page_content (struct ds_shard *shard, struct page *page,
                   const struct ds_ledger *ledger, bool is_written);
void page_failed (struct ds_shard *shard, struct page *page);
void page_archive_written (struct ds_shard *shard, struct page *page,
                           uint64_t number, bool is_written);
void page_add_seal (struct ds_shard *shard, struct page *page,
                    uint64_t incarnation, const struct ds_record *records,
                    size_t count);
void page_tick (struct ds_shard *shard, struct page *page);
bool page_is_unreachable (const struct ds_shard *shard,
                          const struct page *page);
bool page_is_idle (const struct page *page);

/* shard_request.c */
void request_reserve (struct ds_shard *shard, struct request *request);
void request_refuse (struct ds_shard *shard, struct request *request,
                     enum ds_refusal reason, uint64_t retry_after_ms);
void request_mark_billed (struct ds_shard *shard, struct request *request);
void request_remove (struct ds_shard *shard, struct request *request);
void request_retain (struct ds_shard *shard, struct request *request);
void request_dispatch (struct ds_shard *shard, struct request *request);
void request_send_refusal (struct ds_shard *shard,
                           const struct request *request,
                           enum ds_refusal reason, uint64_t retry_after_ms);
void request_withdraw (struct ds_shard *shard, struct request *request);
enum ds_identity request_identity (const struct ds_shard *shard,
                                   const struct request *request);
void request_make_bill (const struct ds_shard *shard, struct request *request,
                        const struct ds_event *event);
void request_append_settlement (struct ds_shard *shard,
                                struct request *request);
void request_append_forget (struct ds_shard *shard, struct request *request);

/* shard.c */
void shard_seal (struct ds_shard *shard);
void shard_append (struct ds_shard *shard, uint64_t *sequence,
                   const struct ds_record *record);
struct ds_action *shard_add_action (struct ds_shard *shard,
                                    enum ds_action_kind kind);

#endif
