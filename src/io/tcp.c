#include "io/tcp.h"
#include "io/byte_buffer.h"
#include "io/timer.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* Limit of one read, so that one stream cannot starve the others.  */
#define READ_BYTES 16384
/* A burst of clients opens many connections at once.  */
#define LISTEN_BACKLOG 512
#define ACCEPTS_PER_ITERATION 16
/* Unanswered probes after which a connection counts as dead.  */
#define KEEPALIVE_PROBES 2

struct ds_tcp
{
  struct tevent_context *ev;
  struct tevent_fd *fd_event;
  struct tevent_immediate *deferred_event;
  struct ds_timer *connect_timer;
  struct ds_tcp_handlers handlers;
  struct ds_byte_buffer out;
  struct ds_str shared; /* follows OUT; memory of SHARED_HOLDER */
  void *shared_holder;
  uint64_t *unsent_total;
  uint64_t *unread_total;
  uint64_t sent;
  uint32_t send_buffer; /* 0 without a limit */
  uint32_t receive_buffer;
  uint32_t counted_send; /* of the buffers, in the totals */
  uint32_t counted_receive;
  uint32_t unchecked; /* bytes sent since the send buffer was measured */
  size_t read_size;
  int fd;
  bool connected;
  bool paused;
  bool closing;
  bool ended;
  bool end_scheduled;
};

struct ds_tcp_listener
{
  struct tevent_fd *fd_event;
  ds_tcp_accept_fn *on_accept;
  void *user_data;
  int fd;
};

/* Bytes sent and received by all streams of the process.  */
static _Atomic uint64_t all_bytes;

static void
count_bytes (size_t count)
{
  atomic_fetch_add_explicit (&all_bytes, count, memory_order_relaxed);
}

/* Returns the bytes that all streams of the process have sent and received.
   Thread-safe.  */
uint64_t
ds_tcp_all_bytes (void)
{
  return atomic_load_explicit (&all_bytes, memory_order_relaxed);
}

static void
count_buffer (uint64_t *total, uint32_t *counted, uint32_t bytes)
{
  if (total == NULL)
    return;
  *total += bytes;
  *total -= *counted;
  *counted = bytes;
}

/* Counts the buffers that are probably full: for sending, while the operating
   system takes no more; for receiving, while nothing is read.  */
static void
count_buffers (struct ds_tcp *tcp)
{
  bool open = tcp->fd >= 0;
  bool full = open && tcp->connected && ds_tcp_unsent_bytes (tcp) > 0;

  count_buffer (tcp->unsent_total, &tcp->counted_send,
                full ? tcp->send_buffer : 0);
  count_buffer (tcp->unread_total, &tcp->counted_receive,
                open && tcp->paused ? tcp->receive_buffer : 0);
}

static void
update_fd_event (struct ds_tcp *tcp)
{
  uint16_t flags = 0;

  count_buffers (tcp);
  if (tcp->fd_event == NULL)
    return;
  if (!tcp->paused && tcp->connected)
    flags |= TEVENT_FD_READ;
  if (!tcp->connected || ds_tcp_unsent_bytes (tcp) > 0)
    flags |= TEVENT_FD_WRITE;
  tevent_fd_set_flags (tcp->fd_event, flags);
}

/* Drops COUNT bytes from the front of OUT.  */
static void
consume_out (struct ds_tcp *tcp, size_t count)
{
  tcp->out.start += count;
  if (tcp->unsent_total != NULL)
    *tcp->unsent_total -= count;
  if (tcp->out.start == tcp->out.end)
    ds_byte_buffer_release (&tcp->out);
}

static void
drop_shared (struct ds_tcp *tcp)
{
  if (tcp->shared_holder != NULL)
    (void)talloc_unlink (tcp, tcp->shared_holder);
  tcp->shared_holder = NULL;
  tcp->shared = DS_STR_EMPTY;
}

static void
close_socket (struct ds_tcp *tcp)
{
  consume_out (tcp, tcp->out.end - tcp->out.start);
  drop_shared (tcp);
  TALLOC_FREE (tcp->fd_event);
  if (tcp->fd >= 0)
    (void)close (tcp->fd);
  tcp->fd = -1;
  count_buffers (tcp);
}

static int
destroy (struct ds_tcp *tcp)
{
  close_socket (tcp);
  return 0;
}

static void
end_stream (struct ds_tcp *tcp, enum ds_tcp_end reason)
{
  if (tcp->ended)
    return;
  tcp->ended = true;
  TALLOC_FREE (tcp->connect_timer);
  close_socket (tcp);
  if (tcp->handlers.on_end != NULL)
    tcp->handlers.on_end (reason, tcp->handlers.user_data);
}

