#include "entry/registration.h"
#include "core/list_cursor.h"
#include "daisystep/log.h"
#include "entry/unreadable_entry.h"
#include "io/clock.h"
#include "io/socket_address.h"
#include "io/timer.h"
#include "platform/names.h"

#include <jansson.h>
#include <stdlib.h>

/* Delay before a failed registration is retried.  */
#define REGISTER_RETRY_MS 500
#define CALL_TIMEOUT_MS 1000
/* Time after the store has returned from an older copy in which the hosts, one
   after another, look whether it still has their registrations.  */
#define CHECK_SPREAD_MS 5000
/* Largest processor share that settings can lead to: of a link of 1,000,000
   Mbit/s, in percent of a core.  */
#define CAPACITY_MAX 500000

enum step
{
  REGISTER_CREATE,
  REGISTER_REPLACE,
  REGISTER_LIST,
  REGISTER_SETTLE,
  REGISTER_CHECK, /* whether a restored store has the registration */
  REGISTERED
};

struct ds_registration
{
  struct tevent_context *ev;
  struct ds_store_client *store;
  struct ds_fleet_view *fleet;
  struct ds_cold_starts *cold_starts;
  struct ds_fleet_self self;
  struct ds_store_pending_call *pending;
  enum step step;
  struct ds_list_cursor list; /* of the other hosts */
  bool settled;               /* the entry says that all hosts know it */
  bool retry_scheduled;
  bool check_scheduled;
  bool outdated; /* the call in progress was sent in an earlier era */
};

static void run_step (struct ds_registration *registration);

static void
on_retry (void *user_data)
{
  struct ds_registration *registration = user_data;

  registration->retry_scheduled = false;
  run_step (registration);
}

static void
schedule_retry (struct ds_registration *registration)
{
  registration->retry_scheduled = true;
  (void)ds_timer_add (registration->ev, registration, REGISTER_RETRY_MS,
                      on_retry, registration);
}

/* Returns the string KEY of SPEC; empty if it is missing, as in what hosts of
   an earlier version have written.  */
static struct ds_str
text_of (const json_t *spec, const char *key)
{
  const char *text = json_string_value (json_object_get (spec, key));

  return text != NULL ? ds_str_from_c (text) : DS_STR_EMPTY;
}

/* Returns the processor share in SPEC; 0, which counts as unknown, for one
   that no host has.  */
static uint32_t
capacity_of (const json_t *spec)
{
  json_int_t capacity
      = json_integer_value (json_object_get (spec, "capacity"));

  return capacity > 0 && capacity <= CAPACITY_MAX ? (uint32_t)capacity : 0;
}

/* Adds the host of OBJECT.  Other writers may leave entries that name none.
 */
static void
add_host (struct ds_registration *registration,
          const struct ds_store_object *object)
{
  const json_t *spec = object->spec;
  struct ds_socket_address address;
  struct ds_fleet_registration host = {
    .host = object->name,
    .zone = text_of (spec, "zone"),
    .region = text_of (spec, "region"),
    .caller_address = text_of (spec, "caller_address"),
    .gossip_address = text_of (spec, "gossip_address"),
    .capacity = capacity_of (spec),
  };

  if (object->deleted)
    return;
  if (ds_socket_address_parse (&address, host.gossip_address) != 0)
    {
      ds_unreadable_entry_report (
          DS_KIND_HOSTS, object->name, object->revision,
          object->problem != NULL ? object->problem
                                  : "gossip_address is invalid");
      return;
    }
  ds_fleet_view_add (registration->fleet, &host);
}

/* Adds the hosts of a page of the list and moves to the next one; the last one
   ends the registration.  Returns false if BODY is not a page.  */
static bool
add_hosts (struct ds_registration *registration, struct ds_str body)
{
  struct ds_str last_name = DS_STR_EMPTY;
  struct ds_error error = DS_ERROR_NONE;
  struct ds_store_page *page;

  if (ds_store_page_decode (&page, registration, body, false, &error) != 0)
    {
      ds_log_error (&error, NULL);
      return false;
    }
  for (size_t i = 0; i < page->unnamed; i++)
    ds_unreadable_entry_report (DS_KIND_HOSTS, DS_STR_EMPTY, 0,
                                "no readable name");
  for (size_t i = 0; i < page->count; i++)
    add_host (registration, &page->objects[i]);
  if (page->count > 0)
    last_name = page->objects[page->count - 1].name;
  if (!ds_list_cursor_advance (&registration->list, registration, last_name,
                               page->has_more))
    registration->step = REGISTERED;
  talloc_free (page);
  ds_fleet_view_tick (registration->fleet, ds_clock_ms ());
  return true;
}

