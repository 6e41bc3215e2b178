#ifndef DS_ENTRY_FLEET_VIEW_INTERNAL_H
#define DS_ENTRY_FLEET_VIEW_INTERNAL_H

#include "core/budget_home.h"
#include "core/fleet_clock.h"
#include "core/gossip_pace.h"
#include "core/ledger_page.h"
#include "entry/fleet_view.h"
#include "io/socket_address.h"
#include "proto/gossip.pb-c.h"

#include <glib.h>

/* Loads in one datagram; those of this host's busiest replicas.  */
#define LOADS_PER_DATAGRAM_MAX 32
/* Suspects of crashes in one datagram; the most certain are sent first.  */
#define SUSPECTS_PER_DATAGRAM_MAX 24
/* A summary of 400 hosts and 600 replicas has 6 KB without prompt parts.  */
#define DATAGRAM_BYTES_MAX 16384
/* Prompt parts waiting to be announced; further ones are dropped.  */
#define PENDING_PARTS_MAX 1024
/* Prompt parts in one datagram; the oldest are sent first.  */
#define PARTS_PER_DATAGRAM_MAX 24
/* Unacknowledged transfers to a host; further ones are refused.  */
#define TRANSFERS_MAX 64
/* Transfer numbers kept per host to detect duplicates.  */
#define SEEN_TRANSFERS_MAX 256
/* Measurements of replicas in one datagram of a host.  It sees some ten
   requests a second, hence news of few replicas in an interval.  */
#define CAPACITIES_PER_DATAGRAM_MAX 8
/* The same in one summary, some 500 bytes.  With 320 replicas that all have
   news, a host hears of each within three seconds from one of two relays.  */
#define CAPACITIES_PER_SUMMARY_MAX 24
/* Departures of replicas waiting to be announced; further ones are dropped,
   since each host also hears of them from the store.  */
#define PENDING_DEPARTURES_MAX 64
/* Times that a departure is sent; half of a zone hears each summary.  */
#define DEPARTURE_SENDS 6
/* Requests for tokens that are answered once tokens arrive.  */
#define UNMET_REQUESTS_MAX 64

struct ds_fleet_load
{
  uint64_t replica; /* hash */
  uint32_t running;
  uint64_t prefill_tokens;
  uint64_t memory_tokens;
};

struct ds_fleet_transfer
{
  uint64_t number;
  struct ds_str workspace;
  struct ds_token_transfer content;
  bool to_home;
};

/* Exchange of tokens with one host; most hosts exchange them with few.  */
struct ds_fleet_token_link
{
  struct ds_token_holding holdings[DS_HOLDINGS_MAX];
  size_t holding_count;
  struct ds_fleet_transfer transfers[TRANSFERS_MAX]; /* unacknowledged */
  size_t transfer_count;
  uint64_t acks[TRANSFERS_MAX]; /* for the next datagram to this host */
  size_t ack_count;
  uint64_t seen[SEEN_TRANSFERS_MAX]; /* numbers of its transfers */
  size_t seen_count;
};

/* A part to announce.  SENDS_LEFT counts the sends to all hosts or, in a fleet
   with relays, towards them; DOWNLINKS_LEFT those of a relay to its zone.  */
struct ds_fleet_cached_part
{
  uint64_t replica;
  uint64_t part;
  size_t sends_left;
  size_t downlinks_left;
};

struct ds_fleet_peer
{
  struct ds_fleet_member info;
  struct ds_socket_address address;
  char *gossip_address;
  struct ds_fleet_load *loads; /* null before the first */
  size_t load_count;
  struct ds_fleet_token_link *link; /* null before the first exchange */
  uint32_t short_id;                /* low bits of the hash of its name */
  uint64_t relay_weight;
  uint64_t added_ms;
  uint64_t incarnation_ms;   /* time of the first of its incarnation */
  uint64_t direct_ms;        /* time of its last datagram; 0 for never */
  uint64_t summary;          /* number of the one that updated it last */
  uint64_t suspect_until_ms; /* not chosen as a relay before */
  uint64_t relay_since_ms;   /* while it is a relay of this zone */
  size_t introductions_left; /* summaries that carry its record */
  struct ds_ledger_access ledger;
  bool ledger_reachable; /* as last reported */
  bool failure_logged;
  bool eligible; /* may be a home or a giver */
};

/* A replica whose departure is announced.  */
struct ds_fleet_departure
{
  struct ds_departure departure;
  size_t sends_left;
};

