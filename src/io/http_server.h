#ifndef DS_IO_HTTP_SERVER_H
#define DS_IO_HTTP_SERVER_H

#include "daisystep/error.h"
#include "daisystep/str.h"

#include <stdbool.h>
#include <stddef.h>
#include <tevent.h>

struct ds_http_server;
struct ds_http_request;

/* One header of a request or reply; the strings need not be
   zero-terminated.  */
struct ds_http_header
{
  struct ds_str name;
  struct ds_str value;
};

/* ADDRESS is "IPv4:PORT" or "[IPv6]:PORT"; port 0 selects a free port.
   HANDLER is called once per request, after its body has been received.  */
struct ds_http_server_options
{
  const char *address;
  bool reuse_port;
  size_t body_limit;         /* bytes, a longer body gets status 413 */
  size_t header_limit;       /* bytes, a longer head gets status 431 */
  unsigned connection_limit; /* open connections, further ones queue */
  unsigned idle_timeout_s;   /* idle connections, 0 = unlimited */
  void (*handler) (struct ds_http_request *request, void *user_data);
  void *user_data;
};

#define DS_HTTP_SERVER_OPTIONS_DEFAULT                                        \
  ((struct ds_http_server_options){                                           \
      .address = "127.0.0.1:0",                                               \
      .reuse_port = false,                                                    \
      .body_limit = (size_t)4 << 20,                                          \
      .header_limit = (size_t)16 << 10,                                       \
      .connection_limit = 4096,                                               \
      .idle_timeout_s = 60,                                                   \
      .handler = NULL,                                                        \
      .user_data = NULL,                                                      \
  })

int ds_http_server_check_address (const char *address, struct ds_error *error);
int ds_http_server_new (struct ds_http_server **out, TALLOC_CTX *owner,
                        struct tevent_context *ev,
                        const struct ds_http_server_options *options,
                        struct ds_error *error);
void ds_http_server_free (struct ds_http_server *server);
const char *ds_http_server_address (const struct ds_http_server *server);
void ds_http_server_quiesce (struct ds_http_server *server);
size_t ds_http_server_request_count (const struct ds_http_server *server);

struct ds_str ds_http_request_method (const struct ds_http_request *request);
struct ds_str ds_http_request_path (const struct ds_http_request *request);
struct ds_str ds_http_request_query (const struct ds_http_request *request,
                                     const char *name);
struct ds_str ds_http_request_header (const struct ds_http_request *request,
                                      const char *name);
struct ds_str ds_http_request_body (const struct ds_http_request *request);
const char *ds_http_request_peer (const struct ds_http_request *request);

void ds_http_request_set_user_data (struct ds_http_request *request,
                                    void *user_data);
void *ds_http_request_user_data (const struct ds_http_request *request);
void ds_http_request_on_close (struct ds_http_request *request,
                               void (*on_close) (struct ds_http_request *,
                                                 void *user_data));
void ds_http_request_on_drained (struct ds_http_request *request,
                                 void (*on_drained) (struct ds_http_request *,
                                                     void *user_data));

void ds_http_request_reply (struct ds_http_request *request, unsigned status,
                            const char *content_type,
                            const struct ds_http_header *headers,
                            size_t header_count, struct ds_str body);
void ds_http_request_begin (struct ds_http_request *request, unsigned status,
                            const char *content_type,
                            const struct ds_http_header *headers,
                            size_t header_count);
size_t ds_http_request_write (struct ds_http_request *request,
                              struct ds_str data);
size_t ds_http_request_unsent_bytes (const struct ds_http_request *request);
void ds_http_request_finish (struct ds_http_request *request, bool complete);

#endif
