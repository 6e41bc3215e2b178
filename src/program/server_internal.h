#ifndef DAISYSTEP_PROGRAM_SERVER_INTERNAL_H
#define DAISYSTEP_PROGRAM_SERVER_INTERNAL_H

#include "daisystep/backup.h"
#include "daisystep/catalogue.h"
#include "daisystep/fleet.h"
#include "daisystep/log.h"
#include "daisystep/metrics.h"
#include "daisystep/resource.h"
#include "daisystep/router.h"
#include "daisystep/session.h"
#include "daisystep/shard.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/mailbox.h"
#include "io/peer_link.h"
#include "io/platform.h"
#include "program/server.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

/* A request handle: the worker that owns the connection, the generation that
   decides on the request, and a number.  */
#define HANDLE_WORKER_SHIFT 56
#define HANDLE_GENERATION_SHIFT 48
#define GENERATIONS_MAX 256

/* Sessions accept new requests for 10 minutes.  Ended requests are kept for
   twice as long, so that none is dropped while a repetition could still be
   accepted.  */
#define SESSION_LIFETIME_MS ((uint64_t)10 * 60 * 1000)

/* Prefix of the query text for an idempotency key; the time of the claim
   follows, on the clock of the host that made it.  */
#define DS_CLAIM_TEXT_PREFIX "claim:"

/* Messages that can be queued for one thread.  */
#define MAILBOX_CAPACITY ((size_t)1 << 18)

struct server_shard
{
  pthread_mutex_t lock;
  struct ds_shard *shard;
};

/* The shards of one incarnation.  A sealed incarnation stays in use until its
   last stream has ended and its bills are settled.  */
struct generation
{
  struct ds_server *server;
  uint32_t number;
  uint64_t incarnation;
  struct server_shard *shards;
  uint32_t shard_count;
  pthread_mutex_t sessions_lock;
  struct ds_sessions *sessions;
};

/* A thread that serves callers.  Other threads may use only MAILBOX.  */
struct worker
{
  struct ds_server *server;
  uint32_t index;
  pthread_t thread;
  bool is_started;
  TALLOC_CTX *memory;
  struct tevent_context *events;
  struct ds_mailbox *mailbox;
  struct ds_http_server *http;
  struct ds_http_client *client;
  GHashTable *calls;
  uint64_t last_call_number;
  bool is_stopped;
};

/* A closed incarnation, and when this host learned of its end.  */
struct closed_incarnation
{
  uint64_t incarnation;
  uint64_t closed_at;
};

struct ds_server
{
  const struct ds_settings *settings;
  TALLOC_CTX *memory;
  struct tevent_context *events;
  struct ds_mailbox *mailbox;
  int tick_fd;
  struct ds_platform *platform;
  struct ds_peer_hub *hub;
  struct ds_http_server *operators;
  struct worker *workers;
  uint32_t worker_count;

  /* Written by the control thread only; read by all.  */
  struct generation *_Atomic generation;
  struct generation *generations[GENERATIONS_MAX];
  uint32_t generation_count;

  pthread_mutex_t fleet_lock;
  struct ds_fleet *fleet;

  pthread_mutex_t router_lock;
  struct ds_router *router;

  pthread_rwlock_t catalogue_lock;
  struct ds_catalogue *catalogue;
  /* Maps the hexadecimal SHA-256 of a key to the name of its workspace.  */
  GHashTable *keys;

  /* Host objects received from the watch, replayed to a new incarnation;
     control thread only.  */
  GHashTable *host_objects;

  /* Records kept for other hosts; control thread only.  */
  struct ds_backup_store *backups;
  /* Seal replies whose parts have not all arrived, by backup and incarnation;
     control thread only.  */
  GPtrArray *partial_seal_replies;
  /* Pending queries about requests of other hosts, by operation; control
     thread only.  */
  GHashTable *pending_queries;
  uint64_t last_operation_id;

  atomic_bool is_draining;
  atomic_bool is_platform_reachable;
  /* When the platform became unreachable; zero while it is reachable.  */
  _Atomic uint64_t platform_unreachable_since;
  uint64_t session_floor_sent_at;
  /* Closed incarnations whose records are still kept, oldest first.  */
  GArray *closed_incarnations;
  uint64_t drain_started_at;
  uint32_t stopped_shards;
  bool is_closing;
  bool is_host_closing;
  bool is_host_closed;
  bool is_done;
  bool is_reopen_pending;
};

/* Posts RUN (PAYLOAD) to the thread of MAILBOX; RELEASE, which may be null,
   frees the payload.  On an error the caller keeps PAYLOAD.  */