/* The loads of another zone, as its relay last summed them up.  */
struct ds_fleet_zone
{
  struct ds_str name;
  uint64_t received_ms;
  struct ds_fleet_load *loads; /* REPLICA holds a short hash */
  size_t load_count;
};

/* A request for tokens that could not be met.  */
struct ds_fleet_unmet_request
{
  struct ds_fleet_peer *member;
  char *workspace;
  uint64_t tokens;
  uint64_t needed;
  uint64_t received_ms;
};

/* A cached result of rendezvous hashing; MEMBER is null for this host.  */
struct ds_fleet_choice
{
  uint64_t version; /* of the membership; 0 for never computed */
  enum ds_allotment_home home;
  struct ds_fleet_peer *member;
  bool is_home; /* MEMBER is the home, not a giver */
};

struct ds_fleet_view
{
  struct tevent_context *ev;
  struct tevent_fd *watch;
  struct ds_fleet_self self;
  struct ds_replica_set *replicas;
  struct ds_crash_suspects *suspects;
  struct ds_fleet_handlers handlers;
  struct ds_fleet_evacuation_handlers evacuations; /* null: not watched */
  struct ds_fleet_peer **members;
  size_t count;
  GHashTable *by_short_id; /* of struct ds_fleet_peer */
  uint32_t short_id;       /* of this host */
  uint64_t relay_weight;   /* of this host */
  struct ds_fleet_cached_part cached_parts[PENDING_PARTS_MAX];
  size_t cached_part_count;
  struct ds_fleet_departure departures[PENDING_DEPARTURES_MAX];
  size_t departure_count;
  struct ds_fleet_unmet_request unmet[UNMET_REQUESTS_MAX];
  size_t unmet_count;
  struct ds_fleet_choice roots[DS_LEDGER_PAGES];
  struct ds_fleet_choice givers[DS_LEDGER_PAGES];
  uint64_t taken_for_home_ms[DS_LEDGER_PAGES]; /* by another host, last */
  uint64_t membership_version; /* of the set of eligible hosts */
  struct ds_fleet_zone *zones; /* kept by relays */
  size_t zone_count;
  struct ds_fleet_peer *relays[DS_RELAYS_PER_ZONE]; /* null: this host */
  size_t relay_count;
  int relay_rank;     /* of this host; -1 if it is no relay */
  uint64_t summaries; /* received; identifies the current one */
  uint64_t store_revisions[DS_STORE_SUBJECTS]; /* seen by this host */
  uint64_t heard_revisions[DS_STORE_SUBJECTS]; /* newest of other hosts */
  uint64_t store_era;
  uint64_t summary_ms; /* time of the last summary of the fleet; 0 for none */
  size_t intervals;
  size_t next_record[2]; /* member whose record the next summary of the zone,
                            or of the fleet, carries */
  uint64_t sequence;
  uint64_t transfer_number;
  uint64_t started_ms;
  size_t next_target;
  size_t next_capacity[DS_CAPACITY_SCOPES]; /* replica to report first */
  int fd;
  struct ds_fleet_clock clock;
  struct ds_ledger_access ledger; /* of this host */
  bool ledger_reachable;
  bool homes_need_ledger;
  bool strained;
  bool ready;
  bool draining;
  bool eligible;
  uint32_t load_percent; /* of this host */
  uint32_t load_level;
  struct ds_heavy_callers *heavy; /* null: loads are not shared */
};

/* fleet_view.c */
struct ds_fleet_peer *ds_fleet_find_or_add (struct ds_fleet_view *view,
                                            struct ds_str host);
void ds_fleet_set_text (TALLOC_CTX *owner, struct ds_str *text,
                        struct ds_str value);
void ds_fleet_set_caller_address (struct ds_fleet_peer *member,
                                  struct ds_str text);
bool ds_fleet_same_zone (const struct ds_fleet_view *view,
                         const struct ds_fleet_peer *member);

/* fleet_datagram.c */
void ds_fleet_fill_self (struct ds_fleet_view *view, TALLOC_CTX *owner,
                         Daisystep__Gossip__Datagram *datagram);
void ds_fleet_fill_reports (struct ds_fleet_view *view, TALLOC_CTX *owner,
                            Daisystep__Gossip__Datagram *datagram);
void ds_fleet_fill_state (struct ds_fleet_view *view, TALLOC_CTX *owner,
                          Daisystep__Gossip__Datagram *datagram);
