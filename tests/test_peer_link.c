#include "daisystep/metrics.h"
#include "io/peer_link.h"
#include "io/socket_address.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define KEY DS_STR ("key of the fleet")
#define LONG_MS UINT64_C (600000)

/* A hub and the events it reported.  */
struct host
{
  struct ds_peer_hub *hub;
  const char *name;
  size_t up_count;
  size_t down_count;
  uint64_t up_incarnation;
  uint64_t down_incarnation;
  char reason[128];
  size_t messages;
  uint64_t last_version;
};

/* The other end of a link, a plain socket of the test.  */
struct raw
{
  int fd;
  struct tevent_fd *event;
  struct ds_frame_decoder *decoder;
  size_t bytes;
  size_t hellos;
  size_t heartbeats;
  uint64_t heartbeat_sequence;
  char goodbye[160];
  bool closed;
  bool reset;
};

static TALLOC_CTX *root;
static struct tevent_context *events;

static void
set_up (void)
{
  root = talloc_new (NULL);
  events = tevent_context_init (root);
  ck_assert_ptr_nonnull (events);
}

static void
tear_down (void)
{
  talloc_free (root);
}

/* Runs the loop until CONDITION holds, or until the test case times out.  */
#define RUN_UNTIL(condition)                                                  \
  do                                                                          \
    {                                                                         \
      while (!(condition))                                                    \
        ck_assert_int_eq (tevent_loop_once (events), 0);                      \
    }                                                                         \
  while (0)

static void
count_up (struct ds_peer_hub *hub, const struct ds_peer_info *peer,
          void *context)
{
  struct host *host = context;

  ck_assert_ptr_eq (ds_peer_hub_find_peer (hub, peer->incarnation), peer);
  host->up_count++;
  host->up_incarnation = peer->incarnation;
}

static void
count_down (struct ds_peer_hub *hub, const struct ds_peer_info *peer,
            const char *reason, void *context)
{
  struct host *host = context;

  (void)hub;
  host->down_count++;
  host->down_incarnation = peer->incarnation;
  (void)snprintf (host->reason, sizeof host->reason, "%s", reason);
}

static void
count_message (struct ds_peer_hub *hub, const struct ds_peer_info *peer,
               const Daisystep__Peer__Envelope *envelope, void *context)
{
  struct host *host = context;

  (void)hub;
  (void)peer;
  ck_assert_int_eq (envelope->body_case,
                    DAISYSTEP__PEER__ENVELOPE__BODY_CONFIG_VERSION);
  /* Versions are consecutive if no message is lost or reordered.  */
  ck_assert_uint_eq (envelope->config_version->version,
                     host->last_version + 1);
  host->last_version++;
  host->messages++;
}

/* Timeouts are long, so that links time out only where a test shortens
   them.  */
static struct ds_peer_hub_options
make_options (const char *name, uint64_t incarnation, const char *address)
{
  struct ds_peer_hub_options options = DS_PEER_HUB_OPTIONS_DEFAULT;

  options.host = ds_str_from_c (name);
  options.zone = DS_STR ("kelheim");
  options.caller_address = DS_STR ("127.0.0.9:80");
  options.incarnation = incarnation;
  options.peer_key = KEY;
  options.listen_address = ds_str_from_c (address);
  options.random_seed = incarnation;
  options.heartbeat_ms = LONG_MS / 2;
  options.receive_timeout_ms = LONG_MS;
  options.backoff_min_ms = 1;
  options.backoff_max_ms = 10;
  options.on_link_up = count_up;
  options.on_link_down = count_down;
  options.on_message = count_message;
  return options;
}

static void
start (struct host *host, struct ds_peer_hub_options options)
{
  struct ds_error error = DS_ERROR_NONE;

  *host = (struct host){ .name = options.host.data };
  options.context = host;
  ck_assert_msg (ds_peer_hub_new (&host->hub, root, events, &options, &error)
                     == 0,
                 "%s: %s", error.step, error.message);
}

static void
add_target (struct host *host, const struct host *peer)
{
  ck_assert_int_eq (
      ds_peer_hub_add_target (host->hub, ds_str_from_c (peer->name),
                              ds_str_from_c (ds_peer_hub_address (peer->hub))),
      0);
}

static int
send_version (struct host *host, uint64_t incarnation, uint64_t version)
{
  Daisystep__Peer__Envelope envelope = DAISYSTEP__PEER__ENVELOPE__INIT;
  Daisystep__Peer__ConfigVersion body = DAISYSTEP__PEER__CONFIG_VERSION__INIT;

  body.version = version;
  envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_CONFIG_VERSION;
  envelope.config_version = &body;
  return ds_peer_hub_send (host->hub, incarnation, &envelope);
}

static void
count_peer (const struct ds_peer_info *peer, void *context)
{
  size_t *count = context;

  ck_assert_ptr_nonnull (peer);
  (*count)++;
}

static size_t
link_count (const struct host *host)
{
  size_t count = 0;

  ds_peer_hub_visit_peers (host->hub, count_peer, &count);
  return count;
}