static inline int
server_post (struct ds_mailbox *mailbox,
             void (*run) (void *payload, void *context), void *payload,
             void (*release) (void *payload))
{
  struct ds_mailbox_message message
      = { .handle = run, .destroy = release, .payload = payload };

  return ds_mailbox_post (mailbox, &message);
}

uint64_t server_now (void);
struct worker *server_worker_for_request (struct ds_server *server,
                                          uint64_t handle);
struct generation *server_generation_for_request (struct ds_server *server,
                                                  uint64_t handle);

/* server_shards.c */
int server_generation_new (struct ds_server *server, struct generation **out,
                           uint64_t incarnation);
void server_generation_free (struct generation *generation);
struct server_shard *server_shard_of_budget (struct generation *generation,
                                             struct ds_str budget);
void server_shard_handle_event (struct generation *generation, uint32_t shard,
                                const struct ds_event *event);
void server_all_shards_handle_event (struct generation *generation,
                                     const struct ds_event *event);
uint32_t server_shard_of_page (const struct generation *generation,
                               uint32_t page);
uint32_t server_page_of_budget (const struct ds_server *server,
                                struct ds_str budget);

/* server_control.c: control thread only.  */
void server_fleet_handle_event (struct ds_server *server,
                                const struct ds_fleet_event *event);
void server_execute_control_action (struct generation *generation,
                                    uint32_t shard,
                                    const struct ds_action *action);
int server_control_start (struct ds_server *server, struct ds_error *error);
int server_open_next_incarnation (struct ds_server *server,
                                  struct ds_error *error);

/* server_platform.c: the connection, the watches and the Host objects.  */
int server_platform_start (struct ds_server *server, struct ds_error *error);
void server_platform_replay (struct ds_server *server);
void server_host_write (struct ds_server *server, const struct ds_host *host);
void server_host_delete (struct ds_server *server, const struct ds_host *host);

/* server_pages.c */
struct json_t *server_object_json (const char *kind, const char *name,
                                   struct json_t *spec);
void server_page_read (struct generation *generation, uint32_t page);
void server_page_write (struct generation *generation,
                        const struct ds_action *action);
void server_archive_write (struct generation *generation,
                           const struct ds_action *action);

/* server_claims.c */
void server_claim (struct ds_server *server, uint64_t handle,
                   const struct ds_request_id *id, struct ds_str workspace);
void server_release_claim (struct ds_server *server,
                           const struct ds_request_id *id);

/* server_config.c */
void server_on_resource_change (struct ds_server *server, const char *kind,
                                enum ds_platform_change change,
                                const char *name, uint64_t version,
                                const struct json_t *object);
void server_replay_resources (struct ds_server *server);

/* server_peers.c */
int server_peers_start (struct ds_server *server, struct ds_error *error);
void server_peers_stop (struct ds_server *server);
void server_send_journal (struct generation *generation, uint32_t shard,
                          const struct ds_journal_batch *batch);
void server_send_tokens (struct generation *generation,
                         const struct ds_action *action);
void server_send_seal (struct ds_server *server, uint64_t backup,
                       uint64_t incarnation);
void server_send_crash_reports (struct ds_server *server);
void server_send_to_all (struct ds_server *server,
                         const Daisystep__Peer__Envelope *envelope);
struct generation *server_find_generation (struct ds_server *server,
                                           uint64_t incarnation);

/* server_identity.c */
void server_query (struct ds_server *server, uint64_t handle,
                   uint64_t incarnation, const struct ds_request_id *id,
                   struct ds_str text);
void server_expire_queries (struct ds_server *server);
void server_on_identity_query (struct ds_server *server,
                               const struct ds_peer_info *peer,
                               const Daisystep__Peer__IdentityQuery *message);
void server_on_identity_reply (struct ds_server *server,
                               const Daisystep__Peer__IdentityReply *message);

/* server_router.c */
void server_attempt_ended (struct ds_server *server,
                           const struct ds_attempt_end *end);
void server_router_tick (struct ds_server *server);
void server_router_put (struct ds_server *server,
                        const struct ds_resource *resource);
void server_router_remove (struct ds_server *server, struct ds_str name,
                           uint64_t version);

/* operator.c */
int server_operator_start (struct ds_server *server, struct ds_error *error);
struct json_t *server_dump (struct ds_server *server);

/* worker.c */
int server_worker_start (struct worker *worker, struct ds_error *error);
void server_worker_quiesce (struct worker *worker);
void server_worker_stop (struct worker *worker);
void server_worker_disconnect (struct worker *worker);
void server_worker_clear (struct worker *worker);

#endif