static void
begin_list (struct ds_registration *registration)
{
  registration->step = REGISTER_LIST;
  ds_list_cursor_begin (&registration->list);
}

/* Handles the result of REGISTER_LIST.  A store that does not take the name
   after which the list continues has no more of it: the hosts there may still
   make themselves known.  */
static void
on_listed (struct ds_registration *registration,
           const struct ds_store_result *result)
{
  if (result->outcome == DS_STORE_OK && add_hosts (registration, result->body))
    return;
  if (result->status == DS_STORE_STATUS_BAD_REQUEST
      && !ds_list_cursor_is_first (&registration->list))
    registration->step = REGISTERED;
  else
    schedule_retry (registration);
}

/* Whether the entry in BODY, of an earlier incarnation, is settled in the
   present era of the store: in an earlier one, lists may lack it.  */
static bool
says_settled (struct ds_registration *registration, struct ds_str body)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_store_object *object;
  bool settled;

  if (ds_store_object_decode (&object, registration, body, &error) != 0)
    return false;
  settled = json_is_true (json_object_get (object->spec, "settled"))
            && (uint64_t)json_integer_value (
                   json_object_get (object->spec, "settled_era"))
                   == ds_store_client_era (registration->store)->era;
  talloc_free (object);
  return settled;
}

/* Whether BODY is the object that this process has written.  */
static bool
is_own_object (struct ds_registration *registration, struct ds_str body)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_store_object *object;
  bool is_own;

  if (ds_store_object_decode (&object, registration, body, &error) != 0)
    return false;
  is_own = (uint64_t)json_integer_value (
               json_object_get (object->spec, "incarnation"))
           == registration->self.incarnation;
  talloc_free (object);
  return is_own;
}

/* Handles the result of REGISTER_CHECK.  */
static void
on_checked (struct ds_registration *registration,
            const struct ds_store_result *result)
{
  if (result->outcome == DS_STORE_NOT_FOUND)
    registration->step = REGISTER_CREATE;
  else if (result->outcome != DS_STORE_OK)
    schedule_retry (registration);
  else if (!is_own_object (registration, result->body))
    registration->step = REGISTER_REPLACE;
  else
    {
      registration->step = REGISTERED;
      ds_cold_starts_set_registered (registration->cold_starts, false,
                                     ds_clock_ms ());
    }
}

static void
on_step_done (const struct ds_store_result *result, void *user_data)
{
  struct ds_registration *registration = user_data;

  bool outdated = registration->outdated;

  registration->pending = NULL;
  registration->retry_scheduled = false;
  registration->outdated = false;
  /* Whether a restored store has the entry is checked.  */
  if (result->outcome == DS_STORE_OK && !outdated
      && registration->step != REGISTER_LIST
      && registration->step != REGISTER_CHECK)
    ds_cold_starts_set_registered (registration->cold_starts,
                                   registration->settled, ds_clock_ms ());
  switch (registration->step)
    {
    case REGISTER_CREATE:
      if (result->outcome == DS_STORE_CONFLICT)
        {
          registration->settled = says_settled (registration, result->body);
          registration->step = REGISTER_REPLACE;
        }
      else if (result->outcome == DS_STORE_OK)
        begin_list (registration);
      else
        schedule_retry (registration);
      break;
    case REGISTER_REPLACE:
      if (result->outcome == DS_STORE_OK)
        begin_list (registration);
      else if (result->outcome == DS_STORE_NOT_FOUND)
        {
          registration->settled = false;
          registration->step = REGISTER_CREATE;
        }
      else
        schedule_retry (registration);
      break;
    case REGISTER_SETTLE:
      registration->settled = result->outcome == DS_STORE_OK && !outdated;
      registration->step = REGISTERED;
      break;
    case REGISTER_CHECK:
      on_checked (registration, result);
      break;
    default:
      on_listed (registration, result);
      break;
    }
  if (!registration->retry_scheduled)
    run_step (registration);
}

