#ifndef DAISYSTEP_CORE_FLEET_INTERNAL_H
#define DAISYSTEP_CORE_FLEET_INTERNAL_H

#include "daisystep/fleet.h"

#include <glib.h>

/* Another host incarnation, known from its link, its Host object or both.  */
struct member
{
  uint64_t incarnation;
  struct ds_host *object;
  bool is_up;
  uint64_t up_since;
  uint64_t down_since;
  /* When its Host object was first seen in its current state.  */
  uint64_t state_since;
  /* When the deletion of its closed Host object was last requested.  */
  uint64_t delete_requested_at;
  struct ds_str host;
  struct ds_str zone;
  struct ds_str peer_address;
};

enum recovery_step
{
  /* Writes the Host object as sealed.  */
  RECOVERY_SEALING_OBJECT,
  /* Collects the records of the backups.  */
  RECOVERY_SEALING_BACKUPS,
  /* Writes them into the ledger pages.  */
  RECOVERY_SEALING_PAGES,
  /* Waits for the second pass.  */
  RECOVERY_SECOND_PASS,
  /* Writes the Host object as closed.  */
  RECOVERY_CLOSING_OBJECT,
  RECOVERY_DONE,
  /* Too few backups hold records: the grants stay spent.  */
  RECOVERY_LOST
};

struct backup_reply
{
  bool has_replied;
  bool is_known;
  struct ds_sealed_shard *shards;
  size_t count;
};

/* The recovery of one incarnation by this host.  */
struct recovery
{
  uint64_t incarnation;
  enum recovery_step step;
  struct ds_host *object;
  bool is_writing;
  uint64_t retry_at;
  struct backup_reply replies[DS_BACKUPS_MAX];
  uint64_t sent_at;
  uint64_t quorum_at;
  struct ds_record *records;
  size_t record_count;
  bool *pages;
  uint32_t pages_left;
  bool is_second_pass;
  /* Another host's recovery has sealed a page; its records may differ in
     requests that were never dispatched.  */
  bool has_concurrent_recovery;
  uint64_t second_pass_at;
  uint64_t done_at;
};

struct ds_fleet
{
  struct ds_fleet_options options;
  TALLOC_CTX *memory;
  GHashTable *members;
  GHashTable *recoveries;
  struct ds_host *self;
  uint64_t started_at;
  bool is_open;
  bool is_self_sealed;
  bool is_draining;
  bool is_closing;
  /* The change of backups in progress.  */
  bool has_proposal;
  struct ds_backup_ref proposed[DS_BACKUPS_MAX];
  size_t proposed_count;
  bool *synced;
  bool is_writing;
  bool is_write_due;
  uint64_t retry_at;
  uint64_t now;
  struct ds_fleet_actions *actions;
};

struct ds_fleet_action *fleet_add_action (struct ds_fleet *fleet,
                                          enum ds_fleet_action_kind kind);
struct member *fleet_find_member (const struct ds_fleet *fleet,
                                  uint64_t incarnation);

/* recovery.c */
void recovery_free (gpointer recovery);
void recovery_start_if_due (struct ds_fleet *fleet,
                            const struct member *member);
void recovery_on_object (struct ds_fleet *fleet, const struct ds_host *object,
                         bool is_write_result);
void recovery_on_write_failed (struct ds_fleet *fleet, uint64_t incarnation);
void recovery_on_seal_reply (struct ds_fleet *fleet,
                             const struct ds_fleet_event *event);
void recovery_on_page_sealed (struct ds_fleet *fleet, uint64_t incarnation,
                              uint32_t page, bool was_sealed);
void recovery_tick (struct ds_fleet *fleet, struct recovery *recovery);

#endif