static void
handle_raw_frame (struct raw *raw, const Daisystep__Peer__Envelope *envelope)
{
  switch (envelope->body_case)
    {
    case DAISYSTEP__PEER__ENVELOPE__BODY_HELLO:
      raw->hellos++;
      break;
    case DAISYSTEP__PEER__ENVELOPE__BODY_HEARTBEAT:
      raw->heartbeats++;
      raw->heartbeat_sequence = envelope->heartbeat->sequence;
      break;
    case DAISYSTEP__PEER__ENVELOPE__BODY_GOODBYE:
      (void)snprintf (raw->goodbye, sizeof raw->goodbye, "%s",
                      envelope->goodbye->reason);
      break;
    default:
      break;
    }
}

static void
read_raw (struct tevent_context *context, struct tevent_fd *event,
          uint16_t flags, void *data)
{
  struct raw *raw = data;
  uint8_t buffer[4096];
  ssize_t count = recv (raw->fd, buffer, sizeof buffer, MSG_DONTWAIT);
  Daisystep__Peer__Envelope *envelope;

  (void)context;
  (void)event;
  (void)flags;
  if (count <= 0)
    {
      raw->closed = true;
      raw->reset = count < 0;
      TALLOC_FREE (raw->event);
      return;
    }
  raw->bytes += (size_t)count;
  ds_frame_decoder_feed (raw->decoder, buffer, (size_t)count);
  while (ds_frame_decoder_next (&envelope, raw->decoder, NULL) == 0
         && envelope != NULL)
    {
      handle_raw_frame (raw, envelope);
      ds_frame_release (envelope);
    }
}

static void
init_raw (struct raw *raw, int fd)
{
  *raw = (struct raw){ .fd = fd };
  ck_assert_int_ge (fd, 0);
  ds_frame_decoder_new (&raw->decoder, root, DS_FRAME_BYTES_MAX);
  raw->event = tevent_add_fd (events, root, fd, TEVENT_FD_READ, read_raw, raw);
}

static void
connect_raw (struct raw *raw, const struct host *host)
{
  struct ds_socket_address address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ds_socket_address_parse (&address,
                           ds_str_from_c (ds_peer_hub_address (host->hub)));
  ck_assert_int_eq (
      connect (fd, (struct sockaddr *)&address.storage, address.length), 0);
  init_raw (raw, fd);
}

static int
listen_raw (char text[DS_SOCKET_ADDRESS_BYTES])
{
  struct ds_socket_address address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

  ds_socket_address_parse (&address, DS_STR ("127.0.0.5:0"));
  ck_assert_int_eq (
      bind (fd, (struct sockaddr *)&address.storage, address.length), 0);
  ck_assert_int_eq (listen (fd, 8), 0);
  ck_assert_int_eq (
      getsockname (fd, (struct sockaddr *)&address.storage, &address.length),
      0);
  ds_socket_address_format (text, &address);
  return fd;
}

static void
set_readable (struct tevent_context *context, struct tevent_fd *event,
              uint16_t flags, void *data)
{
  (void)context;
  (void)flags;
  *(bool *)data = true;
  talloc_free (event);
}

/* Runs the loop until a connection arrives at LISTENER and accepts it.  */
static void
accept_raw (struct raw *raw, int listener)
{
  bool ready = false;

  (void)tevent_add_fd (events, root, listener, TEVENT_FD_READ, set_readable,
                       &ready);
  RUN_UNTIL (ready);
  init_raw (raw, accept (listener, NULL, NULL));
}

static void
write_raw (const struct raw *raw, const void *bytes, size_t count)
{
  ck_assert_int_eq (send (raw->fd, bytes, count, MSG_NOSIGNAL),
                    (ssize_t)count);
}

static void
write_raw_envelope (const struct raw *raw,
                    const Daisystep__Peer__Envelope *envelope)
{
  struct ds_byte_queue queue;

  ds_byte_queue_init (&queue, root);
  ck_assert_int_eq (ds_frame_append (&queue, envelope, DS_FRAME_BYTES_MAX), 0);
  write_raw (raw, ds_byte_queue_front (&queue), queue.length);
}

static void
write_raw_hello (const struct raw *raw, const char *name, uint64_t incarnation,
                 uint32_t version, struct ds_str key)
{
  Daisystep__Peer__Envelope envelope = DAISYSTEP__PEER__ENVELOPE__INIT;
  Daisystep__Peer__Hello hello = DAISYSTEP__PEER__HELLO__INIT;

  hello.protocol_version = version;
  hello.host = (char *)name;
  hello.incarnation = incarnation;
  hello.peer_key.data = (uint8_t *)key.data;
  hello.peer_key.len = key.length;
  envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_HELLO;
  envelope.hello = &hello;
  write_raw_envelope (raw, &envelope);
}

static void
write_raw_valid_hello (const struct raw *raw, const char *name,
                       uint64_t incarnation)
{
  write_raw_hello (raw, name, incarnation, DS_PEER_PROTOCOL_VERSION, KEY);
}

