#ifndef DS_IO_HTTP_CONNECTION_H
#define DS_IO_HTTP_CONNECTION_H

#include "io/http_message.h"
#include "io/tcp.h"

/* Why a request got no complete response.  */
enum ds_http_failure
{
  DS_HTTP_FAILURE_NOT_CONNECTED, /* never connected: the peer has not seen the
                                    request */
  DS_HTTP_FAILURE_NO_RESPONSE, /* closed before the first byte of a response */
  DS_HTTP_FAILURE_TRUNCATED,   /* closed within the response */
  DS_HTTP_FAILURE_MALFORMED    /* the peer sent no valid response */
};

/* How a response relates to the current request, by what its head says.  */
enum ds_http_answer
{
  DS_HTTP_ANSWER_OWN,     /* it names the request */
  DS_HTTP_ANSWER_UNNAMED, /* it names none, and may be the answer */
  DS_HTTP_ANSWER_FOREIGN  /* it belongs to no request, or to another one; it is
                             read to its end and discarded */
};

/* ON_HEAD classifies a response; ON_BODY and ON_END follow unless it is
   foreign.  ON_IDLE_CLOSE reports that an idle connection was
   closed or received unsolicited bytes.  Any handler may free the
   connection.  */
struct ds_http_connection_handlers
{
  void (*on_connected) (void *user_data); /* may be null */
  enum ds_http_answer (*on_head) (const struct ds_http_head *head,
                                  void *user_data);
  void (*on_body) (struct ds_str bytes, void *user_data);
  void (*on_end) (void *user_data);
  void (*on_failure) (enum ds_http_failure failure, void *user_data);
  void (*on_idle_close) (void *user_data);
  void *user_data;
};

struct ds_http_connection;

int ds_http_connection_open (struct ds_http_connection **out,
                             TALLOC_CTX *owner,
                             const struct ds_tcp_options *options,
                             const struct ds_socket_address *address);
void ds_http_connection_free (struct ds_http_connection *connection);
void
ds_http_connection_set_handlers (struct ds_http_connection *connection,
                                 const struct ds_http_connection_handlers *h);
int ds_http_connection_send (struct ds_http_connection *connection,
                             struct ds_str head, struct ds_str body,
                             TALLOC_CTX *body_holder, bool head_only);
bool ds_http_connection_is_reusable (const struct ds_http_connection *c);
bool ds_http_connection_is_connected (const struct ds_http_connection *c);
bool ds_http_connection_is_watched (const struct ds_http_connection *c);
bool ds_http_connection_is_first_answer (const struct ds_http_connection *c);
bool ds_http_connection_has_sent (const struct ds_http_connection *c);
bool ds_http_connection_fell_silent (const struct ds_http_connection *c);
void ds_http_connection_set_buffers (struct ds_http_connection *connection,
                                     uint32_t bytes);
void ds_http_connection_pause (struct ds_http_connection *connection,
                               bool paused);

#endif
