#include "entry/store_client.h"
#include "daisystep/metrics.h"
#include "io/clock.h"
#include "io/http_connection.h"
#include "io/timer.h"
#include "platform/names.h"

/* The store accepts a connection within milliseconds.  After a lost SYN, a new
   attempt is sooner than the system's retransmission after one second.  Longer
   if the own link delays each connection: doubled timeouts for all hosts cost
   a second after each outage.  */
#define CONNECT_TIMEOUT_MS 400
#define CONNECT_TIMEOUT_SLOW_LINK_MS 1200
/* A response that still arrives at the end of a call's time may take this much
   longer, as long as bytes keep coming, up to a total of MAX.  */
#define PROGRESS_TIMEOUT_MS 1000
#define PROGRESS_TOTAL_MAX_MS 10000
/* Longer responses are given up: lists have 1 MB, and after a watch with too
   many changes of 1 MB a list follows.  With 8 MiB, two lists without end took
   a quarter of a host with 88 MB.  */
#define RESPONSE_BYTES_MAX 4194304
/* The store leaves bytes unacknowledged for this time only when the path is
   broken.  */
#define UNACKED_TIMEOUT_MS 1500
/* Idle time before the connection of a waiting watch is probed, and interval
   of the two further probes: a dead connection is detected within 3 s.  */
#define KEEPALIVE_INTERVAL_S 1
/* Idle connections that are kept; a host has two watches and one update at a
   time.  */
#define IDLE_MAX 4

struct channel
{
  struct ds_store_client *client;
  struct ds_http_connection *connection;
  struct channel *next;
};

struct ds_store_client
{
  struct tevent_context *ev;
  struct ds_socket_address address;
  struct ds_str address_text;
  struct channel *idle;
  size_t idle_count;
  uint64_t calls;
  uint64_t succeeded_ms; /* end of the last successful call; 0 for none */
  uint32_t connect_timeout_ms;
  bool unreachable; /* the last call that ended failed */
  struct ds_store_era era;
  bool sends_era;      /* the store does, in its responses */
  bool is_first_start; /* no host of the fleet ran before this process */
  ds_store_era_fn *on_era;
  void *era_user_data;
};

/* A call in progress.  */
struct ds_store_pending_call
{
  struct ds_store_client *client;
  struct channel *channel;
  struct ds_timer *timer;
  uint64_t extended_ms; /* beyond the time that the call was given */
  bool progress;        /* bytes have arrived since the timer was set */
  bool timed_out;
  bool outdated; /* the response is from an earlier era */
  uint64_t sent_era;
  struct ds_byte_buffer body;
  ds_store_done_fn *on_done;
  void *user_data;
  unsigned status;
};

/* Creates a client of the store at "IP:PORT".  Connections are opened on
   demand.  */
int
ds_store_client_new (struct ds_store_client **out, TALLOC_CTX *owner,
                     struct tevent_context *ev, struct ds_str address,
                     struct ds_error *error)
{
  struct ds_store_client *client = talloc_zero (owner, struct ds_store_client);

  if (client == NULL)
    return ds_error_set (error, DS_ENOMEM, "open store client", "store",
                         "out of memory");
  client->ev = ev;
  client->connect_timeout_ms = CONNECT_TIMEOUT_MS;
  client->address_text = ds_str_copy (client, address);
  if (ds_socket_address_parse (&client->address, address) != 0)
    {
      talloc_free (client);
      return ds_error_set (error, DS_EINVAL, "open store client", "store",
                           "%.*s is not an IP address with a port",
                           DS_STR_ARG (address));
    }
  *out = client;
  return 0;
}

static void
close_channel (struct channel *channel)
{
  ds_http_connection_free (channel->connection);
  talloc_free (channel);
}

static void
on_idle_close (void *user_data)
{
  struct channel *channel = user_data;
  struct channel **at = &channel->client->idle;

  while (*at != NULL && *at != channel)
    at = &(*at)->next;
  if (*at == channel)
    {
      *at = channel->next;
      channel->client->idle_count--;
    }
  close_channel (channel);
}

