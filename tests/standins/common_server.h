#ifndef STANDIN_COMMON_SERVER_H
#define STANDIN_COMMON_SERVER_H

#include "daisystep/str.h"

#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>

struct arg_lit;
struct arg_str;
struct arg_int;

struct standin_server;

/* The command-line options of every stand-in.  */
struct standin_arguments
{
  struct arg_lit *help;
  struct arg_str *address;
  struct arg_str *ready_file;
  struct arg_int *stop_after_ms;
};

/* A request with its complete body; the talloc parent of all its memory.  */
struct standin_request
{
  struct standin_server *server;
  struct MHD_Connection *connection;
  const char *method;
  char *path;
  char *body; /* zero-terminated */
  size_t body_length;
  bool body_too_large;
  const char *header_name; /* of a header of the response; null for none */
  char header_value[24];
};

/* Longer bodies get 413.  */
extern size_t standin_body_bytes_max;

/* HANDLE responds to a request with one of the functions below.  It runs on
   the thread of the connection, so it may block.  */
void standin_arguments_init (struct standin_arguments *arguments);
int standin_arguments_parse (const struct standin_arguments *arguments,
                             void **table, int argc, char **argv);
int standin_run (const struct standin_arguments *arguments,
                 enum MHD_Result (*handle) (void *state,
                                            struct standin_request *request),
                 void *state);

/* For programs that serve their connections themselves.  */
int standin_parse_address (struct sockaddr_in *address, const char *text);
int standin_write_ready_file (const char *path,
                              const struct sockaddr_in *address,
                              uint16_t port);
void standin_wait_for_stop (const sigset_t *signals, int stop_after_ms);

void standin_server_close_connections (struct standin_server *server,
                                       struct MHD_Connection *except);

bool standin_request_matches (const struct standin_request *request,
                              const char *method, const char *path);
const char *standin_request_header (const struct standin_request *request,
                                    const char *name);
const char *standin_request_query (const struct standin_request *request,
                                   const char *name);
struct ds_str
standin_request_query_bytes (const struct standin_request *request,
                             const char *name);
uint64_t standin_request_query_u64 (const struct standin_request *request,
                                    const char *name, uint64_t default_value);
bool standin_request_wait (const struct standin_request *request, uint64_t ms);
uint64_t standin_now_ms (void);

enum MHD_Result standin_respond_text (struct standin_request *request,
                                      unsigned status, const char *attempt_id,
                                      struct ds_str text);
enum MHD_Result standin_respond_json (struct standin_request *request,
                                      unsigned status, const char *attempt_id,
                                      json_t *body);
enum MHD_Result standin_respond_error (struct standin_request *request,
                                       unsigned status, const char *message);
enum MHD_Result standin_close_connection (struct standin_request *request);

#endif