static void report_scheduled_end (struct tevent_context *ev,
                                  struct tevent_immediate *deferred_event,
                                  void *user_data);

/* Returns how many of LENGTH bytes may be sent now.  The operating system
   exceeds its limit by up to 64 KB, as it fills the last segment.  At the
   limit it reports the stream as not writable, so a result of 0 causes no busy
   loop.  */
static size_t
room_to_send (struct ds_tcp *tcp, size_t length)
{
  int queued = 0;

  if (tcp->send_buffer == 0)
    return length;
  if (tcp->unchecked + length > tcp->send_buffer
      && ioctl (tcp->fd, SIOCOUTQ, &queued) == 0)
    tcp->unchecked = (uint32_t)queued;
  if (tcp->unchecked >= tcp->send_buffer)
    return 0;
  return length < tcp->send_buffer - tcp->unchecked
             ? length
             : tcp->send_buffer - tcp->unchecked;
}

/* Sends BYTES as far as the socket takes them.  False if not all were sent; a
   failure is reported from the event loop, never inside ds_tcp_write.  */
static bool
send_bytes (struct ds_tcp *tcp, struct ds_str bytes, size_t *sent)
{
  size_t room = room_to_send (tcp, bytes.length);
  ssize_t count;

  *sent = 0;
  if (room == 0)
    return false;
  count = send (tcp->fd, bytes.data, room, MSG_NOSIGNAL);
  if (count < 0 && (errno == EAGAIN || errno == EINTR))
    return false;
  if (count < 0)
    {
      tcp->end_scheduled = true;
      tevent_schedule_immediate (tcp->deferred_event, tcp->ev,
                                 report_scheduled_end, tcp);
      return false;
    }
  *sent = (size_t)count;
  tcp->sent += (uint64_t)count;
  count_bytes ((size_t)count);
  tcp->unchecked += (uint32_t)count;
  return *sent == bytes.length;
}

static void
flush (struct ds_tcp *tcp)
{
  struct ds_str unsent = ds_byte_buffer_content (&tcp->out);
  size_t sent;

  if (tcp->end_scheduled || tcp->fd < 0)
    return;
  if (unsent.length > 0)
    {
      bool all = send_bytes (tcp, unsent, &sent);

      consume_out (tcp, sent);
      if (!all)
        return;
    }
  if (tcp->shared.length == 0)
    return;
  (void)send_bytes (tcp, tcp->shared, &sent);
  tcp->shared.data += sent;
  tcp->shared.length -= sent;
  if (tcp->shared.length == 0)
    drop_shared (tcp);
}

static void
complete_connect (struct ds_tcp *tcp)
{
  int failure = 0;
  socklen_t size = sizeof failure;

  if (getsockopt (tcp->fd, SOL_SOCKET, SO_ERROR, &failure, &size) != 0
      || failure != 0)
    {
      end_stream (tcp, DS_TCP_END_NOT_CONNECTED);
      return;
    }
  tcp->connected = true;
  TALLOC_FREE (tcp->connect_timer);
  flush (tcp);
  update_fd_event (tcp);
  if (tcp->handlers.on_connected != NULL)
    tcp->handlers.on_connected (tcp->handlers.user_data);
}

/* How a stream ended whose peer sends no more.  After a reset, the operating
   system reports the error to the first call alone: once a write has got it, a
   read sees an orderly close.  */
static enum ds_tcp_end
end_of_input (const struct ds_tcp *tcp)
{
  int unacked = 0;

  if (tcp->end_scheduled)
    return DS_TCP_END_RESET;
  if (ds_tcp_unsent_bytes (tcp) > 0
      || (ioctl (tcp->fd, SIOCOUTQ, &unacked) == 0 && unacked > 0))
    return DS_TCP_END_CLOSED_EARLY;
  return DS_TCP_END_CLOSED;
}

/* Reads once; false if there was nothing to read.  */
static bool
receive (struct ds_tcp *tcp)
{
  static char bytes[READ_BYTES];
  ssize_t count = recv (tcp->fd, bytes, tcp->read_size, 0);

  if (count < 0 && (errno == EAGAIN || errno == EINTR))
    return false;
  if (count < 0)
    end_stream (tcp, errno == ETIMEDOUT || errno == EHOSTUNREACH
                         ? DS_TCP_END_SILENT
                         : DS_TCP_END_RESET);
  else if (count == 0)
    end_stream (tcp, end_of_input (tcp));
  else
    {
      count_bytes ((size_t)count);
      if (tcp->handlers.on_bytes != NULL)
        tcp->handlers.on_bytes (
            (struct ds_str){ .data = bytes, .length = (size_t)count },
            tcp->handlers.user_data);
    }
  return count > 0;
}