static void
release_channel (struct channel *channel)
{
  struct ds_store_client *client = channel->client;
  struct ds_http_connection_handlers handlers = {
    .on_idle_close = on_idle_close,
    .user_data = channel,
  };

  if (client->idle_count >= IDLE_MAX
      || !ds_http_connection_is_reusable (channel->connection))
    {
      close_channel (channel);
      return;
    }
  ds_http_connection_set_handlers (channel->connection, &handlers);
  channel->next = client->idle;
  client->idle = channel;
  client->idle_count++;
}

/* Closes the idle connections: the failure of one probably affects all.  */
static void
close_idle (struct ds_store_client *client)
{
  while (client->idle != NULL)
    {
      struct channel *channel = client->idle;

      client->idle = channel->next;
      close_channel (channel);
    }
  client->idle_count = 0;
}

static enum ds_store_outcome
outcome_from_status (unsigned status)
{
  switch (status)
    {
    case 200:
    case 201:
    case 204:
      return DS_STORE_OK;
    case 404:
      return DS_STORE_NOT_FOUND;
    case 409:
      return DS_STORE_CONFLICT;
    case 410:
      return DS_STORE_HISTORY_EXPIRED;
    default:
      return DS_STORE_REFUSED;
    }
}

/* Completes the call.  Only a complete response keeps the connection.  */
static void
complete_call (struct ds_store_pending_call *pending,
               enum ds_store_outcome outcome)
{
  struct ds_store_result result = {
    .outcome = outcome,
    .status = outcome == DS_STORE_UNKNOWN ? 0 : pending->status,
    .sent_era = pending->sent_era,
    .timed_out = pending->timed_out,
    .body = ds_byte_buffer_content (&pending->body),
  };
  ds_store_done_fn *on_done = pending->on_done;
  void *user_data = pending->user_data;

  pending->client->unreachable
      = outcome == DS_STORE_UNKNOWN || outcome == DS_STORE_REFUSED;
  if (outcome == DS_STORE_UNKNOWN)
    {
      ds_metric_add (DS_METRIC_PLATFORM_ERRORS, 1);
      close_channel (pending->channel);
      close_idle (pending->client);
    }
  else
    release_channel (pending->channel);
  TALLOC_FREE (pending->timer);
  on_done (&result, user_data);
  if (outcome != DS_STORE_UNKNOWN && outcome != DS_STORE_REFUSED)
    pending->client->succeeded_ms = ds_clock_ms ();
  talloc_free (pending);
}

/* Handles a CHANGE of the era that the store or another host has named.  */
static void
handle_era_change (struct ds_store_client *client,
                   enum ds_store_era_change change, bool from_peer,
                   uint64_t now_ms)
{
  struct ds_store_era *era = &client->era;

  if (change == DS_STORE_ERA_FIRST && client->is_first_start)
    era->detected_ms = now_ms > era->hold_ms ? now_ms - era->hold_ms : 0;
  if (change != DS_STORE_ERA_SAME && change != DS_STORE_ERA_OLDER
      && client->on_era != NULL)
    client->on_era (change, from_peer, client->era_user_data);
}

/* The era in HEAD: 0 without one, as in all responses of a store that has
   never returned from an older copy.  If the store sends eras, a response
   without one says nothing.  */
static uint64_t
era_of (struct ds_store_client *client, const struct ds_http_head *head)
{
  uint64_t reported;

  if (ds_str_to_u64 (&reported, ds_http_head_find (head, DS_HEADER_STORE_ERA))
      != 0)
    return client->sends_era ? client->era.era : 0;
  client->sends_era = true;
  return reported;
}

/* The store's responses name no call; it sends one for each.  */
static enum ds_http_answer
on_head (const struct ds_http_head *head, void *user_data)
{
  struct ds_store_pending_call *pending = user_data;
  struct ds_store_client *client = pending->client;
  uint64_t now_ms = ds_clock_ms ();
  enum ds_store_era_change change = ds_store_era_observe (
      &client->era, era_of (client, head), pending->sent_era, now_ms);

  pending->status = head->status;
  pending->progress = true;
  pending->outdated = change == DS_STORE_ERA_OLDER;
  handle_era_change (client, change, false, now_ms);
  return DS_HTTP_ANSWER_OWN;
}

