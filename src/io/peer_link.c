#include "io/peer_link.h"
#include "daisystep/log.h"
#include "daisystep/metrics.h"
#include "io/socket_address.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#define READ_BYTES ((size_t)64 * 1024)

/* Reads of one link per event, so as not to starve the others.  */
#define READS_PER_EVENT 4

/* Connections accepted per event, so as not to starve others.  */
#define ACCEPTS_PER_EVENT 16

/* Limit on a frame of an unauthenticated peer: a parsed message can take many
   times the memory of its bytes.  */
#define HELLO_BYTES_MAX ((size_t)4096)
#define NAME_BYTES_MAX 128
#define REASON_BYTES 160

/* How long a closing link waits for the peer to read its Goodbye.  */
#define LINGER_MS 1000

/* Delay after accept failed for lack of descriptors or memory.  */
#define ACCEPT_RETRY_MS 1000

/* Latest heartbeats whose echo can be matched.  */
#define HEARTBEAT_HISTORY 16

/* Weight of a new round-trip time in the moving average: 1 / 8.  */
#define ROUND_TRIP_WEIGHT_SHIFT 3

/* Largest exponent of the backoff, which keeps the shift in range.  */
#define BACKOFF_SHIFT_MAX 20

#define US_PER_MS 1000

enum link_state
{
  LINK_CONNECTING,
  LINK_HANDSHAKE,
  LINK_UP,
  /* A Goodbye is being sent; received data is discarded.  */
  LINK_CLOSING,
  /* The socket is closed.  */
  LINK_CLOSED
};

struct link
{
  struct ds_peer_hub *hub;
  enum link_state state;
  struct ds_peer_info info;
  /* Host to which this link was opened; empty if it was accepted.  */
  struct ds_str target_host;
  /* The link is down and on_link_down has not been called.  */
  bool down_unreported;
  char reason[REASON_BYTES];
  int fd;
  struct tevent_fd *event;
  struct ds_frame_decoder *decoder;
  struct ds_byte_queue output;
  /* End of the time for the handshake or for LINK_CLOSING.  */
  uint64_t deadline_ms;
  uint64_t last_frame_ms;
  uint64_t next_heartbeat_ms;
  uint64_t heartbeats_sent;
  uint64_t heartbeat_sent_us[HEARTBEAT_HISTORY];
  /* Sequence and arrival of the last heartbeat of the peer.  */
  uint64_t echo;
  uint64_t echo_received_us;
};

/* A peer to which this host maintains a link.  */
struct target
{
  struct ds_str host;
  struct ds_socket_address address;
  unsigned int attempts;
  /* 0 when no attempt is scheduled.  */
  uint64_t next_attempt_ms;
};

struct ds_peer_hub
{
  struct ds_peer_hub_options options;
  struct tevent_context *events;
  struct ds_socket_address listen_address;
  char address[DS_SOCKET_ADDRESS_BYTES];
  int listen_fd;
  struct tevent_fd *listen_event;
  /* When accepting resumes after a failure; 0 when it is not paused.  */
  uint64_t accept_resume_ms;
  /* A timerfd on the monotonic clock: tevent timers use the wall clock and
     expire late or early when it steps.  */
  int timer_fd;
  struct tevent_fd *timer_event;
  /* Runs run_hub, which flushes and closes links, once per iteration.  */
  struct tevent_immediate *run_event;
  bool run_scheduled;
  bool draining;
  uint64_t random_state;
  GPtrArray *links;
  GPtrArray *targets;
  GHashTable *blocked;
  uint8_t buffer[READ_BYTES];
};

static void handle_link (struct tevent_context *events,
                         struct tevent_fd *event, uint16_t flags, void *data);
static void run_hub (struct tevent_context *events,
                     struct tevent_immediate *immediate, void *data);

static uint64_t
now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

static uint64_t
now_ms (void)
{
  return now_us () / US_PER_MS;
}

