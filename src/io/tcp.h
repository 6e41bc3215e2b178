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
  DS_TCP_END_CLOSED,       /* closed in order */
  DS_TCP_END_CLOSED_EARLY, /* in order, but the peer lacks bytes sent to it */
  DS_TCP_END_RESET,        /* the peer or this host has reset it */
  DS_TCP_END_SILENT,       /* the peer no longer acknowledges anything */
  DS_TCP_END_NOT_CONNECTED /* the connection was never established */
};

/* The bytes passed to ON_BYTES are valid until it returns.  ON_END is called
   once, as the last handler.  Any handler may free the stream.  */
struct ds_tcp_handlers
{
  void (*on_connected) (void *user_data);
  void (*on_bytes) (struct ds_str bytes, void *user_data);
  void (*on_drained) (void *user_data);
  void (*on_end) (enum ds_tcp_end end, void *user_data);
  void *user_data;
};

/* CONNECT_TIMEOUT_MS limits an attempt to connect, 0 for the system default,
   which is minutes.  UNACKED_TIMEOUT_MS closes a connection whose bytes stay
   unacknowledged for so long, 0 for the system default.  KEEPALIVE_INTERVAL_S
   is the idle time before the first keep-alive probe and the interval between
   probes; 0 disables them.  UNSENT_TOTAL, if not null, is kept at the sum of
   the unsent bytes that the streams with it have copied, and of the send
   buffers that are full.  UNREAD_TOTAL, if not null, is kept at the sum of the
   receive buffers of paused streams.  SEND_BUFFER and RECEIVE_BUFFER limit the
   bytes that the operating system takes to buffer the stream; 0 for its
   defaults, which grow to some MB.  */
struct ds_tcp_options
{
  struct tevent_context *ev;
  uint32_t connect_timeout_ms;
  uint32_t unacked_timeout_ms;
  uint32_t keepalive_interval_s;
  uint64_t *unsent_total;
  uint64_t *unread_total;
  uint32_t send_buffer;
  uint32_t receive_buffer;
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
int ds_tcp_write_shared (struct ds_tcp *tcp, TALLOC_CTX *holder,
                         struct ds_str bytes);
size_t ds_tcp_unsent_bytes (const struct ds_tcp *tcp);
uint64_t ds_tcp_all_bytes (void);
uint64_t ds_tcp_sent_bytes (const struct ds_tcp *tcp);
bool ds_tcp_is_connected (const struct ds_tcp *tcp);
bool ds_tcp_is_paused (const struct ds_tcp *tcp);
int ds_tcp_peer_address (struct ds_socket_address *out,
                         const struct ds_tcp *tcp);
bool ds_tcp_peer_has_closed (const struct ds_tcp *tcp);
void ds_tcp_set_read_size (struct ds_tcp *tcp, size_t bytes);
void ds_tcp_set_buffers (struct ds_tcp *tcp, uint32_t send, uint32_t receive);
void ds_tcp_pause (struct ds_tcp *tcp, bool paused);
void ds_tcp_close_when_sent (struct ds_tcp *tcp);
void ds_tcp_free (struct ds_tcp *tcp);

int ds_tcp_listen (struct ds_tcp_listener **out, TALLOC_CTX *owner,
                   struct tevent_context *ev, struct ds_str address,
                   ds_tcp_accept_fn *on_accept, void *user_data,
                   struct ds_error *error);
void ds_tcp_listener_free (struct ds_tcp_listener *listener);

#endif