static void
on_body (struct ds_str bytes, void *user_data)
{
  struct ds_store_pending_call *pending = user_data;

  pending->progress = true;
  if (ds_byte_buffer_content (&pending->body).length + bytes.length
          > RESPONSE_BYTES_MAX
      || ds_byte_buffer_append (pending, &pending->body, bytes) != 0)
    complete_call (pending, DS_STORE_UNKNOWN);
}

static void
on_end (void *user_data)
{
  struct ds_store_pending_call *pending = user_data;

  /* What the store said before its newest return says nothing of what it holds
     now, whether the call was executed or not.  */
  complete_call (pending, pending->outdated
                              ? DS_STORE_UNKNOWN
                              : outcome_from_status (pending->status));
}

static void
on_failure (enum ds_http_failure failure, void *user_data)
{
  struct ds_store_pending_call *pending = user_data;

  pending->status = 0;
  if (failure == DS_HTTP_FAILURE_NOT_CONNECTED
      || !ds_http_connection_has_sent (pending->channel->connection))
    {
      close_channel (pending->channel);
      pending->channel = NULL;
    }
  if (pending->channel != NULL)
    {
      complete_call (pending, DS_STORE_UNKNOWN);
      return;
    }
  pending->client->unreachable = true;
  /* Nothing was sent: the call cannot have been executed.  */
  ds_metric_add (DS_METRIC_PLATFORM_ERRORS, 1);
  TALLOC_FREE (pending->timer);
  pending->on_done (&(struct ds_store_result){ .outcome = DS_STORE_REFUSED,
                                               .sent_era = pending->sent_era },
                    pending->user_data);
  talloc_free (pending);
}

static void
on_timeout (void *user_data)
{
  struct ds_store_pending_call *pending = user_data;

  pending->timer = NULL;
  if (pending->progress && pending->extended_ms < PROGRESS_TOTAL_MAX_MS)
    {
      pending->progress = false;
      pending->extended_ms += PROGRESS_TIMEOUT_MS;
      pending->timer = ds_timer_add (pending->client->ev, pending,
                                     PROGRESS_TIMEOUT_MS, on_timeout, pending);
      return;
    }
  pending->timed_out = true;
  complete_call (pending, DS_STORE_UNKNOWN);
}

static int
acquire_channel (struct channel **out, struct ds_store_client *client)
{
  struct ds_tcp_options options = {
    .ev = client->ev,
    .connect_timeout_ms = client->connect_timeout_ms,
    .unacked_timeout_ms = UNACKED_TIMEOUT_MS,
    .keepalive_interval_s = KEEPALIVE_INTERVAL_S,
  };
  struct channel *channel = client->idle;

  if (channel != NULL)
    {
      client->idle = channel->next;
      client->idle_count--;
      *out = channel;
      return 0;
    }
  channel = talloc_zero (client, struct channel);
  if (channel == NULL)
    return DS_ENOMEM;
  channel->client = client;
  if (ds_http_connection_open (&channel->connection, client, &options,
                               &client->address)
      != 0)
    {
      talloc_free (channel);
      return DS_EIO;
    }
  *out = channel;
  return 0;
}

/* Starts a call.  ON_DONE is called once, never before this function returns;
   *OUT is valid until then.  A call without a response after TIMEOUT_MS ends
   with DS_STORE_UNKNOWN.  */
