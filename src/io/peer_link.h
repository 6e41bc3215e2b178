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

/* The links of one host to its peers.  Used only on the thread that runs the
   tevent context; all callbacks run in its loop, never inside a call of this
   interface.  */
struct ds_peer_hub;

/* A peer with a live link.  The strings live as long as the structure.  */
struct ds_peer_info
{
  struct ds_str host;
  struct ds_str zone;
  struct ds_str caller_address;
  uint64_t incarnation;
  /* Moving average; 0 before the first measurement.  */
  uint64_t round_trip_us;
  bool draining;
  /* Whether this host opened the connection.  */
  bool is_outbound;
  uint64_t frames_sent;
  /* System calls used to send the frames.  */
  uint64_t send_calls;
};

struct ds_peer_hub_options
{
  uint32_t protocol_version;
  /* Identity of this host, sent to its peers.  */
  struct ds_str host;
  struct ds_str zone;
  struct ds_str caller_address;
  uint64_t incarnation;
  /* Shared secret of the fleet; must not be empty.  */
  struct ds_str peer_key;
  /* "IP:PORT"; port 0 selects a free port.  */
  struct ds_str listen_address;
  uint64_t random_seed;
  /* Longest interval between heartbeats; the shortest is half of it.  */
  uint64_t heartbeat_ms;
  /* Longest time without a complete frame, and of a handshake.  */
  uint64_t receive_timeout_ms;
  /* First and longest delay before a connection attempt.  */
  uint64_t backoff_min_ms;
  uint64_t backoff_max_ms;
  /* Limit on the unsent bytes of a link; it is closed above.  */
  size_t queue_bytes_max;
  size_t frame_bytes_max;
  /* Limit on connections in any state; more are closed when accepted.  */
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

/* With this heartbeat interval, 8 idle links carry 151 bytes of payload a
   second in each direction.  The receive timeout is below half of the 10 s
   after which the grant of a dead host has to be usable again.  The queue
   limit fits the seal reply for about 60,000 settled requests, at 126 bytes
   each with names of 14 bytes.  */
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
