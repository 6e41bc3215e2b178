#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* A small deployment on loopback addresses: the project's store stand-in,
   entry hosts as separate processes, and replicas as threads of this process,
   which records what was sent, answered and run.  */

#define SITE_HOSTS 3
#define SITE_ADDRESS_BYTES 48
#define SITE_ID_BYTES 64
#define SITE_LAST_BYTES 64
#define SITE_CONNECTIONS_MAX 512

/* Exit codes of a case.  */
enum site_result
{
  SITE_HELD = 0,
  SITE_BROKEN = 1,
  SITE_NOT_RUN = 2
};

struct site_server;
struct site_request;

/* What the settings of a machine say at one of the users' sites.  */
struct site_profile
{
  const char *region;
  const char *zones[3];
  int memory_mb;
  double link_mbps;
  int config_apply_ms;
  int drain_ms;
  int retry_slack;
};

/* sites/ccbs-daisystep.toml and, for the smallest memory and the fastest link
   of its machines, demands/acif-agenda-grown.toml.  */
extern const struct site_profile site_ccbs;
extern const struct site_profile site_acif;

/* Answers a request on FD.  False closes the connection.  */
typedef bool site_answer_fn (struct site_server *server, int fd,
                             struct site_request *request);

/* A replica.  ANSWER is called on the thread of the connection.  */
struct site_server
{
  const char *id;
  const char *service;
  const char *zone;
  site_answer_fn *answer;
  bool answers_unread; /* ANSWER is called before the body is read */
  char address[SITE_ADDRESS_BYTES];
  bool exists; /* in the store */
  int starts;
  int listen_fd;                 /* -1 while the replica is away */
  int fds[SITE_CONNECTIONS_MAX]; /* of its connections; -1 for a free place */
};

/* A request as a replica receives it.  */
struct site_request
{
  char id[SITE_ID_BYTES];
  char method[16];
  char path[128];
  uint64_t body_bytes;   /* declared */
  uint64_t body_missing; /* not read yet */
  uint64_t arrived_ms;
  char parts[1024]; /* Prompt-Prefix */
};

/* A request of a caller.  */
struct site_call
{
  const char *method;
  const char *path;
  const char *id;
  const char *parts;  /* Prompt-Prefix; null for two ordinary ones */
  const char *tokens; /* Token-Count; null for none */
  size_t body_bytes;
  size_t read_per_s;  /* bytes of the answer; 0 for no limit */
  int receive_buffer; /* of the connection; 0 for the system's */
};

/* What a caller got.  The answer is complete if all of its body arrived.  */
struct site_answer
{
  int status; /* 0 without a head */
  bool complete;
  bool closed; /* the connection ended before the answer was complete */
  size_t body_bytes;
  char last[SITE_LAST_BYTES]; /* the end of the body */
  uint64_t took_ms;
};

/* A connection of a caller, which is kept; FD is -1 before the first call.  */
struct site_caller
{
  int host;
  int fd;
};

bool site_trouble (void);
uint64_t site_now_ms (void);
void site_sleep_ms (long ms);
void site_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
_Noreturn void site_finish (enum site_result result, const char *reason);

void site_open (const struct site_profile *profile);
void site_write_config (long prepaid);
void site_start_server (struct site_server *server);
void site_crash_server (struct site_server *server, long away_ms);
void site_register_server (struct site_server *server, const char *state);
void site_start_host (int i, bool first_start);
void site_wait_ready (int i);
void site_signal_host (int i, int number);
bool site_wait_host (int i, int timeout_ms);
long site_peak_kb (int i);
long site_ledger_updates (int i);
void site_control_store (const char *path, const char *body);
void site_restore_store (int away_ms);

bool site_send (int fd, const char *text, size_t length);
bool site_send_format (int fd, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
bool site_read_body (int fd, struct site_request *request);
void site_exchange (struct site_caller *caller, const struct site_call *call,
                    struct site_answer *answer);
void site_close_caller (struct site_caller *caller);

#endif