/* Next number of the splitmix64 generator.  */
static uint64_t
next_random (struct ds_peer_hub *hub)
{
  uint64_t z = hub->random_state += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

/* A number from SPAN / 2 to SPAN.  */
static uint64_t
jitter (struct ds_peer_hub *hub, uint64_t span)
{
  return span - next_random (hub) % (span / 2 + 1);
}

static uint64_t
backoff_ms (struct ds_peer_hub *hub, unsigned int attempts)
{
  unsigned int shift = MIN (attempts, BACKOFF_SHIFT_MAX);
  uint64_t span = hub->options.backoff_min_ms << shift;

  return jitter (hub, MIN (span, hub->options.backoff_max_ms));
}

/* Whether the keys are equal, in constant time for keys of equal length.  */
static bool
key_matches (struct ds_str key, const ProtobufCBinaryData *given)
{
  volatile uint8_t difference = 0;

  if (given->len != key.length)
    return false;
  for (size_t i = 0; i < key.length; i++)
    difference |= (uint8_t)key.data[i] ^ given->data[i];
  return difference == 0;
}

static void
schedule_run (struct ds_peer_hub *hub)
{
  if (hub->run_scheduled)
    return;
  hub->run_scheduled = true;
  tevent_schedule_immediate (hub->run_event, hub->events, run_hub, hub);
}

static bool
is_blocked (const struct ds_peer_hub *hub, struct ds_str host)
{
  GBytes *key = g_bytes_new_static (host.data, host.length);
  bool found = g_hash_table_contains (hub->blocked, key);

  g_bytes_unref (key);
  return found;
}

static struct link *
link_at (const struct ds_peer_hub *hub, guint index)
{
  return g_ptr_array_index (hub->links, index);
}

static struct target *
find_target (const struct ds_peer_hub *hub, struct ds_str host)
{
  for (guint i = 0; i < hub->targets->len; i++)
    {
      struct target *target = g_ptr_array_index (hub->targets, i);

      if (ds_str_equal (target->host, host))
        return target;
    }
  return NULL;
}

static struct link *
find_live_link (const struct ds_peer_hub *hub, uint64_t incarnation)
{
  for (guint i = 0; i < hub->links->len; i++)
    {
      struct link *link = link_at (hub, i);

      if (link->state == LINK_UP && link->info.incarnation == incarnation)
        return link;
    }
  return NULL;
}

/* Whether a link to HOST is live or being opened.  */
static bool
has_link (const struct ds_peer_hub *hub, struct ds_str host)
{
  for (guint i = 0; i < hub->links->len; i++)
    {
      const struct link *link = link_at (hub, i);

      if (link->state == LINK_UP && ds_str_equal (link->info.host, host))
        return true;
      if (link->state < LINK_UP && ds_str_equal (link->target_host, host))
        return true;
    }
  return false;
}

/* Stores REASON unless LINK is closing; on_link_down gets it if LINK is up. */
static void
link_set_down (struct link *link, const char *reason)
{
  if (link->state == LINK_UP)
    link->down_unreported = true;
  if (link->state < LINK_CLOSING)
    (void)snprintf (link->reason, sizeof link->reason, "%s", reason);
}

static void
link_abort (struct link *link, const char *reason)
{
  if (link->state == LINK_CLOSED)
    return;
  link_set_down (link, reason);
  link->state = LINK_CLOSED;
  TALLOC_FREE (link->event);
  close (link->fd);
  link->fd = -1;
  schedule_run (link->hub);
}

/* Appends a frame to the output of LINK.  A link over its queue limit is
   closed, since the layers above rely on messages without a gap.  */
static int
link_append (struct link *link, const Daisystep__Peer__Envelope *envelope)
{
  const struct ds_peer_hub_options *options = &link->hub->options;
  int result
      = ds_frame_append (&link->output, envelope, options->frame_bytes_max);

  if (result != 0)
    return result;
  link->info.frames_sent++;
  if (link->output.length > options->queue_bytes_max)
    {
      link_abort (link, "send queue over its bound");
      return DS_ELIMIT;
    }
  schedule_run (link->hub);
  return 0;
}

static void
append_goodbye (struct link *link, const char *reason)
{
  Daisystep__Peer__Envelope envelope = DAISYSTEP__PEER__ENVELOPE__INIT;
  Daisystep__Peer__Goodbye goodbye = DAISYSTEP__PEER__GOODBYE__INIT;

  goodbye.reason = (char *)reason;
  envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_GOODBYE;
  envelope.goodbye = &goodbye;
  (void)link_append (link, &envelope);
}

/* Closes LINK after sending a Goodbye with REASON.  */
static void
link_close (struct link *link, const char *reason)
{
  if (link->state == LINK_CONNECTING)
    {
      link_abort (link, reason);
      return;
    }
  if (link->state >= LINK_CLOSING)
    return;
  append_goodbye (link, reason);
  if (link->state == LINK_CLOSED)
    return;
  link_set_down (link, reason);
  link->state = LINK_CLOSING;
  link->deadline_ms = now_ms () + LINGER_MS;
}

/* Closes LINK because its peer violated the protocol.  */
static void
link_close_with_error (struct link *link, const char *reason)
{
  struct ds_error error;

  ds_metric_add (DS_METRIC_PEER_FRAMES_REJECTED, 1);
  ds_error_set (&error, DS_EPROTOCOL, "read peer frame", link->info.host.data,
                "%s", reason);
  ds_log_error (&error, NULL);
  link_close (link, reason);
}

static void
append_hello (struct link *link)
{
  const struct ds_peer_hub_options *options = &link->hub->options;
  Daisystep__Peer__Envelope envelope = DAISYSTEP__PEER__ENVELOPE__INIT;
  Daisystep__Peer__Hello hello = DAISYSTEP__PEER__HELLO__INIT;

  hello.protocol_version = options->protocol_version;
  hello.host = (char *)options->host.data;
  hello.zone = (char *)options->zone.data;
  hello.caller_address = (char *)options->caller_address.data;
  hello.incarnation = options->incarnation;
  hello.peer_key.data = (uint8_t *)options->peer_key.data;
  hello.peer_key.len = options->peer_key.length;
  envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_HELLO;
  envelope.hello = &hello;
  (void)link_append (link, &envelope);
}

static void
append_heartbeat (struct link *link)
{
  Daisystep__Peer__Envelope envelope = DAISYSTEP__PEER__ENVELOPE__INIT;
  Daisystep__Peer__Heartbeat heartbeat = DAISYSTEP__PEER__HEARTBEAT__INIT;
  uint64_t now = now_us ();

  heartbeat.sequence = ++link->heartbeats_sent;
  heartbeat.draining = link->hub->draining;
  heartbeat.echo = link->echo;
  heartbeat.echo_delay_us = link->echo > 0 ? now - link->echo_received_us : 0;
  envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_HEARTBEAT;
  envelope.heartbeat = &heartbeat;
  link->heartbeat_sent_us[heartbeat.sequence % HEARTBEAT_HISTORY] = now;
  (void)link_append (link, &envelope);
}

static void
measure_round_trip (struct link *link,
                    const Daisystep__Peer__Heartbeat *heartbeat, uint64_t now)
{
  uint64_t *average = &link->info.round_trip_us;
  uint64_t elapsed;

  if (heartbeat->echo == 0 || heartbeat->echo > link->heartbeats_sent
      || link->heartbeats_sent - heartbeat->echo >= HEARTBEAT_HISTORY)
    return;
  elapsed = now - link->heartbeat_sent_us[heartbeat->echo % HEARTBEAT_HISTORY];
  elapsed -= MIN (elapsed, heartbeat->echo_delay_us);
  elapsed = MAX (elapsed, 1);
  if (*average == 0)
    *average = elapsed;
  else
    *average += (elapsed >> ROUND_TRIP_WEIGHT_SHIFT)
                - (*average >> ROUND_TRIP_WEIGHT_SHIFT);
}

static void
handle_heartbeat (struct link *link,
                  const Daisystep__Peer__Heartbeat *heartbeat)
{
  uint64_t now = now_us ();

  measure_round_trip (link, heartbeat, now);
  link->info.draining = heartbeat->draining;
  link->echo = heartbeat->sequence;
  link->echo_received_us = now;
}

static bool
is_valid_name (const char *text)
{
  size_t length = strlen (text);

  return length > 0 && length <= NAME_BYTES_MAX
         && g_utf8_validate (text, (gssize)length, NULL);
}

/* Why the Hello is refused, or null.  The key is checked before anything that
   an unauthenticated peer could probe for.  */
static const char *
hello_error (const struct link *link, const Daisystep__Peer__Hello *hello)
{
  const struct ds_peer_hub_options *options = &link->hub->options;

  if (hello->protocol_version != options->protocol_version)
    return "other protocol version";
  if (!key_matches (options->peer_key, &hello->peer_key))
    return "wrong peer key";
  if (!is_valid_name (hello->host) || hello->incarnation == 0)
    return "Hello without a host name or incarnation";
  if (hello->incarnation == options->incarnation)
    return "connected to itself";
  if (link->info.is_outbound
      && !ds_str_equal (link->target_host, ds_str_from_c (hello->host)))
    return "another host has this address";
  return NULL;
}

/* Whether LINK was opened by the side whose connection is kept when both sides
   connect: the one with the smaller name, then the smaller incarnation.  Both
   sides get the same result.  */
static bool
is_preferred (const struct link *link)
{
  const struct ds_peer_hub_options *options = &link->hub->options;
  int order = ds_str_compare (options->host, link->info.host);
  bool own_is_smaller
      = order != 0 ? order < 0 : options->incarnation < link->info.incarnation;

  return link->info.is_outbound == own_is_smaller;
}

/* Whether LINK replaces OTHER, an older link to the same incarnation.  Of two
   links with the same initiator the newer one stays: the initiator opens it
   only after it lost the older one.  */
static bool
replaces (const struct link *link, const struct link *other)
{
  return link->info.is_outbound == other->info.is_outbound
         || is_preferred (link);
}

static void
report_down_links (struct ds_peer_hub *hub)
{
  for (guint i = 0; i < hub->links->len; i++)
    {
      struct link *link = link_at (hub, i);
      struct ds_log_fields fields
          = { .step = "peer link", .peer = link->info.host.data };

      if (!link->down_unreported)
        continue;
      link->down_unreported = false;
      ds_log (DS_LOG_WARNING, &fields, "link down: %s", link->reason);
      if (hub->options.on_link_down != NULL)
        hub->options.on_link_down (hub, &link->info, link->reason,
                                   hub->options.context);
    }
}

static void
link_up (struct link *link)
{
  struct ds_peer_hub *hub = link->hub;
  struct ds_log_fields fields
      = { .step = "peer link", .peer = link->info.host.data };

  link->state = LINK_UP;
  link->last_frame_ms = now_ms ();
  link->next_heartbeat_ms = link->last_frame_ms;
  ds_frame_decoder_set_limit (link->decoder, hub->options.frame_bytes_max);
  schedule_run (hub);
  report_down_links (hub);
  ds_log (DS_LOG_INFO, &fields, "link up, incarnation %" PRIx64,
          link->info.incarnation);
  if (hub->options.on_link_up != NULL)
    hub->options.on_link_up (hub, &link->info, hub->options.context);
}

/* PEER is the unverified name given by the other side.  */
static void
log_handshake_failure (const char *peer, const char *reason)
{
  struct ds_log_fields fields = { .step = "peer handshake", .peer = peer };

  ds_log (DS_LOG_WARNING, &fields, "handshake failed: %s", reason);
}

static void
handle_hello (struct link *link, const Daisystep__Peer__Hello *hello)
{
  const char *fault = hello_error (link, hello);
  struct link *other;

  if (fault != NULL)
    {
      log_handshake_failure (hello->host, fault);
      link_close (link, fault);
      return;
    }
  if (is_blocked (link->hub, ds_str_from_c (hello->host)))
    {
      link_abort (link, "blocked");
      return;
    }
  link->info.host = ds_str_copy (link, ds_str_from_c (hello->host));
  link->info.zone = ds_str_copy (link, ds_str_from_c (hello->zone));
  link->info.caller_address
      = ds_str_copy (link, ds_str_from_c (hello->caller_address));
  link->info.incarnation = hello->incarnation;
  other = find_live_link (link->hub, hello->incarnation);
  if (other != NULL && !replaces (link, other))
    {
      link_close (link, "duplicate link");
      return;
    }
  if (other != NULL)
    link_close (other, "replaced by another link");
  if (!link->info.is_outbound)
    append_hello (link);
  if (link->state == LINK_HANDSHAKE)
    link_up (link);
}

static void
handle_goodbye (struct link *link, const Daisystep__Peer__Goodbye *goodbye)
{
  char reason[REASON_BYTES];

  (void)snprintf (reason, sizeof reason, "goodbye: %s", goodbye->reason);
  if (link->state == LINK_HANDSHAKE)
    log_handshake_failure (link->info.host.data, reason);
  link_abort (link, reason);
}

static void
handle_message (struct link *link, const Daisystep__Peer__Envelope *envelope)
{
  struct ds_peer_hub *hub = link->hub;

  if (link->state != LINK_UP)
    link_close_with_error (link, "message before Hello");
  else if (envelope->body_case == DAISYSTEP__PEER__ENVELOPE__BODY_HEARTBEAT)
    handle_heartbeat (link, envelope->heartbeat);
  else if (hub->options.on_message != NULL)
    hub->options.on_message (hub, &link->info, envelope, hub->options.context);
}

static void
handle_frame (struct link *link, const Daisystep__Peer__Envelope *envelope)
{
  link->last_frame_ms = now_ms ();
  switch (envelope->body_case)
    {
    case DAISYSTEP__PEER__ENVELOPE__BODY_HELLO:
      if (link->state == LINK_HANDSHAKE)
        handle_hello (link, envelope->hello);
      else
        link_close_with_error (link, "second Hello");
      break;
    case DAISYSTEP__PEER__ENVELOPE__BODY_GOODBYE:
      handle_goodbye (link, envelope->goodbye);
      break;
    default:
      handle_message (link, envelope);
      break;
    }
}

static void
handle_frames (struct link *link)
{
  while (link->state == LINK_HANDSHAKE || link->state == LINK_UP)
    {
      Daisystep__Peer__Envelope *envelope;
      struct ds_error error;

      if (ds_frame_decoder_next (&envelope, link->decoder, &error) != 0)
        {
          link_close_with_error (link, error.message);
          return;
        }
      if (envelope == NULL)
        return;
      handle_frame (link, envelope);
      ds_frame_release (envelope);
    }
}

static bool
is_transient (int code)
{
  return code == EAGAIN || code == EWOULDBLOCK || code == EINTR;
}

static void
link_read (struct link *link)
{
  uint8_t *buffer = link->hub->buffer;

  for (int i = 0; i < READS_PER_EVENT && link->state != LINK_CLOSED; i++)
    {
      ssize_t count = recv (link->fd, buffer, READ_BYTES, 0);

      if (count < 0 && is_transient (errno))
        return;
      if (count < 0)
        link_abort (link, strerror (errno));
      else if (count == 0)
        link_abort (link, "closed by the peer");
      if (count <= 0)
        return;
      ds_metric_add (DS_METRIC_PEER_BYTES_RECEIVED, count);
      if (link->state == LINK_CLOSING)
        continue;
      if (ds_frame_decoder_feed (link->decoder, buffer, (size_t)count) != 0)
        {
          link_abort (link, "out of memory");
          return;
        }
      handle_frames (link);
      if ((size_t)count < READ_BYTES)
        return;
    }
}

/* Sends the output of LINK with one system call.  */
static void
link_flush (struct link *link)
{
  ssize_t count;

  if (link->state == LINK_CONNECTING || link->state == LINK_CLOSED)
    return;
  if (link->output.length > 0)
    {
      count = send (link->fd, ds_byte_queue_front (&link->output),
                    link->output.length, MSG_NOSIGNAL);
      if (count < 0 && !is_transient (errno))
        {
          link_abort (link, strerror (errno));
          return;
        }
      link->info.send_calls++;
      if (count > 0)
        {
          ds_metric_add (DS_METRIC_PEER_BYTES_SENT, count);
          ds_byte_queue_consume (&link->output, (size_t)count);
        }
    }
  if (link->output.length > 0)
    TEVENT_FD_WRITEABLE (link->event);
  else
    TEVENT_FD_NOT_WRITEABLE (link->event);
  if (link->state == LINK_CLOSING && link->output.length == 0)
    (void)shutdown (link->fd, SHUT_WR);
}

/* Handles the result of the connection attempt of LINK.  */
static void
link_connected (struct link *link)
{
  int code = 0;
  socklen_t length = sizeof code;

  if (getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &code, &length) != 0)
    code = errno;
  if (code != 0)
    {
      link_abort (link, strerror (code));
      return;
    }
  link->state = LINK_HANDSHAKE;
  tevent_fd_set_flags (link->event, TEVENT_FD_READ);
  append_hello (link);
}