static void
start_pair (struct host *a, struct host *b)
{
  start (a, make_options ("a", 1, "127.0.0.2:0"));
  start (b, make_options ("b", 2, "127.0.0.3:0"));
  add_target (a, b);
  RUN_UNTIL (a->up_count == 1 && b->up_count == 1);
}

START_TEST (reports_the_identity_of_the_peer)
{
  struct host a;
  struct host b;
  const struct ds_peer_info *peer;

  start_pair (&a, &b);
  peer = ds_peer_hub_find_peer (b.hub, 1);
  ck_assert (ds_str_equal (peer->host, DS_STR ("a")));
  ck_assert (ds_str_equal (peer->zone, DS_STR ("kelheim")));
  ck_assert (ds_str_equal (peer->caller_address, DS_STR ("127.0.0.9:80")));
  ck_assert (!peer->is_outbound);
  ck_assert (ds_peer_hub_find_peer (a.hub, 2)->is_outbound);
}
END_TEST

/* Guards against lost or reordered messages, and against a system call for
   each of them.  */
START_TEST (delivers_a_burst_with_one_write)
{
  struct host a;
  struct host b;
  struct ds_peer_info before;
  struct ds_peer_info after;
  int64_t sent = ds_metric_get (DS_METRIC_PEER_BYTES_SENT);
  int64_t received = ds_metric_get (DS_METRIC_PEER_BYTES_RECEIVED);

  start_pair (&a, &b);
  RUN_UNTIL (ds_peer_hub_find_peer (a.hub, 2)->frames_sent == 2
             && ds_peer_hub_find_peer (a.hub, 2)->send_calls == 2);
  before = *ds_peer_hub_find_peer (a.hub, 2);
  for (uint64_t version = 1; version <= 100; version++)
    ck_assert_int_eq (send_version (&a, 2, version), 0);
  RUN_UNTIL (b.messages == 100);
  after = *ds_peer_hub_find_peer (a.hub, 2);
  ck_assert_uint_eq (after.frames_sent - before.frames_sent, 100);
  ck_assert_uint_eq (after.send_calls - before.send_calls, 1);
  ck_assert_int_gt (ds_metric_get (DS_METRIC_PEER_BYTES_SENT) - sent, 800);
  ck_assert_int_gt (ds_metric_get (DS_METRIC_PEER_BYTES_RECEIVED) - received,
                    800);
}
END_TEST

START_TEST (send_without_a_link_is_unavailable)
{
  struct host a;
  struct host b;

  start_pair (&a, &b);
  ck_assert_int_eq (send_version (&a, 3, 1), DS_EUNAVAILABLE);
  ds_peer_hub_free (b.hub);
  RUN_UNTIL (a.down_count == 1);
  ck_assert_str_eq (a.reason, "goodbye: host stops");
  ck_assert_int_eq (send_version (&a, 2, 1), DS_EUNAVAILABLE);
}
END_TEST

/* Guards against two links between a pair of hosts, and against both sides
   closing the link that the other one keeps.  */
START_TEST (simultaneous_connects_leave_one_link)
{
  struct host hosts[3];

  start (&hosts[0], make_options ("a", 1, "127.0.0.2:0"));
  start (&hosts[1], make_options ("b", 2, "127.0.0.3:0"));
  start (&hosts[2], make_options ("c", 3, "127.0.0.4:0"));
  for (size_t i = 0; i < 3; i++)
    for (size_t j = 0; j < 3; j++)
      if (i != j)
        add_target (&hosts[i], &hosts[j]);
  RUN_UNTIL (hosts[0].up_count - hosts[0].down_count == 2
             && hosts[1].up_count - hosts[1].down_count == 2
             && hosts[2].up_count - hosts[2].down_count == 2
             && ds_peer_hub_find_peer (hosts[0].hub, 2)->is_outbound
             && ds_peer_hub_find_peer (hosts[0].hub, 3)->is_outbound
             && ds_peer_hub_find_peer (hosts[1].hub, 3)->is_outbound
             && !ds_peer_hub_find_peer (hosts[1].hub, 1)->is_outbound
             && !ds_peer_hub_find_peer (hosts[2].hub, 1)->is_outbound
             && !ds_peer_hub_find_peer (hosts[2].hub, 2)->is_outbound);
  for (size_t i = 0; i < 3; i++)
    ck_assert_uint_eq (link_count (&hosts[i]), 2);
  ck_assert_int_eq (send_version (&hosts[0], 2, 1), 0);
  ck_assert_int_eq (send_version (&hosts[1], 3, 1), 0);
  ck_assert_int_eq (send_version (&hosts[2], 1, 1), 0);
  RUN_UNTIL (hosts[0].messages == 1 && hosts[1].messages == 1
             && hosts[2].messages == 1);
}
END_TEST

/* The connection opened by the host with the smaller name is kept, whichever
   came first.  */