/* Runs the current step.  This host is registered before it lists the others,
   so of two that start together, the second to list finds the first.  */
static void
run_step (struct ds_registration *registration)
{
  struct ds_store_call store_call = {
    .kind = DS_KIND_HOSTS,
    .name = registration->self.host,
  };
  const struct ds_fleet_self *self = &registration->self;
  json_t *spec = NULL;

  switch (registration->step)
    {
    case REGISTERED:
      return;
    case REGISTER_CHECK:
      store_call.verb = DS_STORE_GET;
      break;
    case REGISTER_LIST:
      store_call.verb = DS_STORE_LIST;
      store_call.after = registration->list.after;
      break;
    default:
      store_call.verb = registration->step == REGISTER_CREATE
                            ? DS_STORE_CREATE
                            : DS_STORE_REPLACE;
      spec = json_pack ("{s:s%, s:s%, s:s%, s:s%, s:I, s:I}", "gossip_address",
                        self->gossip_address.data, self->gossip_address.length,
                        "caller_address", self->caller_address.data,
                        self->caller_address.length, "zone", self->zone.data,
                        self->zone.length, "region", self->region.data,
                        self->region.length, "incarnation",
                        (json_int_t)self->incarnation, "capacity",
                        (json_int_t)self->capacity);
      if (registration->settled)
        {
          uint64_t era = ds_store_client_era (registration->store)->era;

          (void)json_object_set_new (spec, "settled", json_true ());
          if (era > 0)
            (void)json_object_set_new (spec, "settled_era",
                                       json_integer ((json_int_t)era));
        }
      store_call.spec = spec;
      break;
    }
  if (ds_store_client_call (&registration->pending, registration->store,
                            &store_call, CALL_TIMEOUT_MS, on_step_done,
                            registration)
      != 0)
    schedule_retry (registration);
  json_decref (spec);
}

/* Registers the host in SELF, tells COLD_STARTS and adds the other hosts to
   FLEET; retries until it succeeds.  */
int
ds_registration_start (struct ds_registration **out, TALLOC_CTX *owner,
                       struct tevent_context *ev,
                       struct ds_store_client *store,
                       struct ds_fleet_view *fleet,
                       struct ds_cold_starts *cold_starts,
                       const struct ds_fleet_self *self)
{
  struct ds_registration *registration
      = talloc_zero (owner, struct ds_registration);

  if (registration == NULL)
    return DS_ENOMEM;
  registration->ev = ev;
  registration->store = store;
  registration->fleet = fleet;
  registration->cold_starts = cold_starts;
  registration->self = *self;
  ds_list_cursor_begin (&registration->list);
  run_step (registration);
  *out = registration;
  return 0;
}

/* Writes into the entry of this host that all hosts know it, so that its next
   incarnation may send to cold replicas at once.  A failure has no effect but
   that it may be called again.  */
void
ds_registration_settle (struct ds_registration *registration)
{
  if (registration->step != REGISTERED)
    return;
  registration->step = REGISTER_SETTLE;
  registration->settled = true;
  run_step (registration);
}

static void on_check (void *user_data);

static void
schedule_check (struct ds_registration *registration)
{
  registration->check_scheduled = true;
  (void)ds_timer_add (registration->ev, registration,
                      (uint32_t)random () % CHECK_SPREAD_MS, on_check,
                      registration);
}

static void
on_check (void *user_data)
{
  struct ds_registration *registration = user_data;

  registration->check_scheduled = false;
  if (registration->step != REGISTERED)
    {
      /* What is in progress may have been written in an earlier era.  */
      schedule_check (registration);
      return;
    }
  registration->step = REGISTER_CHECK;
  run_step (registration);
}

/* Writes the registration again if the store, which has returned from an older
   copy, has lost it.  Only this host does so.  */
void
ds_registration_begin_era (struct ds_registration *registration)
{
  registration->settled = false;
  registration->outdated = registration->pending != NULL;
  if (!registration->check_scheduled)
    schedule_check (registration);
}