static void
handle_link (struct tevent_context *events, struct tevent_fd *event,
             uint16_t flags, void *data)
{
  struct link *link = data;

  (void)events;
  (void)event;
  if (link->state == LINK_CONNECTING)
    {
      link_connected (link);
      return;
    }
  if ((flags & TEVENT_FD_READ) != 0)
    link_read (link);
  if ((flags & TEVENT_FD_WRITE) != 0)
    link_flush (link);
}

static void
link_free (struct link *link)
{
  TALLOC_FREE (link->event);
  if (link->fd >= 0)
    close (link->fd);
  talloc_free (link);
}

/* Creates a link of the connected or connecting socket FD, which it owns;
   closes FD and returns null when out of memory.  */
static struct link *
link_new (struct ds_peer_hub *hub, int fd, enum link_state state,
          struct ds_str target_host)
{
  struct link *link = talloc_zero (hub, struct link);
  int on = 1;

  if (link == NULL)
    {
      close (fd);
      return NULL;
    }
  link->hub = hub;
  link->state = state;
  link->fd = fd;
  link->target_host = ds_str_copy (link, target_host);
  link->info.host = link->target_host;
  link->info.zone = DS_STR_EMPTY;
  link->info.caller_address = DS_STR_EMPTY;
  link->info.is_outbound = target_host.length > 0;
  link->deadline_ms = now_ms () + hub->options.receive_timeout_ms;
  ds_byte_queue_init (&link->output, link);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  link->event = tevent_add_fd (hub->events, link, fd,
                               state == LINK_CONNECTING ? TEVENT_FD_WRITE
                                                        : TEVENT_FD_READ,
                               handle_link, link);
  if (link->event == NULL
      || ds_frame_decoder_new (&link->decoder, link, HELLO_BYTES_MAX) != 0)
    {
      link_free (link);
      return NULL;
    }
  g_ptr_array_add (hub->links, link);
  schedule_run (hub);
  return link;
}

