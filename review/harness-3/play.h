#ifndef REVIEW_PLAY_H
#define REVIEW_PLAY_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Parts of the scripts of this review: servers and clients with a thread for
   each connection, a stand-in of the platform's store, and the processes of
   the project.  Everything is on loopback addresses.  */

#define PLAY_ADDRESS_BYTES 32

/* A request as a server has read it.  */
struct play_request
{
  int fd;
  char method[16];
  char target[1024];
  char *head; /* header lines, zero-terminated */
  char *body;
  size_t body_length;
};

/* Answers REQUEST on its descriptor.  False closes the connection.  */
typedef bool play_handler (struct play_request *request, void *state);

/* A response as a client has read it.  */
struct play_response
{
  int status;    /* 0: none */
  bool complete; /* the body has its declared end */
  bool reset;
  char *head;
  char *body;
  size_t body_length;
  size_t declared;
};

/* play.c */
uint64_t play_now_ms (void);
void play_sleep_ms (uint64_t ms);
void play_fail (const char *text) __attribute__ ((noreturn));
void play_record_open (const char *path);
void play_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
void play_address (char *out, int host, int port);
int play_listen (const char *address);
int play_connect (const char *address, int receive_buffer);
bool play_write (int fd, const void *bytes, size_t length);
void play_serve (const char *address, play_handler *handler, void *state);
bool play_header (char *out, size_t size, const char *head, const char *name);
bool play_answer (struct play_request *request, int status,
                  const char *header_lines, const char *body, size_t length);
void play_read_response (struct play_response *out, int fd, uint64_t until_ms,
                         uint64_t pause_us, size_t step);
void play_call (struct play_response *out, const char *address,
                const char *head, const char *body, uint64_t timeout_ms);
void play_response_free (struct play_response *response);
void play_thread (void *(*run) (void *), void *state);
pid_t play_start (const char *name, const char *settings);
void play_kill (pid_t pid);
bool play_has_ended (pid_t pid);
void play_stop_all (void);
void play_wait_ready (const char *address, uint64_t timeout_ms);
double play_random (void);
void play_seed (unsigned seed);

/* store.c */
struct play_store;
struct play_store *play_store_new (const char *address, long era);
struct play_path;
struct play_path *play_store_path (struct play_store *store,
                                   const char *address);
void play_path_cut (struct play_path *path, bool cut);
void play_store_put (struct play_store *store, const char *kind,
                     const char *name, json_t *spec);
void play_store_lose (struct play_store *store, double share, bool late);
json_t *play_store_get (struct play_store *store, const char *kind,
                        const char *name);
void play_store_copy (struct play_store *store);
void play_store_away (struct play_store *store, bool away);
void play_store_restore (struct play_store *store);
unsigned play_store_lost (struct play_store *store);
unsigned play_store_writes (struct play_store *store);

/* site.c */
struct play_tenant
{
  char name[32];
  char key[32];
  long prepaid;
};
void play_put_config (struct play_store *store, int version,
                      const struct play_tenant *tenants, int count);
void play_put_replica (struct play_store *store, const char *id,
                       const char *service, const char *address);
/* What the settings have of a site file.  */
struct play_site
{
  const char *zone;
  const char *region;
  const char *zones; /* as JSON */
  int apply_ms;      /* config_apply_ms */
  int drain_ms;
  double cpu_share;
  double link_mbps;
  int memory_mb;
  int retry_slack;
};
extern const struct play_site play_treidelstall;
extern const struct play_site play_acif;
char *play_settings (const struct play_site *site, int host, const char *store,
                     bool first_start);
#define PLAY_PORT_CALLERS 8080
#define PLAY_PORT_READINESS 8081
#define PLAY_PORT_DIRECTORY 8082
#define PLAY_PORT_GOSSIP 8083
#define PLAY_PORT_METRICS 8084

#endif
