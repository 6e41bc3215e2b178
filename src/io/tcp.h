#ifndef DS_IO_TCP_H
#define DS_IO_TCP_H

#include "daisystep/error.h"
#include "daisystep/str.h"
#include "io/socket_address.h"

#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

/* How a stream ended.  */
enum ds_tcp_end
{
  DS_TCP_END_CLOSED,       /* the peer sent its end of data */
  DS_TCP_END_RESET,        /* the connection broke after it was established */
  DS_TCP_END_NOT_CONNECTED /* the connection was never established */
};

/* ON_BYTES may be called many times; its bytes are valid until it returns.
   ON_END is called once, after which nothing more is reported.  The stream may
   be freed inside any of them.  */
struct ds_tcp_handlers
{
  void (*on_connected) (void *user_data);
  void (*on_bytes) (struct ds_str bytes, void *user_data);
  void (*on_drained) (void *user_data);
  void (*on_end) (enum ds_tcp_end end, void *user_data);
  void *user_data;
};

/* CONNECT_MS ends an attempt to connect that has no answer for so long, 0 for
   the system's default, which is minutes.  UNACKED_MS ends a connection whose
   bytes the peer's machine has not acknowledged for so long, 0 for the
   system's default.  KEEPALIVE_S is the idle time after which the peer's
   machine is probed, and the distance of two further probes; 0 for no probes.
 */
struct ds_tcp_options
{
  struct tevent_context *ev;
  uint32_t connect_timeout_ms;
  uint32_t unacked_timeout_ms;
  uint32_t keepalive_interval_s;
};

struct ds_tcp;
struct ds_tcp_listener;

typedef void ds_tcp_accept_fn (int fd, void *user_data);

int ds_tcp_connect (struct ds_tcp **out, TALLOC_CTX *owner,
                    const struct ds_tcp_options *options,
                    const struct ds_socket_address *address,
                    const struct ds_tcp_handlers *handlers);
int ds_tcp_adopt (struct ds_tcp **out, TALLOC_CTX *owner,
                  const struct ds_tcp_options *options, int fd,
                  const struct ds_tcp_handlers *handlers);
int ds_tcp_write (struct ds_tcp *tcp, struct ds_str bytes);
size_t ds_tcp_unsent_bytes (const struct ds_tcp *tcp);
uint64_t ds_tcp_sent_bytes (const struct ds_tcp *tcp);
bool ds_tcp_is_connected (const struct ds_tcp *tcp);
void ds_tcp_pause (struct ds_tcp *tcp, bool paused);
void ds_tcp_close_when_sent (struct ds_tcp *tcp);
void ds_tcp_free (struct ds_tcp *tcp);

int ds_tcp_listen (struct ds_tcp_listener **out, TALLOC_CTX *owner,
                   struct tevent_context *ev, struct ds_str address,
                   ds_tcp_accept_fn *on_accept, void *user_data,
                   struct ds_error *error);
void ds_tcp_listener_free (struct ds_tcp_listener *listener);

#endif