START_TEST (keeps_the_connection_of_the_smaller_name)
{
  char address[DS_SOCKET_ADDRESS_BYTES];
  int listener = listen_raw (address);
  struct host m;
  struct raw accepted;
  struct raw connected;

  start (&m, make_options ("m", 1, "127.0.0.2:0"));
  ds_peer_hub_add_target (m.hub, DS_STR ("z"), ds_str_from_c (address));
  accept_raw (&accepted, listener);
  write_raw_valid_hello (&accepted, "z", 26);
  RUN_UNTIL (m.up_count == 1);
  connect_raw (&connected, &m);
  write_raw_valid_hello (&connected, "z", 26);
  RUN_UNTIL (connected.closed);
  ck_assert_str_eq (connected.goodbye, "duplicate link");
  ck_assert_uint_eq (m.down_count, 0);

  ds_peer_hub_add_target (m.hub, DS_STR ("b"), ds_str_from_c (address));
  accept_raw (&accepted, listener);
  write_raw_valid_hello (&accepted, "b", 2);
  RUN_UNTIL (m.up_count == 2);
  connect_raw (&connected, &m);
  write_raw_valid_hello (&connected, "b", 2);
  RUN_UNTIL (accepted.closed && m.up_count == 3);
  ck_assert_str_eq (accepted.goodbye, "replaced by another link");
  ck_assert_uint_eq (m.down_count, 1);
  close (listener);
}
END_TEST

/* Guards against a dead link that blocks a new one from the same peer: the
   initiator has already closed it.  */
START_TEST (keeps_the_newer_connection_of_the_same_side)
{
  struct host m;
  struct raw first;
  struct raw second;

  start (&m, make_options ("m", 1, "127.0.0.2:0"));
  connect_raw (&first, &m);
  write_raw_valid_hello (&first, "z", 26);
  RUN_UNTIL (m.up_count == 1);
  connect_raw (&second, &m);
  write_raw_valid_hello (&second, "z", 26);
  RUN_UNTIL (first.closed && m.up_count == 2);
  ck_assert_uint_eq (m.down_count, 1);
  ck_assert_uint_eq (second.hellos, 1);
}
END_TEST

START_TEST (refuses_another_protocol_version)
{
  struct host a;
  struct raw raw;

  start (&a, make_options ("a", 1, "127.0.0.2:0"));
  connect_raw (&raw, &a);
  write_raw_hello (&raw, "r", 9, DS_PEER_PROTOCOL_VERSION + 1, KEY);
  RUN_UNTIL (raw.closed);
  ck_assert_str_eq (raw.goodbye, "other protocol version");
  ck_assert_uint_eq (raw.hellos, 0);
  ck_assert_uint_eq (a.up_count, 0);
}
END_TEST

static void
expect_refused (struct host *host, struct ds_str key)
{
  struct raw raw;

  connect_raw (&raw, host);
  write_raw_hello (&raw, "r", 9, DS_PEER_PROTOCOL_VERSION, key);
  RUN_UNTIL (raw.closed);
  ck_assert_str_eq (raw.goodbye, "wrong peer key");
  ck_assert_uint_eq (raw.hellos, 0);
  ck_assert_uint_eq (host->up_count, 0);
}

/* Guards against comparing only a part of the key.  */
START_TEST (refuses_a_wrong_key)
{
  struct host a;

  start (&a, make_options ("a", 1, "127.0.0.2:0"));
  expect_refused (&a, DS_STR (""));
  expect_refused (&a, DS_STR ("key of the fleeT"));
  expect_refused (&a, DS_STR ("Key of the fleet"));
  expect_refused (&a, DS_STR ("key of the flee"));
  expect_refused (&a, DS_STR ("key of the fleet and more"));
}
END_TEST

/* Guards against an initiator that does not check the key of the accepting
   side.  */
START_TEST (checks_the_key_of_the_listening_side)
{
  char address[DS_SOCKET_ADDRESS_BYTES];
  int listener = listen_raw (address);
  struct host a;
  struct raw raw;

  start (&a, make_options ("a", 1, "127.0.0.2:0"));
  ds_peer_hub_add_target (a.hub, DS_STR ("z"), ds_str_from_c (address));
  accept_raw (&raw, listener);
  write_raw_hello (&raw, "z", 9, DS_PEER_PROTOCOL_VERSION, DS_STR ("other"));
  RUN_UNTIL (raw.closed);
  ck_assert_str_eq (raw.goodbye, "wrong peer key");
  ck_assert_uint_eq (a.up_count, 0);
  close (listener);
}
END_TEST

/* Guards against a stale address that now belongs to another host.  */
START_TEST (refuses_another_host_at_the_address)
{
  char address[DS_SOCKET_ADDRESS_BYTES];
  int listener = listen_raw (address);
  struct host a;
  struct raw raw;

  start (&a, make_options ("a", 1, "127.0.0.2:0"));
  ds_peer_hub_add_target (a.hub, DS_STR ("z"), ds_str_from_c (address));
  accept_raw (&raw, listener);
  write_raw_valid_hello (&raw, "y", 9);
  RUN_UNTIL (raw.closed);
  ck_assert_str_eq (raw.goodbye, "another host has this address");
  ck_assert_uint_eq (a.up_count, 0);
  close (listener);
}
END_TEST

