#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define REVIEW_HEAD_BYTES_MAX 16384
#define REVIEW_CHANNELS_MAX 512
#define REVIEW_ADDRESS_BYTES 32
#define REVIEW_PATH_BYTES 512

/* Exit statuses of a case.  */
#define REVIEW_HELD 0
#define REVIEW_BROKEN 1
#define REVIEW_CANNOT_RUN 2

/* Reads HTTP messages from one socket.  */
struct review_reader
{
  int fd;
  char *data;
  size_t length;
  size_t capacity;
};

/* A request or a response.  HEAD is the text up to the empty line.  */
struct review_message
{
  char head[REVIEW_HEAD_BYTES_MAX];
  char method[16];
  char target[1024];
  int status;
  char *body; /* freed by review_message_free */
  size_t body_length;
  bool complete;
};

/* One connection to a replica.  */
struct review_channel
{
  struct review_replica *replica;
  struct review_reader reader;
  int fd;
  bool open;
  char pending[1024]; /* for the use of the handler */
  size_t pending_length;
};

/* A replica: HANDLE answers one request and returns false to close the
   channel.  */
struct review_replica
{
  char id[64];
  char service[64];
  char zone[32];
  char address[REVIEW_ADDRESS_BYTES];
  int slots;
  int listen_fd;
  uint16_t port;
  uint64_t born_ms;
  bool (*handle) (struct review_replica *replica,
                  struct review_channel *channel,
                  const struct review_message *request);
  pthread_mutex_t lock;
  struct review_channel *channels[REVIEW_CHANNELS_MAX];
  int running; /* requests in work, for the use of the handler */
  int index;
  pthread_t thread;
  bool up;
};

/* One entry host as a process of its own.  */
struct review_host
{
  char name[64];
  char zone[32];
  char caller_address[REVIEW_ADDRESS_BYTES];
  char readiness_address[REVIEW_ADDRESS_BYTES];
  char directory_address[REVIEW_ADDRESS_BYTES];
  char gossip_address[REVIEW_ADDRESS_BYTES];
  char metrics_address[REVIEW_ADDRESS_BYTES];
  char settings_path[REVIEW_PATH_BYTES];
  char log_path[REVIEW_PATH_BYTES];
  pid_t pid; /* 0 while it does not run */
};

/* What a client got.  */
struct review_answer
{
  int status; /* 0 when there was none */
  bool complete;
  bool sealed;
  bool closes;
  size_t body_length;
  char head[2048];
};

/* harness.c: record, clock, processes */
void review_begin (int argc, char **argv, int limit_s);
bool review_has_trouble (void);
const char *review_folder (void);
uint64_t review_now_ms (void);
void review_sleep_ms (uint64_t ms);
void review_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
int review_finish (int status);
void review_give_up (const char *why);

int review_listen (uint16_t *port, bool datagram);
void review_free_address (char *out, bool datagram);
int review_connect (const char *address, int timeout_ms);
bool review_send (int fd, const char *data, size_t length);
bool review_read_message (struct review_reader *reader,
                          struct review_message *message, int timeout_ms);
bool review_header (const struct review_message *message, const char *name,
                    char *out, size_t size);
void review_message_free (struct review_message *message);
void review_reader_free (struct review_reader *reader);

void review_host_define (struct review_host *host, const char *name,
                         const char *zone);
void review_host_start (struct review_host *host);
bool review_host_is_ready (const struct review_host *host);
void review_host_await (const struct review_host *host, int timeout_ms);
void review_host_signal (const struct review_host *host, int number);
void review_host_reap (struct review_host *host);
bool review_host_has_ended (struct review_host *host, int *status);

bool review_call (int *fd, const char *address, const char *head,
                  const char *body, size_t body_length, int timeout_ms,
                  struct review_answer *answer);

/* store.c: the platform's metadata store */
void review_store_start (void);
const char *review_store_address (void);
uint64_t review_store_put (const char *kind, const char *name,
                           const char *spec);
uint64_t review_store_delete (const char *kind, const char *name);

/* replica.c */
void review_replica_start (struct review_replica *replica);
void review_replica_register (const struct review_replica *replica,
                              const char *state);
void review_replica_crash (struct review_replica *replica);

#endif