void ds_fleet_fill_suspects (struct ds_fleet_view *view, TALLOC_CTX *owner,
                             Daisystep__Gossip__Datagram *datagram);
Daisystep__Gossip__Departure **
ds_fleet_take_departures (struct ds_fleet_view *view, TALLOC_CTX *owner,
                          size_t *count);
void ds_fleet_receive_departures (
    struct ds_fleet_view *view, const struct ds_fleet_peer *member,
    Daisystep__Gossip__Departure *const *departures, size_t count);
void ds_fleet_add_holding (TALLOC_CTX *owner,
                           Daisystep__Gossip__Datagram *datagram,
                           const struct ds_token_holding *holding);
void ds_fleet_send (struct ds_fleet_view *view, struct ds_fleet_peer *member,
                    Daisystep__Gossip__Datagram *datagram, TALLOC_CTX *owner);
void ds_fleet_receive (struct ds_fleet_view *view,
                       const Daisystep__Gossip__Datagram *datagram,
                       uint64_t age_ms);
void ds_fleet_receive_revision (struct ds_fleet_view *view,
                                enum ds_store_subject subject,
                                uint64_t revision);
void ds_fleet_record_parts (struct ds_fleet_view *view,
                            Daisystep__Gossip__PartRead *const *reads,
                            size_t count, uint64_t now_ms);

/* fleet_evacuations.c */
void ds_fleet_fill_evacuations (const struct ds_fleet_view *view,
                                TALLOC_CTX *owner,
                                Daisystep__Gossip__Datagram *datagram);
void ds_fleet_receive_evacuations (struct ds_fleet_view *view,
                                   const struct ds_fleet_peer *member,
                                   const Daisystep__Gossip__Datagram *datagram,
                                   uint64_t age_ms);
/* fleet_loads.c */
void ds_fleet_fill_load (const struct ds_fleet_view *view, TALLOC_CTX *owner,
                         Daisystep__Gossip__Datagram *datagram);
void ds_fleet_receive_load (struct ds_fleet_view *view,
                            struct ds_fleet_peer *member,
                            const Daisystep__Gossip__Datagram *datagram,
                            uint64_t now_ms);
void ds_fleet_fill_summary_heavy (const struct ds_fleet_view *view,
                                  TALLOC_CTX *owner,
                                  Daisystep__Gossip__Summary *summary,
                                  bool fleet, uint64_t now_ms);
void ds_fleet_receive_summary_heavy (struct ds_fleet_view *view,
                                     const Daisystep__Gossip__Summary *summary,
                                     uint64_t now_ms);
uint32_t ds_fleet_pack_load (const struct ds_fleet_member *info);
void ds_fleet_unpack_load (struct ds_fleet_member *info, uint32_t packed);

/* fleet_capacity.c */
Daisystep__Gossip__ReplicaCapacity **
ds_fleet_take_capacities (struct ds_fleet_view *view, TALLOC_CTX *owner,
                          enum ds_capacity_scope scope, size_t *count);
void ds_fleet_receive_capacities (
    struct ds_fleet_view *view, struct ds_capacity_source source,
    Daisystep__Gossip__ReplicaCapacity *const *capacities, size_t count,
    uint64_t now_ms);

/* fleet_era.c */
uint64_t ds_fleet_incarnation_id (const struct ds_fleet_peer *member);
bool ds_fleet_receive_era (struct ds_fleet_view *view,
                           const Daisystep__Gossip__Datagram *datagram);

/* fleet_relay.c */
void ds_fleet_relay_tick (struct ds_fleet_view *view, uint64_t now_ms);
void ds_fleet_receive_summary (struct ds_fleet_view *view,
                               struct ds_fleet_peer *sender,
                               const Daisystep__Gossip__Summary *summary,
                               bool same_era, uint64_t heard_ms);
void ds_fleet_introduce (struct ds_fleet_view *view,
                         struct ds_fleet_peer *member);

/* fleet_tokens.c */
struct ds_fleet_token_link *ds_fleet_link (struct ds_fleet_peer *member);
bool ds_fleet_add_transfer (struct ds_fleet_view *view,
                            struct ds_fleet_peer *member,
                            struct ds_str workspace,
                            const struct ds_token_transfer *content,
                            bool to_home);
void ds_fleet_update_eligibility (struct ds_fleet_view *view, uint64_t now_ms);
void ds_fleet_receive_tokens (struct ds_fleet_view *view,
                              struct ds_fleet_peer *member,
                              const Daisystep__Gossip__Datagram *datagram,
                              bool same_era);

#endif