START_TEST (refuses_a_hello_without_identity)
{
  struct host a;
  struct raw raw;

  start (&a, make_options ("a", 1, "127.0.0.2:0"));
  for (uint64_t i = 0; i < 2; i++)
    {
      connect_raw (&raw, &a);
      write_raw_valid_hello (&raw, i == 0 ? "" : "r", 9 * (1 - i));
      RUN_UNTIL (raw.closed);
      ck_assert_str_eq (raw.goodbye,
                        "Hello without a host name or incarnation");
    }
  ck_assert_uint_eq (a.up_count, 0);
}
END_TEST

START_TEST (refuses_a_connection_to_itself)
{
  struct host a;

  start (&a, make_options ("a", 1, "127.0.0.2:0"));
  for (int i = 0; i < 2; i++)
    {
      struct raw raw;

      connect_raw (&raw, &a);
      write_raw_valid_hello (&raw, "a", 1);
      RUN_UNTIL (raw.closed);
      ck_assert_str_eq (raw.goodbye, "connected to itself");
    }
  ck_assert_uint_eq (a.up_count, 0);
}
END_TEST

struct fault
{
  const char *bytes;
  size_t count;
  const char *goodbye;
  bool after_hello;
};

static const struct fault faults[] = {
  { "GET / HTTP/1.1\r\n\r\n", 18, "frame of 1195725856 bytes, limit 4096",
    false },
  { "\0\0\0\0", 4, "frame without content", false },
  { "\0\0\0\2\xff\xff", 6, "frame does not parse", false },
  { "\0\0\0\3\x9a\x06\0", 7, "unknown message kind", false },
  { "\0\0\0\2\x1a\0", 6, "message before Hello", false },
  { "\0\0\0\2\x62\0", 6, "message before Hello", false },
  /* Guards against memory use by unauthenticated peers.  */
  { "\0\0\x10\1", 4, "frame of 4097 bytes, limit 4096", false },
  { "\0\0\0\2\x0a\0", 6, "second Hello", true },
  { "\0\x10\0\1", 4, "frame of 1048577 bytes, limit 1048576", true },
  { "\0\0\0\0", 4, "frame without content", true },
  { "\0\0\0\2\xff\xff", 6, "frame does not parse", true },
  { "\0\0\0\3\x9a\x06\0", 7, "unknown message kind", true },
};

/* Guards against invalid bytes that are ignored or crash the process.  */
START_TEST (rejects_faulty_frames)
{
  const struct fault *fault = &faults[_i];
  int64_t rejected = ds_metric_get (DS_METRIC_PEER_FRAMES_REJECTED);
  struct host a;
  struct raw raw;

  start (&a, make_options ("a", 1, "127.0.0.2:0"));
  connect_raw (&raw, &a);
  if (fault->after_hello)
    {
      write_raw_valid_hello (&raw, "r", 9);
      RUN_UNTIL (a.up_count == 1);
    }
  write_raw (&raw, fault->bytes, fault->count);
  RUN_UNTIL (raw.closed && a.down_count == a.up_count);
  ck_assert_str_eq (raw.goodbye, fault->goodbye);
  ck_assert_int_eq (ds_metric_get (DS_METRIC_PEER_FRAMES_REJECTED),
                    rejected + 1);
  if (fault->after_hello)
    ck_assert_str_eq (a.reason, fault->goodbye);
}
END_TEST

/* Guards against a TCP reset, which can make the peer lose the Goodbye:
   closing a socket with unread bytes sends one.  */
START_TEST (goodbye_precedes_an_orderly_close)
{
  static uint8_t unread[350000];
  struct host a;
  struct raw raw;

  start (&a, make_options ("a", 1, "127.0.0.2:0"));
  connect_raw (&raw, &a);
  (void)setsockopt (raw.fd, SOL_SOCKET, SO_SNDBUF,
                    &(int){ (int)sizeof unread }, sizeof (int));
  ck_assert_int_gt (send (raw.fd, unread, sizeof unread, MSG_DONTWAIT), 0);
  RUN_UNTIL (raw.closed);
  ck_assert_str_eq (raw.goodbye, "frame without content");
  ck_assert (!raw.reset);
}
END_TEST

/* A frame over the Hello limit is accepted from an authenticated peer.  */
START_TEST (accepts_large_frames_after_hello)
{
  struct host a;
  struct raw raw;
  Daisystep__Peer__Envelope envelope = DAISYSTEP__PEER__ENVELOPE__INIT;
  Daisystep__Peer__ConfigVersion body = DAISYSTEP__PEER__CONFIG_VERSION__INIT;
  static char padding[100000];
  struct ds_byte_queue queue;
  size_t frame;

  start (&a, make_options ("a", 1, "127.0.0.2:0"));
  connect_raw (&raw, &a);
  write_raw_valid_hello (&raw, "r", 9);
  RUN_UNTIL (a.up_count == 1);
  body.version = 1;
  envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_CONFIG_VERSION;
  envelope.config_version = &body;
  /* An unknown field, as of a later version, makes the frame large.  */
  memset (padding, 'x', sizeof padding);
  envelope.base.n_unknown_fields = 1;
  envelope.base.unknown_fields = &(ProtobufCMessageUnknownField){
    .tag = 98,
    .wire_type = PROTOBUF_C_WIRE_TYPE_LENGTH_PREFIXED,
    .data = (uint8_t *)padding,
    .len = sizeof padding,
  };
  /* In protobuf-c the data of such a field starts with its length.  */
  padding[0] = '\x9d';
  padding[1] = '\x8d';
  padding[2] = '\x06';
  ds_byte_queue_init (&queue, root);
  ds_frame_append (&queue, &envelope, DS_FRAME_BYTES_MAX);
  frame = queue.length;
  write_raw (&raw, ds_byte_queue_front (&queue), frame);
  RUN_UNTIL (a.messages == 1);
}
END_TEST

