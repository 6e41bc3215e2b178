#ifndef DAISYSTEP_TESTS_MODEL_INTERNAL_H
#define DAISYSTEP_TESTS_MODEL_INTERNAL_H

#include "daisystep/backup.h"
#include "daisystep/fleet.h"
#include "daisystep/shard.h"
#include "model.h"
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define BUDGETS_MAX 8
#define PAGES_MAX 4
#define STEP_MS_MAX 200

enum message_kind
{
  MESSAGE_JOURNAL,
  MESSAGE_ACK,
  MESSAGE_SEAL,
  MESSAGE_SEAL_REPLY,
  MESSAGE_TOKEN_ASK,
  MESSAGE_TOKEN_GIVE,
  MESSAGE_PAGE_READ,
  MESSAGE_PAGE_WRITE,
  MESSAGE_ARCHIVE_WRITE,
  MESSAGE_HOST_WRITE,
  MESSAGE_PAGE_RESPONSE,
  MESSAGE_PAGE_FAILED,
  MESSAGE_ARCHIVE_RESPONSE,
  MESSAGE_HOST_RESPONSE,
  MESSAGE_HOST_FAILED,
  MESSAGE_HOST_CHANGED
};

/* A message in flight.  FROM and TO are host numbers or PLATFORM.  Messages
   from one host to another keep their order; those to or from the platform may
   be reordered.  */
#define PLATFORM (-1)

struct message
{
  enum message_kind kind;
  int from;
  int to;
  uint64_t from_incarnation;
  uint64_t to_incarnation;
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t number;
  uint32_t page;
  bool is_sealed;
  bool is_known;
  bool is_written;
  struct ds_str budget;
  struct ds_journal_batch batch;
  struct ds_ledger *ledger;
  struct ds_host *host;
  struct ds_sealed_shard sealed;
};

struct model_host
{
  bool is_alive;
  bool is_paused;
  /* Paused for longer than the peers' timeout, so they have closed their
     links.  */
  bool is_disconnected;
  bool is_stopping;
  uint64_t incarnation;
  struct ds_shard *shard;
  struct ds_fleet *fleet;
  struct ds_backup_store *backups;
  /* Shards of the process's sealed incarnations.  */
  GPtrArray *retired_shards;
  char name[8];
  char zone[8];
};

struct model_request
{
  struct ds_request_id id;
  uint64_t handle;
  int host;
  uint64_t incarnation;
  int budget;
  uint64_t reserve;
  uint64_t cost;
  int dispatches;
  bool is_refused;
  bool is_reported_not_run;
  bool is_ended;
  bool is_lost;
  int bills;
  uint64_t billed;
  bool is_estimated;
};

struct platform_page
{
  struct ds_ledger *ledger;
  uint64_t version;
};

struct model
{
  struct model_options options;
  TALLOC_CTX *memory;
  GRand *random;
  uint64_t now;
  uint64_t next_incarnation;
  uint64_t next_version;
  struct model_host hosts[MODEL_HOSTS_MAX];
  bool is_cut[MODEL_HOSTS_MAX][MODEL_HOSTS_MAX];
  /* The incarnation at the other end of a host's link to a peer, or 0.  */
  uint64_t link[MODEL_HOSTS_MAX][MODEL_HOSTS_MAX];
  GPtrArray *messages;
  GPtrArray *requests;
  struct platform_page pages[PAGES_MAX];
  GArray *archives[PAGES_MAX];
  GHashTable *host_objects;
  uint64_t prepaid[BUDGETS_MAX];
  uint64_t budget_version[BUDGETS_MAX];
  uint64_t highest_prepaid[BUDGETS_MAX];
  bool is_platform_up;
  int responses_to_lose;
  /* Whether the response to the current platform call is lost.  */
  bool loses_response;
  struct model_totals totals;
  char failure[256];
  GHashTable *lost;
};

void model_fail (struct model *model, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
bool model_has_weakness (const struct model *model,
                         enum model_weakness weakness);
int model_chance (struct model *model, int per_mille);
char *model_budget_name (TALLOC_CTX *owner, int budget);
uint32_t model_budget_page (const struct model *model, int budget);
uint32_t model_page_by_budget_name (const struct model *model,
                                    struct ds_str budget);
void model_release_message (gpointer data);
struct message *model_send_message (struct model *model,
                                    enum message_kind kind, int from, int to);
int model_find_host (const struct model *model, uint64_t incarnation);
bool model_can_connect (const struct model *model, int a, int b);
void model_handle_shard_event (struct model *model, int host,
                               struct ds_shard *shard,
                               const struct ds_event *event);
void model_handle_fleet_event (struct model *model, int host,
                               const struct ds_fleet_event *event);
void model_update_link (struct model *model, int at, int peer, bool is_up);
void model_drop_messages_between (struct model *model, int a, int b);
void model_set_link (struct model *model, int a, int b, bool is_up);
void model_declare_budgets (struct model *model, int host);
void model_start_host (struct model *model, int index);
void model_release_host (struct model_host *host);
void model_open_next_incarnation (struct model *model, int index);
struct ds_shard *model_find_shard (const struct model *model, int host,
                                   uint64_t incarnation, bool *is_current);
struct model_request *model_find_request (const struct model *model,
                                          uint64_t handle);
void model_check_bills (struct model *model);
void model_check_page (struct model *model, int number,
                       const struct ds_ledger *old);
void model_check (struct model *model);
void model_serve_platform (struct model *model, struct message *call);
void model_deliver (struct model *model, struct message *message);
void model_apply_shard_actions (struct model *model, int host,
                                struct ds_actions *actions);
void model_apply_fleet_actions (struct model *model, int host,
                                struct ds_fleet_actions *actions);
bool model_can_deliver (const struct model *model, guint index);
void model_deliver_at (struct model *model, guint index);
void model_deliver_random (struct model *model);
void model_tick_host (struct model *model, int index);
void model_tick_all (struct model *model);

void model_seal_pages (struct model *model, int host,
                       const struct ds_fleet_action *action);

#endif