static void
handle_accept (struct tevent_context *events, struct tevent_fd *event,
               uint16_t flags, void *data)
{
  struct ds_peer_hub *hub = data;

  (void)events;
  (void)flags;
  for (int i = 0; i < ACCEPTS_PER_EVENT; i++)
    {
      int fd
          = accept4 (hub->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd < 0 && (is_transient (errno) || errno == ECONNABORTED))
        return;
      if (fd < 0)
        {
          /* The listener stays readable; polling it would be a busy loop.  */
          TEVENT_FD_NOT_READABLE (event);
          hub->accept_resume_ms = now_ms () + ACCEPT_RETRY_MS;
          schedule_run (hub);
          return;
        }
      if (hub->links->len >= hub->options.links_max)
        close (fd);
      else
        (void)link_new (hub, fd, LINK_HANDSHAKE, DS_STR_EMPTY);
    }
}

/* Opens a connection to TARGET from the listen address, under which peers then
   see this host.  */
static void
connect_target (struct ds_peer_hub *hub, struct target *target)
{
  struct ds_socket_address source = hub->listen_address;
  int on = 1;
  int fd = socket (target->address.storage.ss_family,
                   SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  target->attempts++;
  if (fd < 0)
    return;
  ds_socket_address_clear_port (&source);
  (void)setsockopt (fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
  if (source.storage.ss_family == target->address.storage.ss_family
      && bind (fd, (struct sockaddr *)&source.storage, source.length) != 0)
    goto failed;
  if (connect (fd, (struct sockaddr *)&target->address.storage,
               target->address.length)
          != 0
      && errno != EINPROGRESS)
    goto failed;
  (void)link_new (hub, fd, LINK_CONNECTING, target->host);
  return;

failed:
  close (fd);
}

static void
tick_live_link (struct link *link, uint64_t now)
{
  struct ds_peer_hub *hub = link->hub;
  struct target *target;

  /* If this process was stopped, frames of the peer may be unread.  */
  if (now >= link->last_frame_ms + hub->options.receive_timeout_ms)
    link_read (link);
  if (link->state != LINK_UP)
    return;
  if (now >= link->last_frame_ms + hub->options.receive_timeout_ms)
    {
      link_abort (link, "silent");
      return;
    }
  if (now < link->next_heartbeat_ms)
    return;
  /* Only a link that was up for a heartbeat interval resets the backoff; one
     that the peer refuses at once does not.  */
  target = find_target (hub, link->info.host);
  if (target != NULL && link->heartbeats_sent > 0)
    target->attempts = 0;
  link->next_heartbeat_ms = now + jitter (hub, hub->options.heartbeat_ms);
  append_heartbeat (link);
}

static void
tick_link (struct link *link, uint64_t now)
{
  switch (link->state)
    {
    case LINK_CONNECTING:
    case LINK_HANDSHAKE:
      if (now >= link->deadline_ms)
        link_abort (link, "no Hello within the handshake timeout");
      break;
    case LINK_UP:
      tick_live_link (link, now);
      break;
    case LINK_CLOSING:
      if (now >= link->deadline_ms)
        link_abort (link, "closed");
      break;
    case LINK_CLOSED:
      break;
    }
}

static uint64_t
link_deadline (const struct link *link)
{
  switch (link->state)
    {
    case LINK_CONNECTING:
    case LINK_HANDSHAKE:
    case LINK_CLOSING:
      return link->deadline_ms;
    case LINK_UP:
      return MIN (link->next_heartbeat_ms,
                  link->last_frame_ms + link->hub->options.receive_timeout_ms);
    case LINK_CLOSED:
      break;
    }
  return UINT64_MAX;
}

static void
arm_timer (struct ds_peer_hub *hub)
{
  struct itimerspec timer = { .it_value = { .tv_sec = 0 } };
  uint64_t earliest = UINT64_MAX;

  if (hub->accept_resume_ms > 0)
    earliest = hub->accept_resume_ms;
  for (guint i = 0; i < hub->links->len; i++)
    earliest = MIN (earliest, link_deadline (link_at (hub, i)));
  for (guint i = 0; i < hub->targets->len; i++)
    {
      const struct target *target = g_ptr_array_index (hub->targets, i);

      if (target->next_attempt_ms > 0)
        earliest = MIN (earliest, target->next_attempt_ms);
    }
  /* Without a deadline the value stays zero, which disarms the timer.  */
  if (earliest != UINT64_MAX)
    {
      timer.it_value.tv_sec = (time_t)(earliest / 1000);
      timer.it_value.tv_nsec = (long)(earliest % 1000) * 1000000;
    }
  (void)timerfd_settime (hub->timer_fd, TFD_TIMER_ABSTIME, &timer, NULL);
}

static void
start_due_attempts (struct ds_peer_hub *hub, uint64_t now)
{
  for (guint i = 0; i < hub->targets->len; i++)
    {
      struct target *target = g_ptr_array_index (hub->targets, i);

      if (target->next_attempt_ms == 0 || now < target->next_attempt_ms)
        continue;
      target->next_attempt_ms = 0;
      if (!has_link (hub, target->host) && !is_blocked (hub, target->host))
        connect_target (hub, target);
    }
}

static void
handle_timer (struct tevent_context *events, struct tevent_fd *event,
              uint16_t flags, void *data)
{
  struct ds_peer_hub *hub = data;
  uint64_t expirations;
  uint64_t now = now_ms ();

  (void)events;
  (void)event;
  (void)flags;
  (void)!read (hub->timer_fd, &expirations, sizeof expirations);
  if (hub->accept_resume_ms > 0 && now >= hub->accept_resume_ms)
    {
      hub->accept_resume_ms = 0;
      TEVENT_FD_READABLE (hub->listen_event);
    }
  for (guint i = 0; i < hub->links->len; i++)
    tick_link (link_at (hub, i), now);
  start_due_attempts (hub, now);
  schedule_run (hub);
}

static void
free_closed_links (struct ds_peer_hub *hub)
{
  guint i = 0;

  while (i < hub->links->len)
    {
      struct link *link = link_at (hub, i);

      if (link->state == LINK_CLOSED && !link->down_unreported)
        {
          g_ptr_array_remove_index (hub->links, i);
          link_free (link);
        }
      else
        i++;
    }
}

/* Schedules an attempt for each target without a link.  */
static void
schedule_attempts (struct ds_peer_hub *hub)
{
  uint64_t now = now_ms ();

  for (guint i = 0; i < hub->targets->len; i++)
    {
      struct target *target = g_ptr_array_index (hub->targets, i);

      if (target->next_attempt_ms == 0 && !has_link (hub, target->host)
          && !is_blocked (hub, target->host))
        target->next_attempt_ms = now + backoff_ms (hub, target->attempts);
    }
}

static void
run_hub (struct tevent_context *events, struct tevent_immediate *immediate,
         void *data)
{
  struct ds_peer_hub *hub = data;

  (void)events;
  (void)immediate;
  hub->run_scheduled = false;
  for (guint i = 0; i < hub->links->len; i++)
    if (link_at (hub, i)->output.length > 0)
      link_flush (link_at (hub, i));
  report_down_links (hub);
  free_closed_links (hub);
  schedule_attempts (hub);
  arm_timer (hub);
}

static int
hub_destructor (struct ds_peer_hub *hub)
{
  /* Prevents scheduling, since the event context may have been freed.  */
  hub->run_scheduled = true;
  for (guint i = 0; i < hub->links->len; i++)
    {
      struct link *link = link_at (hub, i);

      if (link->state == LINK_UP)
        {
          append_goodbye (link, "host stops");
          link_flush (link);
        }
      link_free (link);
    }
  TALLOC_FREE (hub->run_event);
  TALLOC_FREE (hub->listen_event);
  TALLOC_FREE (hub->timer_event);
  if (hub->listen_fd >= 0)
    close (hub->listen_fd);
  if (hub->timer_fd >= 0)
    close (hub->timer_fd);
  g_ptr_array_free (hub->links, TRUE);
  g_ptr_array_free (hub->targets, TRUE);
  g_hash_table_destroy (hub->blocked);
  return 0;
}

static int
check_options (const struct ds_peer_hub_options *options,
               struct ds_error *error)
{
  const char *fault = NULL;

  if (options->host.length == 0 || options->host.length > NAME_BYTES_MAX)
    fault = "host name (empty or too long)";
  else if (options->incarnation == 0)
    fault = "incarnation";
  else if (options->peer_key.length == 0)
    fault = "peer key (empty)";
  else if (options->host.length + options->zone.length
               + options->caller_address.length + options->peer_key.length
           > HELLO_BYTES_MAX / 2)
    fault = "names and peer key (over half of the Hello limit)";
  else if (options->heartbeat_ms == 0 || options->backoff_min_ms == 0
           || options->receive_timeout_ms <= options->heartbeat_ms)
    fault = "period";
  if (fault == NULL)
    return 0;
  return ds_error_set (error, DS_EINVAL, "check peer settings", NULL,
                       "invalid %s", fault);
}

static void
copy_options (struct ds_peer_hub *hub,
              const struct ds_peer_hub_options *options)
{
  hub->options = *options;
  hub->options.host = ds_str_copy (hub, options->host);
  hub->options.zone = ds_str_copy (hub, options->zone);
  hub->options.caller_address = ds_str_copy (hub, options->caller_address);
  hub->options.peer_key = ds_str_copy (hub, options->peer_key);
  hub->random_state = options->random_seed;
}

static int
open_listener (struct ds_peer_hub *hub, struct ds_error *error)
{
  struct ds_socket_address *address = &hub->listen_address;
  struct ds_str text = hub->options.listen_address;
  int on = 1;

  (void)snprintf (hub->address, sizeof hub->address, "%.*s",
                  DS_STR_ARG (text));
  if (ds_socket_address_parse (address, text) != 0)
    return ds_error_set (error, DS_EINVAL, "parse peer address", hub->address,
                         "not an IP address and port");
  hub->listen_fd = socket (address->storage.ss_family,
                           SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (hub->listen_fd < 0)
    goto failed;
  (void)setsockopt (hub->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (hub->listen_fd, (struct sockaddr *)&address->storage,
            address->length)
          != 0
      || listen (hub->listen_fd, SOMAXCONN) != 0
      || getsockname (hub->listen_fd, (struct sockaddr *)&address->storage,
                      &address->length)
             != 0)
    goto failed;
  ds_socket_address_format (hub->address, address);
  return 0;

failed:
  return ds_error_set (error, DS_EIO, "listen for peers", hub->address, "%s",
                       strerror (errno));
}

/* Creates a hub that listens on the address of OPTIONS, whose strings are
   copied.  DS_EINVAL for invalid options, DS_EIO when it cannot listen on the
   address, DS_ENOMEM.  */
int
ds_peer_hub_new (struct ds_peer_hub **out, TALLOC_CTX *owner,
                 struct tevent_context *events,
                 const struct ds_peer_hub_options *options,
                 struct ds_error *error)
{
  struct ds_peer_hub *hub;
  int result = check_options (options, error);

  if (result != 0)
    return result;
  hub = talloc_zero (owner, struct ds_peer_hub);
  if (hub == NULL)
    return ds_error_set (error, DS_ENOMEM, "open peer links", NULL,
                         "out of memory");
  hub->events = events;
  hub->listen_fd = -1;
  hub->timer_fd = -1;
  hub->links = g_ptr_array_new ();
  hub->targets = g_ptr_array_new ();
  hub->blocked = g_hash_table_new_full (g_bytes_hash, g_bytes_equal,
                                        (GDestroyNotify)g_bytes_unref, NULL);
  talloc_set_destructor (hub, hub_destructor);
  copy_options (hub, options);
  result = open_listener (hub, error);
  if (result != 0)
    goto failed;
  hub->timer_fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (hub->timer_fd < 0)
    {
      result = ds_error_set (error, DS_EIO, "open peer timer", NULL, "%s",
                             strerror (errno));
      goto failed;
    }
  hub->run_event = tevent_create_immediate (hub);
  hub->listen_event = tevent_add_fd (events, hub, hub->listen_fd,
                                     TEVENT_FD_READ, handle_accept, hub);
  hub->timer_event = tevent_add_fd (events, hub, hub->timer_fd, TEVENT_FD_READ,
                                    handle_timer, hub);
  if (hub->run_event == NULL || hub->listen_event == NULL
      || hub->timer_event == NULL)
    {
      result = ds_error_set (error, DS_ENOMEM, "open peer links", NULL,
                             "out of memory");
      goto failed;
    }
  *out = hub;
  return 0;

failed:
  talloc_free (hub);
  return result;
}

/* Closes all links with a Goodbye, without callbacks, and frees HUB.  Not to
   be called from a callback of HUB.  */
void
ds_peer_hub_free (struct ds_peer_hub *hub)
{
  talloc_free (hub);
}

/* "IP:PORT" on which HUB listens, with the actual port.  */
const char *
ds_peer_hub_address (const struct ds_peer_hub *hub)
{
  return hub->address;
}

/* Maintains a link to HOST, which listens on ADDRESS, "IP:PORT".  A repeated
   call changes the address for later attempts.  DS_EINVAL for an invalid
   address or an empty or too long name, DS_ENOMEM.  */
int
ds_peer_hub_add_target (struct ds_peer_hub *hub, struct ds_str host,
                        struct ds_str address)
{
  struct ds_socket_address parsed;
  struct target *target = find_target (hub, host);

  if (host.length == 0 || host.length > NAME_BYTES_MAX
      || ds_socket_address_parse (&parsed, address) != 0)
    return DS_EINVAL;
  if (target == NULL)
    {
      target = talloc_zero (hub, struct target);
      if (target == NULL)
        return DS_ENOMEM;
      target->host = ds_str_copy (target, host);
      target->next_attempt_ms = now_ms ();
      g_ptr_array_add (hub->targets, target);
      schedule_run (hub);
    }
  target->address = parsed;
  return 0;
}

/* Stops maintaining a link to HOST, and closes the link if this host opened
   it.  A link that the peer opened stays.  */
void
ds_peer_hub_remove_target (struct ds_peer_hub *hub, struct ds_str host)
{
  struct target *target = find_target (hub, host);

  if (target == NULL)
    return;
  for (guint i = 0; i < hub->links->len; i++)
    if (ds_str_equal (link_at (hub, i)->target_host, host))
      link_close (link_at (hub, i), "link no longer wanted");
  g_ptr_array_remove (hub->targets, target);
  talloc_free (target);
}

/* Queues ENVELOPE for the peer with INCARNATION; all queued messages are sent
   in the next loop iteration.  Messages of one link arrive in order and
   without a gap, or on_link_down is called.  DS_EUNAVAILABLE without a link,
   DS_ERANGE for a message over the frame limit, DS_ELIMIT when the queue is
   full, which also ends the link, DS_ENOMEM.  */
int
ds_peer_hub_send (struct ds_peer_hub *hub, uint64_t incarnation,
                  const Daisystep__Peer__Envelope *envelope)
{
  struct link *link = find_live_link (hub, incarnation);

  return link != NULL ? link_append (link, envelope) : DS_EUNAVAILABLE;
}

/* The peer with INCARNATION, valid until the next loop iteration, or null if
   it has no live link.  */
const struct ds_peer_info *
ds_peer_hub_find_peer (const struct ds_peer_hub *hub, uint64_t incarnation)
{
  const struct link *link = find_live_link (hub, incarnation);

  return link != NULL ? &link->info : NULL;
}

/* Calls VISIT for each live link.  */
void
ds_peer_hub_visit_peers (const struct ds_peer_hub *hub,
                         void (*visit) (const struct ds_peer_info *peer,
                                        void *context),
                         void *context)
{
  for (guint i = 0; i < hub->links->len; i++)
    if (link_at (hub, i)->state == LINK_UP)
      visit (&link_at (hub, i)->info, context);
}

/* Notifies all peers whether this host drains and accepts no new requests.  */
void
ds_peer_hub_set_draining (struct ds_peer_hub *hub, bool draining)
{
  hub->draining = draining;
  for (guint i = 0; i < hub->links->len; i++)
    if (link_at (hub, i)->state == LINK_UP)
      append_heartbeat (link_at (hub, i));
}

/* Test hook that partitions HOST off: closes the link without a Goodbye, opens
   no other and accepts none until BLOCKED is false again.  */
void
ds_peer_hub_block (struct ds_peer_hub *hub, struct ds_str host, bool blocked)
{
  GBytes *key = g_bytes_new (host.data, host.length);

  if (!blocked)
    {
      g_hash_table_remove (hub->blocked, key);
      g_bytes_unref (key);
      schedule_run (hub);
      return;
    }
  g_hash_table_add (hub->blocked, key);
  for (guint i = 0; i < hub->links->len; i++)
    if (ds_str_equal (link_at (hub, i)->info.host, host))
      link_abort (link_at (hub, i), "blocked");
}