/* Reports the end of a stream after a write has failed.  What the peer sent
   before it reset the connection is read first: it may be a rejection of a
   request that was still being written.  */
static void
report_scheduled_end (struct tevent_context *ev,
                      struct tevent_immediate *deferred_event, void *user_data)
{
  struct ds_tcp *tcp = user_data;

  (void)ev;
  (void)deferred_event;
  while (tcp->connected && !tcp->closing && !tcp->ended && !tcp->paused
         && receive (tcp))
    ;
  end_stream (tcp,
              tcp->connected ? DS_TCP_END_RESET : DS_TCP_END_NOT_CONNECTED);
}

static void
handle_fd_event (struct tevent_context *ev, struct tevent_fd *fd_event,
                 uint16_t flags, void *user_data)
{
  struct ds_tcp *tcp = user_data;

  (void)ev;
  (void)fd_event;
  if (!tcp->connected)
    {
      complete_connect (tcp);
      return;
    }
  if (flags & TEVENT_FD_WRITE)
    {
      flush (tcp);
      update_fd_event (tcp);
      if (ds_tcp_unsent_bytes (tcp) == 0)
        {
          if (tcp->closing)
            {
              end_stream (tcp, DS_TCP_END_CLOSED);
              return;
            }
          if (tcp->handlers.on_drained != NULL)
            {
              tcp->handlers.on_drained (tcp->handlers.user_data);
              return;
            }
        }
    }
  if (flags & TEVENT_FD_READ)
    (void)receive (tcp);
}

/* Limits a buffer to BYTES unless it has that limit.  */
static void
set_buffer (int fd, int option, uint32_t *current, uint32_t bytes)
{
  /* The operating system doubles the value, for what it takes beside the
     payload.  */
  int size = (int)(bytes / 2);

  if (*current == bytes || fd < 0)
    return;
  *current = bytes;
  (void)setsockopt (fd, SOL_SOCKET, option, &size, sizeof size);
}

