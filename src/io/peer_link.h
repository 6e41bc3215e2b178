#ifndef DAISYSTEP_IO_PEER_LINK_H
#define DAISYSTEP_IO_PEER_LINK_H

#include "daisystep/error.h"
#include "daisystep/str.h"
#include "io/frame.h"
#include "proto/peer.pb-c.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#define DS_PEER_PROTOCOL_VERSION 1

/* The links of one host to its peers.  All calls come from the thread that
   runs the tevent context, and all callbacks run in its loop, never inside a
   call of this interface.  */
struct ds_peer_hub;

/* A peer with a live link.  The strings are valid as long as the structure.
 */
struct ds_peer_info
{
  struct ds_str host;
  struct ds_str zone;
  struct ds_str caller_address;
  uint64_t incarnation;
  /* Moving average; zero before the first measurement.  */
  uint64_t round_trip_us;
  bool draining;
  /* Whether this host opened the connection.  */
  bool is_outbound;
  uint64_t frames_sent;
  /* System calls that sent them.  */
  uint64_t send_calls;
};

struct ds_peer_hub_options
{
  uint32_t protocol_version;
  /* This host, as told to its peers.  */
  struct ds_str host;
  struct ds_str zone;
  struct ds_str caller_address;
  uint64_t incarnation;
  /* Secret of the fleet; must not be empty.  */
  struct ds_str peer_key;
  /* "IP:PORT"; port 0 takes a free one.  */
  struct ds_str listen_address;
  uint64_t random_seed;
  /* Longest pause between two heartbeats; the shortest is half of it.  */
  uint64_t heartbeat_ms;
  /* Longest time without a whole frame, and longest handshake.  */
  uint64_t receive_timeout_ms;
  /* First and longest pause before another connection attempt.  */
  uint64_t backoff_min_ms;
  uint64_t backoff_max_ms;
  /* Bytes that may wait on one link; a link above is closed.  */
  size_t queue_bytes_max;
  size_t frame_bytes_max;
  /* Connections of all states; more are closed when accepted.  */
  size_t links_max;
  /* PEER and ENVELOPE are valid during the callback.  Each on_link_up is
     followed by exactly one on_link_down, unless the hub is freed.  */
  void (*on_link_up) (struct ds_peer_hub *hub, const struct ds_peer_info *peer,
                      void *context);
  void (*on_link_down) (struct ds_peer_hub *hub,
                        const struct ds_peer_info *peer, const char *reason,
                        void *context);
  void (*on_message) (struct ds_peer_hub *hub, const struct ds_peer_info *peer,
                      const Daisystep__Peer__Envelope *envelope,
                      void *context);
  void *context;
};

/* With these periods, 8 idle links cost 151 bytes a second of payload in each
   direction.  The silence limit is below half of the 10 s within which the
   grant of a dead host is to be usable again.  The queue bound holds the seal
   reply of about 60,000 settled requests, at 126 bytes each for names of 14
   bytes.  */
#define DS_PEER_HUB_OPTIONS_DEFAULT                                           \
  ((struct ds_peer_hub_options){                                              \
      .protocol_version = DS_PEER_PROTOCOL_VERSION,                           \
      .zone = DS_STR_EMPTY,                                                   \
      .caller_address = DS_STR_EMPTY,                                         \
      .heartbeat_ms = 1000,                                                   \
      .receive_timeout_ms = 4000,                                             \
      .backoff_min_ms = 50,                                                   \
      .backoff_max_ms = 5000,                                                 \
      .queue_bytes_max = (size_t)8 * 1024 * 1024,                             \
      .frame_bytes_max = DS_FRAME_BYTES_MAX,                                  \
      .links_max = 64,                                                        \
  })

int ds_peer_hub_new (struct ds_peer_hub **out, TALLOC_CTX *owner,
                     struct tevent_context *events,
                     const struct ds_peer_hub_options *options,
                     struct ds_error *error);
void ds_peer_hub_free (struct ds_peer_hub *hub);
const char *ds_peer_hub_address (const struct ds_peer_hub *hub);
int ds_peer_hub_add_target (struct ds_peer_hub *hub, struct ds_str host,
                            struct ds_str address);
void ds_peer_hub_remove_target (struct ds_peer_hub *hub, struct ds_str host);
int ds_peer_hub_send (struct ds_peer_hub *hub, uint64_t incarnation,
                      const Daisystep__Peer__Envelope *envelope);
const struct ds_peer_info *
ds_peer_hub_find_peer (const struct ds_peer_hub *hub, uint64_t incarnation);
void ds_peer_hub_visit_peers (const struct ds_peer_hub *hub,
                              void (*visit) (const struct ds_peer_info *peer,
                                             void *context),
                              void *context);
void ds_peer_hub_set_draining (struct ds_peer_hub *hub, bool draining);
void ds_peer_hub_block (struct ds_peer_hub *hub, struct ds_str host,
                        bool blocked);

#endif