/* Guards against keeping a connection on which nothing is received.  */
START_TEST (replaces_a_timed_out_link)
{
  char address[DS_SOCKET_ADDRESS_BYTES];
  int listener = listen_raw (address);
  struct ds_peer_hub_options options = make_options ("a", 1, "127.0.0.2:0");
  struct host a;
  struct raw raw;

  options.heartbeat_ms = 20;
  options.receive_timeout_ms = 100;
  start (&a, options);
  ds_peer_hub_add_target (a.hub, DS_STR ("z"), ds_str_from_c (address));
  accept_raw (&raw, listener);
  write_raw_valid_hello (&raw, "z", 26);
  RUN_UNTIL (a.down_count == 1);
  ck_assert_str_eq (a.reason, "silent");
  accept_raw (&raw, listener);
  write_raw_valid_hello (&raw, "z", 26);
  RUN_UNTIL (a.up_count == 2);
  close (listener);
}
END_TEST

/* Guards against connections of a client or a hanging host without a Hello. */
START_TEST (closes_a_connection_without_hello)
{
  struct ds_peer_hub_options options = make_options ("a", 1, "127.0.0.2:0");
  struct host a;
  struct raw raw;

  options.heartbeat_ms = 20;
  options.receive_timeout_ms = 100;
  start (&a, options);
  connect_raw (&raw, &a);
  RUN_UNTIL (raw.closed);
  ck_assert_uint_eq (raw.bytes, 0);
}
END_TEST

/* Guards against more connections than the limit.  */
START_TEST (closes_connections_over_the_limit)
{
  struct ds_peer_hub_options options = make_options ("a", 1, "127.0.0.2:0");
  struct host a;
  struct raw first;
  struct raw second;

  options.links_max = 1;
  start (&a, options);
  connect_raw (&first, &a);
  write_raw_valid_hello (&first, "r", 9);
  RUN_UNTIL (a.up_count == 1);
  connect_raw (&second, &a);
  RUN_UNTIL (second.closed);
  ck_assert_uint_eq (a.down_count, 0);
}
END_TEST

/* Guards against gaps in the messages: the link ends instead, and a refused
   message is never sent.  */
START_TEST (closes_a_link_over_its_queue_bound)
{
  struct ds_peer_hub_options options = make_options ("a", 1, "127.0.0.2:0");
  struct host a;
  struct host b;
  uint64_t version = 0;

  options.queue_bytes_max = 1000;
  start (&a, options);
  start (&b, make_options ("b", 2, "127.0.0.3:0"));
  add_target (&b, &a);
  RUN_UNTIL (a.up_count == 1 && b.up_count == 1);
  while (send_version (&a, 2, ++version) == 0)
    ck_assert_uint_lt (version, 1000);
  ck_assert_uint_eq (a.down_count, 0);
  ck_assert_int_eq (send_version (&a, 2, version), DS_EUNAVAILABLE);
  RUN_UNTIL (a.down_count == 1);
  ck_assert_str_eq (a.reason, "send queue over its bound");
}
END_TEST

START_TEST (refuses_a_message_over_the_frame_limit)
{
  struct ds_peer_hub_options options = make_options ("a", 1, "127.0.0.2:0");
  struct host a;
  struct host b;

  options.frame_bytes_max = 80;
  start (&a, options);
  start (&b, make_options ("b", 2, "127.0.0.3:0"));
  add_target (&a, &b);
  RUN_UNTIL (a.up_count == 1 && b.up_count == 1);
  {
    Daisystep__Peer__Envelope envelope = DAISYSTEP__PEER__ENVELOPE__INIT;
    Daisystep__Peer__TokenAsk ask = DAISYSTEP__PEER__TOKEN_ASK__INIT;
    char budget[100];

    memset (budget, 'b', sizeof budget);
    budget[sizeof budget - 1] = '\0';
    ask.budget = budget;
    envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_TOKEN_ASK;
    envelope.token_ask = &ask;
    ck_assert_int_eq (ds_peer_hub_send (a.hub, 2, &envelope), DS_ERANGE);
  }
  ck_assert_int_eq (send_version (&a, 2, 1), 0);
  RUN_UNTIL (b.messages == 1);
}
END_TEST