static void
set_options (int fd, const struct ds_tcp_options *options)
{
  int on = 1;
  int unacked = (int)options->unacked_timeout_ms;
  int idle = (int)options->keepalive_interval_s;
  int probes = KEEPALIVE_PROBES;

  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (unacked > 0)
    (void)setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked,
                      sizeof unacked);
  if (idle > 0)
    {
      (void)setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
      (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
      (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &idle, sizeof idle);
      (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    }
}

static int
stream_new (struct ds_tcp **out, TALLOC_CTX *owner,
            const struct ds_tcp_options *options, int fd, bool connected,
            const struct ds_tcp_handlers *handlers)
{
  struct ds_tcp *tcp = talloc_zero (owner, struct ds_tcp);

  if (tcp == NULL)
    return DS_ENOMEM;
  tcp->fd = -1;
  tcp->ev = options->ev;
  tcp->connected = connected;
  tcp->read_size = READ_BYTES;
  tcp->unsent_total = options->unsent_total;
  tcp->unread_total = options->unread_total;
  tcp->handlers = *handlers;
  tcp->deferred_event = tevent_create_immediate (tcp);
  tcp->fd_event = tevent_add_fd (options->ev, tcp, fd,
                                 connected ? TEVENT_FD_READ : TEVENT_FD_WRITE,
                                 handle_fd_event, tcp);
  if (tcp->deferred_event == NULL || tcp->fd_event == NULL)
    {
      talloc_free (tcp);
      return DS_ENOMEM;
    }
  tcp->fd = fd;
  set_options (fd, options);
  ds_tcp_set_buffers (tcp, options->send_buffer, options->receive_buffer);
  talloc_set_destructor (tcp, destroy);
  *out = tcp;
  return 0;
}

static void
on_connect_timeout (void *user_data)
{
  struct ds_tcp *tcp = user_data;

  tcp->connect_timer = NULL;
  end_stream (tcp, DS_TCP_END_NOT_CONNECTED);
}

/* Opens a connection.  A handler reports the result; bytes written before are
   sent once it is established.  DS_EIO if no socket can be opened.  */
int
ds_tcp_connect (struct ds_tcp **out, TALLOC_CTX *owner,
                const struct ds_tcp_options *options,
                const struct ds_socket_address *address,
                const struct ds_tcp_handlers *handlers)
{
  int fd = socket (address->storage.ss_family,
                   SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int status;

  if (fd < 0)
    return DS_EIO;
  if (connect (fd, (const struct sockaddr *)&address->storage, address->length)
          != 0
      && errno != EINPROGRESS)
    {
      (void)close (fd);
      return DS_EIO;
    }
  status = stream_new (out, owner, options, fd, false, handlers);
  if (status != 0)
    {
      (void)close (fd);
      return status;
    }
  if (options->connect_timeout_ms > 0)
    (*out)->connect_timer
        = ds_timer_add (options->ev, *out, options->connect_timeout_ms,
                        on_connect_timeout, *out);
  return 0;
}

/* Takes ownership of FD, an accepted connection; not on failure.  */
int
ds_tcp_adopt (struct ds_tcp **out, TALLOC_CTX *owner,
              const struct ds_tcp_options *options, int fd,
              const struct ds_tcp_handlers *handlers)
{
  return stream_new (out, owner, options, fd, true, handlers);
}

static int
append_out (struct ds_tcp *tcp, struct ds_str bytes)
{
  int status = ds_byte_buffer_append (tcp, &tcp->out, bytes);

  if (status == 0 && tcp->unsent_total != NULL)
    *tcp->unsent_total += bytes.length;
  return status;
}

/* Queues a copy of BYTES and sends as many as the socket accepts.  DS_EIO once
   the stream has ended.  */
int
ds_tcp_write (struct ds_tcp *tcp, struct ds_str bytes)
{
  int status = 0;

  if (tcp->fd < 0 || tcp->end_scheduled || tcp->closing)
    return DS_EIO;
  if (tcp->shared.length > 0)
    {
      status = append_out (tcp, tcp->shared);
      if (status == 0)
        drop_shared (tcp);
    }
  if (status == 0)
    status = append_out (tcp, bytes);
  if (status != 0)
    return status;
  if (tcp->connected)
    flush (tcp);
  update_fd_event (tcp);
  return 0;
}

/* Like ds_tcp_write, but without a copy: BYTES belong to HOLDER, which the
   stream references until they are sent or it has ended.  */
int
ds_tcp_write_shared (struct ds_tcp *tcp, TALLOC_CTX *holder,
                     struct ds_str bytes)
{
  if (tcp->shared.length > 0 || bytes.length == 0)
    return ds_tcp_write (tcp, bytes);
  if (tcp->fd < 0 || tcp->end_scheduled || tcp->closing)
    return DS_EIO;
  if (talloc_reference (tcp, holder) == NULL)
    return DS_ENOMEM;
  tcp->shared_holder = holder;
  tcp->shared = bytes;
  if (tcp->connected)
    flush (tcp);
  update_fd_event (tcp);
  return 0;
}

/* Bytes not yet accepted by the operating system.  */
size_t
ds_tcp_unsent_bytes (const struct ds_tcp *tcp)
{
  return tcp->out.end - tcp->out.start + tcp->shared.length;
}

/* Bytes accepted by the operating system; 0 means that the peer cannot have
   received any.  */
uint64_t
ds_tcp_sent_bytes (const struct ds_tcp *tcp)
{
  return tcp->sent;
}

/* Stores the address of the peer in *OUT; DS_EIO if there is none.  */
int
ds_tcp_peer_address (struct ds_socket_address *out, const struct ds_tcp *tcp)
{
  out->length = sizeof out->storage;
  return getpeername (tcp->fd, (struct sockaddr *)&out->storage, &out->length)
                 == 0
             ? 0
             : DS_EIO;
}

bool
ds_tcp_is_connected (const struct ds_tcp *tcp)
{
  return tcp->connected && tcp->fd >= 0 && !tcp->end_scheduled;
}

bool
ds_tcp_is_paused (const struct ds_tcp *tcp)
{
  return tcp->paused;
}

/* Whether the peer has closed its side, also behind bytes that are not read
   yet.  For streams that are paused.  */
bool
ds_tcp_peer_has_closed (const struct ds_tcp *tcp)
{
  struct pollfd poll_fd = { .fd = tcp->fd, .events = POLLRDHUP };

  return tcp->fd < 0
         || (poll (&poll_fd, 1, 0) > 0
             && (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
}

/* Sets how many bytes are read at a time, at most the default.  */
void
ds_tcp_set_read_size (struct ds_tcp *tcp, size_t bytes)
{
  tcp->read_size = bytes < READ_BYTES ? bytes : READ_BYTES;
}

/* Sets how many bytes the operating system takes to buffer the stream.  What
   it holds already stays.  */
void
ds_tcp_set_buffers (struct ds_tcp *tcp, uint32_t send, uint32_t receive)
{
  set_buffer (tcp->fd, SO_SNDBUF, &tcp->send_buffer, send);
  set_buffer (tcp->fd, SO_RCVBUF, &tcp->receive_buffer, receive);
}

/* Pauses or resumes reading.  While paused, a close by the peer is not
   detected.  */
void
ds_tcp_pause (struct ds_tcp *tcp, bool paused)
{
  tcp->paused = paused;
  update_fd_event (tcp);
}

/* Closes the stream once all queued bytes are sent.  ON_END is called from the
   event loop.  */
void
ds_tcp_close_when_sent (struct ds_tcp *tcp)
{
  tcp->closing = true;
  if (ds_tcp_unsent_bytes (tcp) > 0 || tcp->fd < 0)
    return;
  (void)shutdown (tcp->fd, SHUT_WR);
  tcp->end_scheduled = true;
  tevent_schedule_immediate (tcp->deferred_event, tcp->ev,
                             report_scheduled_end, tcp);
}

static void
handle_free (struct tevent_context *ev,
             struct tevent_immediate *deferred_event, void *user_data)
{
  (void)ev;
  (void)deferred_event;
  talloc_free (user_data);
}

/* Closes the stream immediately; no handler is called afterwards.  The memory
   is freed in the next iteration of the event loop, so that handlers may call
   this.  */
void
ds_tcp_free (struct ds_tcp *tcp)
{
  if (tcp == NULL)
    return;
  tcp->ended = true;
  TALLOC_FREE (tcp->connect_timer);
  tcp->handlers = (struct ds_tcp_handlers){ .user_data = NULL };
  close_socket (tcp);
  (void)talloc_steal (tcp->ev, tcp);
  tevent_schedule_immediate (tcp->deferred_event, tcp->ev, handle_free, tcp);
}

static void
accept_connections (struct tevent_context *ev, struct tevent_fd *fd_event,
                    uint16_t flags, void *user_data)
{
  struct ds_tcp_listener *listener = user_data;

  (void)ev;
  (void)fd_event;
  (void)flags;
  for (int i = 0; i < ACCEPTS_PER_ITERATION; i++)
    {
      int fd
          = accept4 (listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd < 0)
        return;
      listener->on_accept (fd, listener->user_data);
    }
}

static int
destroy_listener (struct ds_tcp_listener *listener)
{
  TALLOC_FREE (listener->fd_event);
  if (listener->fd >= 0)
    (void)close (listener->fd);
  return 0;
}

/* Listens on "IP:PORT" and passes each connection to ON_ACCEPT, which owns the
   descriptor.  */
int
ds_tcp_listen (struct ds_tcp_listener **out, TALLOC_CTX *owner,
               struct tevent_context *ev, struct ds_str address,
               ds_tcp_accept_fn *on_accept, void *user_data,
               struct ds_error *error)
{
  struct ds_tcp_listener *listener
      = talloc_zero (owner, struct ds_tcp_listener);
  struct ds_socket_address parsed;
  char text[DS_SOCKET_ADDRESS_BYTES];
  int on = 1;

  (void)snprintf (text, sizeof text, "%.*s", DS_STR_ARG (address));
  if (listener == NULL)
    return ds_error_set (error, DS_ENOMEM, "listen", text, "out of memory");
  listener->fd = -1;
  talloc_set_destructor (listener, destroy_listener);
  if (ds_socket_address_parse (&parsed, address) != 0)
    {
      talloc_free (listener);
      return ds_error_set (error, DS_EINVAL, "listen", text,
                           "not an IP address with a port");
    }
  listener->fd = socket (parsed.storage.ss_family,
                         SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  (void)setsockopt (listener->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (listener->fd < 0
      || bind (listener->fd, (struct sockaddr *)&parsed.storage, parsed.length)
             != 0
      || listen (listener->fd, LISTEN_BACKLOG) != 0)
    {
      int failure = errno;

      talloc_free (listener);
      return ds_error_set (error, DS_EIO, "listen", text, "%s",
                           strerror (failure));
    }
  listener->on_accept = on_accept;
  listener->user_data = user_data;
  listener->fd_event
      = tevent_add_fd (ev, listener, listener->fd, TEVENT_FD_READ,
                       accept_connections, listener);
  *out = listener;
  return 0;
}

void
ds_tcp_listener_free (struct ds_tcp_listener *listener)
{
  talloc_free (listener);
}