int
ds_store_client_call (struct ds_store_pending_call **out,
                      struct ds_store_client *client,
                      const struct ds_store_call *call, uint32_t timeout_ms,
                      ds_store_done_fn *on_done, void *user_data)
{
  struct ds_store_pending_call *pending
      = talloc_zero (client, struct ds_store_pending_call);
  struct ds_http_connection_handlers handlers = {
    .on_head = on_head,
    .on_body = on_body,
    .on_end = on_end,
    .on_failure = on_failure,
    .user_data = pending,
  };
  struct ds_str head;
  struct ds_str body;
  int status;

  if (pending == NULL)
    return DS_ENOMEM;
  pending->client = client;
  pending->on_done = on_done;
  pending->user_data = user_data;
  pending->sent_era = client->era.era;
  status = ds_store_call_encode (&head, &body, pending, call,
                                 client->address_text);
  if (status == 0)
    status = acquire_channel (&pending->channel, client);
  if (status != 0)
    {
      talloc_free (pending);
      return status;
    }
  client->calls++;
  ds_metric_add (call->verb == DS_STORE_LIST || call->verb == DS_STORE_GET
                         || call->verb == DS_STORE_WATCH
                     ? DS_METRIC_PLATFORM_READS
                     : DS_METRIC_PLATFORM_WRITES,
                 1);
  pending->timer
      = ds_timer_add (client->ev, pending, timeout_ms, on_timeout, pending);
  ds_http_connection_set_handlers (pending->channel->connection, &handlers);
  /* A write that fails is reported by the connection.  */
  (void)ds_http_connection_send (pending->channel->connection, head, body,
                                 NULL, false);
  *out = pending;
  return 0;
}

/* Cancels a call without calling ON_DONE.  The store may still execute it.  */
void
ds_store_pending_call_cancel (struct ds_store_pending_call *pending)
{
  close_channel (pending->channel);
  talloc_free (pending);
}

/* True once the header of the response has arrived.  */
bool
ds_store_pending_call_has_response (
    const struct ds_store_pending_call *pending)
{
  return pending->status != 0;
}

/* Calls ON_ERA when the era of the store becomes known or changes.  Ledger
   pages of earlier eras are held for HOLD_MS, except by hosts of a fleet that
   is started for the first time.  */
void
ds_store_client_watch_era (struct ds_store_client *client, uint32_t hold_ms,
                           bool is_first_start, ds_store_era_fn *on_era,
                           void *user_data)
{
  client->era.hold_ms = hold_ms;
  client->is_first_start = is_first_start;
  client->on_era = on_era;
  client->era_user_data = user_data;
}

/* The newest era of the store that this host knows.  */
const struct ds_store_era *
ds_store_client_era (const struct ds_store_client *client)
{
  return &client->era;
}

/* True if the store may have returned from an older copy without this host
   knowing, since its last call failed.  Revisions are issued again, so a write
   on the condition of an old one could then replace something newer.  */
bool
ds_store_client_may_miss_era (const struct ds_store_client *client)
{
  return client->sends_era && client->unreachable;
}

/* Takes over the era that another host knows; 0 for none.  */
void
ds_store_client_hear_era (struct ds_store_client *client, uint64_t era)
{
  uint64_t now_ms = ds_clock_ms ();

  /* A store that sends no era has none that a host could know.  */
  if (era > 0 && (client->sends_era || !client->era.known))
    handle_era_change (client, ds_store_era_hear (&client->era, era, now_ms),
                       true, now_ms);
}

/* Sets whether the link of this host delays its connections.  */
void
ds_store_client_set_slow_link (struct ds_store_client *client, bool slow)
{
  client->connect_timeout_ms
      = slow ? CONNECT_TIMEOUT_SLOW_LINK_MS : CONNECT_TIMEOUT_MS;
}

/* False from a failed call to the next one that succeeds.  */
bool
ds_store_client_is_reachable (const struct ds_store_client *client)
{
  return !client->unreachable;
}

/* Time when the last successful call had been handled; 0 for none.  */
uint64_t
ds_store_client_succeeded_ms (const struct ds_store_client *client)
{
  return client->succeeded_ms;
}

/* Number of calls since the start.  */
uint64_t
ds_store_client_calls (const struct ds_store_client *client)
{
  return client->calls;
}

/* The name of OUTCOME in log lines.  */
const char *
ds_store_outcome_name (enum ds_store_outcome outcome)
{
  switch (outcome)
    {
    case DS_STORE_OK:
      return "done";
    case DS_STORE_CONFLICT:
      return "conflict";
    case DS_STORE_NOT_FOUND:
      return "missing";
    case DS_STORE_UNKNOWN:
      return "unknown";
    case DS_STORE_HISTORY_EXPIRED:
    case DS_STORE_REFUSED:
    default:
      return "refused";
    }
}