/* A host that restarts with the same name and address is a new peer.  */
START_TEST (reconnects_to_another_incarnation)
{
  struct host a;
  struct host b;
  char address[DS_SOCKET_ADDRESS_BYTES];

  start_pair (&a, &b);
  (void)snprintf (address, sizeof address, "%s", ds_peer_hub_address (b.hub));
  ds_peer_hub_free (b.hub);
  RUN_UNTIL (a.down_count == 1);
  ck_assert_uint_eq (a.down_incarnation, 2);
  start (&b, make_options ("b", 22, address));
  RUN_UNTIL (a.up_count == 2 && b.up_count == 1);
  ck_assert_uint_eq (a.up_incarnation, 22);
  ck_assert_int_eq (send_version (&a, 2, 1), DS_EUNAVAILABLE);
  ck_assert_int_eq (send_version (&a, 22, 1), 0);
  RUN_UNTIL (b.messages == 1);
}
END_TEST

/* Guards against a new connection of either side while a host is blocked.  */
START_TEST (block_closes_links_of_both_directions)
{
  struct host a;
  struct host b;
  struct raw raw;

  start_pair (&a, &b);
  add_target (&b, &a);
  ds_peer_hub_block (a.hub, DS_STR ("b"), true);
  ck_assert_int_eq (send_version (&a, 2, 1), DS_EUNAVAILABLE);
  RUN_UNTIL (a.down_count == 1 && b.down_count == 1);
  ck_assert_str_eq (a.reason, "blocked");
  connect_raw (&raw, &a);
  write_raw_valid_hello (&raw, "b", 2);
  RUN_UNTIL (raw.closed);
  ck_assert_uint_eq (raw.bytes, 0);
  ck_assert_uint_eq (a.up_count + b.up_count, 2);
  ds_peer_hub_block (a.hub, DS_STR ("b"), false);
  RUN_UNTIL (a.up_count > 1 && b.up_count > 1 && a.up_count == a.down_count + 1
             && b.up_count == b.down_count + 1);
}
END_TEST

/* Guards against connection attempts to a blocked host.  */
START_TEST (block_stops_attempts)
{
  char address[DS_SOCKET_ADDRESS_BYTES];
  int listener = listen_raw (address);
  struct host a;
  struct host b;
  struct raw raw;

  start_pair (&a, &b);
  ds_peer_hub_block (a.hub, DS_STR ("z"), true);
  ds_peer_hub_add_target (a.hub, DS_STR ("z"), ds_str_from_c (address));
  for (uint64_t version = 1; version <= 50; version++)
    {
      ck_assert_int_eq (send_version (&a, 2, version), 0);
      RUN_UNTIL (b.messages == version);
    }
  ck_assert_int_lt (accept (listener, NULL, NULL), 0);
  ds_peer_hub_block (a.hub, DS_STR ("z"), false);
  accept_raw (&raw, listener);
  close (listener);
}
END_TEST

START_TEST (removing_a_target_closes_only_the_own_connection)
{
  struct host a;
  struct host b;
  struct raw raw;

  start_pair (&a, &b);
  connect_raw (&raw, &a);
  write_raw_valid_hello (&raw, "r", 9);
  RUN_UNTIL (a.up_count == 2);
  ds_peer_hub_remove_target (a.hub, DS_STR ("r"));
  ds_peer_hub_remove_target (a.hub, DS_STR ("b"));
  RUN_UNTIL (a.down_count == 1 && b.down_count == 1);
  ck_assert_str_eq (b.reason, "goodbye: link no longer wanted");
  ck_assert_uint_eq (link_count (&a), 1);
}
END_TEST

/* The delay of the echo at the peer is not part of the round-trip time.  */
START_TEST (measures_the_round_trip)
{
  struct host a;
  struct raw raw;
  Daisystep__Peer__Envelope envelope = DAISYSTEP__PEER__ENVELOPE__INIT;
  Daisystep__Peer__Heartbeat heartbeat = DAISYSTEP__PEER__HEARTBEAT__INIT;

  start (&a, make_options ("a", 1, "127.0.0.2:0"));
  connect_raw (&raw, &a);
  write_raw_valid_hello (&raw, "r", 9);
  RUN_UNTIL (raw.heartbeats == 1);
  ck_assert_uint_eq (ds_peer_hub_find_peer (a.hub, 9)->round_trip_us, 0);
  envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_HEARTBEAT;
  envelope.heartbeat = &heartbeat;
  heartbeat.sequence = 1;
  heartbeat.echo = raw.heartbeat_sequence + 1;
  heartbeat.draining = true;
  write_raw_envelope (&raw, &envelope);
  RUN_UNTIL (ds_peer_hub_find_peer (a.hub, 9)->draining);
  ck_assert_uint_eq (ds_peer_hub_find_peer (a.hub, 9)->round_trip_us, 0);
  heartbeat.echo = raw.heartbeat_sequence;
  heartbeat.echo_delay_us = UINT64_MAX;
  write_raw_envelope (&raw, &envelope);
  RUN_UNTIL (ds_peer_hub_find_peer (a.hub, 9)->round_trip_us > 0);
  ck_assert_uint_eq (ds_peer_hub_find_peer (a.hub, 9)->round_trip_us, 1);
}
END_TEST

/* Guards against links that time out although both sides send heartbeats, and
   against heartbeats without an echo.  */
START_TEST (heartbeats_keep_a_link_up)
{
  struct ds_peer_hub_options options = make_options ("a", 1, "127.0.0.2:0");
  struct host a;
  struct host b;

  options.heartbeat_ms = 5;
  options.receive_timeout_ms = 2000;
  start (&a, options);
  options = make_options ("b", 2, "127.0.0.3:0");
  options.heartbeat_ms = 5;
  options.receive_timeout_ms = 2000;
  start (&b, options);
  add_target (&a, &b);
  RUN_UNTIL (a.up_count == 1 && b.up_count == 1);
  RUN_UNTIL (ds_peer_hub_find_peer (a.hub, 2)->frames_sent > 20
             && ds_peer_hub_find_peer (a.hub, 2)->round_trip_us > 0
             && ds_peer_hub_find_peer (b.hub, 1)->round_trip_us > 0);
  ck_assert_uint_eq (a.down_count + b.down_count, 0);
}
END_TEST

START_TEST (sends_the_draining_state_to_peers)
{
  struct host a;
  struct host b;

  start_pair (&a, &b);
  /* The first heartbeat, sent when the link comes up, has been sent.  */
  RUN_UNTIL (ds_peer_hub_find_peer (a.hub, 2)->send_calls == 2);
  ck_assert (!ds_peer_hub_find_peer (b.hub, 1)->draining);
  ds_peer_hub_set_draining (a.hub, true);
  RUN_UNTIL (ds_peer_hub_find_peer (b.hub, 1)->draining);
}
END_TEST

START_TEST (refuses_unusable_settings)
{
  struct ds_peer_hub_options options = make_options ("a", 1, "127.0.0.2:0");
  struct ds_peer_hub_options changed = options;
  struct ds_peer_hub *hub;
  struct host a;

  changed.peer_key = DS_STR_EMPTY;
  ck_assert_int_eq (ds_peer_hub_new (&hub, root, events, &changed, NULL),
                    DS_EINVAL);
  changed = options;
  changed.incarnation = 0;
  ck_assert_int_eq (ds_peer_hub_new (&hub, root, events, &changed, NULL),
                    DS_EINVAL);
  changed = options;
  changed.listen_address = DS_STR ("localhost:1");
  ck_assert_int_eq (ds_peer_hub_new (&hub, root, events, &changed, NULL),
                    DS_EINVAL);
  start (&a, options);
  changed.listen_address = ds_str_from_c (ds_peer_hub_address (a.hub));
  ck_assert_int_eq (ds_peer_hub_new (&hub, root, events, &changed, NULL),
                    DS_EIO);
  ck_assert_int_eq (
      ds_peer_hub_add_target (a.hub, DS_STR ("b"), DS_STR ("[::1]")),
      DS_EINVAL);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("peer_link");
  TCase *test_case = tcase_create ("peer_link");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 60);
  tcase_add_test (test_case, reports_the_identity_of_the_peer);
  tcase_add_test (test_case, delivers_a_burst_with_one_write);
  tcase_add_test (test_case, send_without_a_link_is_unavailable);
  tcase_add_test (test_case, simultaneous_connects_leave_one_link);
  tcase_add_test (test_case, keeps_the_connection_of_the_smaller_name);
  tcase_add_test (test_case, keeps_the_newer_connection_of_the_same_side);
  tcase_add_test (test_case, refuses_another_protocol_version);
  tcase_add_test (test_case, refuses_a_wrong_key);
  tcase_add_test (test_case, checks_the_key_of_the_listening_side);
  tcase_add_test (test_case, refuses_another_host_at_the_address);
  tcase_add_test (test_case, refuses_a_hello_without_identity);
  tcase_add_test (test_case, refuses_a_connection_to_itself);
  tcase_add_loop_test (test_case, rejects_faulty_frames, 0,
                       (int)(sizeof faults / sizeof faults[0]));
  tcase_add_test (test_case, goodbye_precedes_an_orderly_close);
  tcase_add_test (test_case, accepts_large_frames_after_hello);
  tcase_add_test (test_case, replaces_a_timed_out_link);
  tcase_add_test (test_case, closes_a_connection_without_hello);
  tcase_add_test (test_case, closes_connections_over_the_limit);
  tcase_add_test (test_case, closes_a_link_over_its_queue_bound);
  tcase_add_test (test_case, refuses_a_message_over_the_frame_limit);
  tcase_add_test (test_case, reconnects_to_another_incarnation);
  tcase_add_test (test_case, block_closes_links_of_both_directions);
  tcase_add_test (test_case, block_stops_attempts);
  tcase_add_test (test_case, removing_a_target_closes_only_the_own_connection);
  tcase_add_test (test_case, measures_the_round_trip);
  tcase_add_test (test_case, heartbeats_keep_a_link_up);
  tcase_add_test (test_case, sends_the_draining_state_to_peers);
  tcase_add_test (test_case, refuses_unusable_settings);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
