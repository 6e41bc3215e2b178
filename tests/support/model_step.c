#include "model_internal.h"

#include <jansson.h>

static const char *const step_names[MODEL_STEP_KINDS] = {
  [MODEL_ARRIVE] = "arrive",
  [MODEL_END] = "end",
  [MODEL_DELIVER] = "deliver",
  [MODEL_TICK] = "tick",
  [MODEL_REPEAT_REQUEST] = "ask",
  [MODEL_CRASH] = "crash",
  [MODEL_RESTART] = "restart",
  [MODEL_PAUSE] = "pause",
  [MODEL_DISCONNECT_PAUSED] = "silence",
  [MODEL_RESUME] = "resume",
  [MODEL_CUT] = "cut",
  [MODEL_HEAL] = "heal",
  [MODEL_PLATFORM] = "platform",
  [MODEL_PREPAID] = "prepaid",
};

static bool
is_valid_host (const struct model *model, int host)
{
  return host >= 0 && host < model->options.hosts;
}

static bool
is_running_host (const struct model *model, int host)
{
  return is_valid_host (model, host) && model->hosts[host].is_alive
         && !model->hosts[host].is_paused;
}

static bool
is_valid_request (const struct model *model, int request)
{
  return request >= 0 && request < (int)model->requests->len;
}

static void
do_arrive (struct model *model, const struct model_step *step)
{
  if (is_running_host (model, step->a) && step->b >= 0
      && step->b < model->options.budgets)
    model_arrive (model, step->a, step->b, step->amount, step->cost);
}

static void
do_end (struct model *model, const struct model_step *step)
{
  const struct model_request *request;

  if (!is_valid_request (model, step->a))
    return;
  request = g_ptr_array_index (model->requests, (guint)step->a);
  if (!model->hosts[request->host].is_alive
      || !model->hosts[request->host].is_paused)
    model_end_request (model, step->a);
}

static void
do_deliver (struct model *model, const struct model_step *step)
{
  if (step->a < 0 || step->a >= (int)model->messages->len
      || !model_can_deliver (model, (guint)step->a))
    return;
  model->loses_response = step->b != 0;
  model_deliver_at (model, (guint)step->a);
  model->loses_response = false;
}

static void
do_tick (struct model *model, const struct model_step *step)
{
  model->now += (uint64_t)step->b;
  model_tick_host (model, step->a);
  model_check (model);
}

static void
do_prepaid (struct model *model, const struct model_step *step)
{
  if (step->a >= 0 && step->a < model->options.budgets)
    model_set_prepaid (model, step->a, step->amount);
}

void
model_apply_step (struct model *model, const struct model_step *step)
{
  int a = step->a;

  switch (step->kind)
    {
    case MODEL_ARRIVE:
      do_arrive (model, step);
      break;
    case MODEL_END:
      do_end (model, step);
      break;
    case MODEL_DELIVER:
      do_deliver (model, step);
      break;
    case MODEL_TICK:
      if (is_valid_host (model, a))
        do_tick (model, step);
      break;
    case MODEL_REPEAT_REQUEST:
      if (is_valid_host (model, a) && is_valid_request (model, step->b))
        model_repeat_request (model, a, step->b);
      break;
    case MODEL_CRASH:
      if (is_valid_host (model, a))
        model_crash (model, a);
      break;
    case MODEL_RESTART:
      if (is_valid_host (model, a))
        model_restart (model, a);
      break;
    case MODEL_PAUSE:
      if (is_running_host (model, a))
        model_pause (model, a);
      break;
    case MODEL_DISCONNECT_PAUSED:
      if (is_valid_host (model, a))
        model_disconnect_paused (model, a);
      break;
    case MODEL_RESUME:
      if (is_valid_host (model, a) && model->hosts[a].is_alive)
        model_resume (model, a);
      break;
    case MODEL_CUT:
      if (is_valid_host (model, a) && is_valid_host (model, step->b)
          && a != step->b)
        model_cut (model, a, step->b);
      break;
    case MODEL_HEAL:
      if (is_valid_host (model, a) && is_valid_host (model, step->b)
          && a != step->b)
        model_heal (model, a, step->b);
      break;
    case MODEL_PLATFORM:
      model_set_platform_state (model, a != 0);
      break;
    case MODEL_PREPAID:
      do_prepaid (model, step);
      break;
    case MODEL_STEP_KINDS:
      break;
    }
}

static int
random_below (struct model *model, int end)
{
  return end > 0 ? g_rand_int_range (model->random, 0, end) : 0;
}

static struct model_step
random_arrival (struct model *model)
{
  struct model_step step = { .kind = MODEL_ARRIVE };

  step.a = random_below (model, model->options.hosts);
  step.b = random_below (model, model->options.budgets);
  step.amount = model->options.smallest_reservation
                + (uint64_t)random_below (model, 380);
  step.cost = 1 + (uint64_t)random_below (model, (int)step.amount);
  return step;
}

static struct model_step
random_end (struct model *model)
{
  struct model_step step = { .kind = MODEL_END, .a = -1 };
  int count = (int)model->requests->len;
  int start = random_below (model, count);

  for (int i = 0; i < count; i++)
    if (model_is_running (model, (start + i) % count))
      {
        step.a = (start + i) % count;
        break;
      }
  return step;
}

static struct model_step
random_delivery (struct model *model)
{
  struct model_step step = { .kind = MODEL_DELIVER, .a = -1 };
  int count = (int)model->messages->len;
  int start = random_below (model, count);

  for (int i = 0; i < count; i++)
    if (model_can_deliver (model, (guint)((start + i) % count)))
      {
        step.a = (start + i) % count;
        break;
      }
  step.b = model_chance (model, model->options.lost_response_chance);
  return step;
}

static struct model_step
random_pause (struct model *model)
{
  struct model_step step = { .kind = MODEL_PAUSE };
  const struct model_host *host;

  step.a = random_below (model, model->options.hosts);
  host = &model->hosts[step.a];
  if (host->is_paused && !host->is_disconnected
      && random_below (model, 2) == 0)
    step.kind = MODEL_DISCONNECT_PAUSED;
  else if (host->is_paused)
    step.kind = MODEL_RESUME;
  return step;
}

static struct model_step
random_cut (struct model *model)
{
  struct model_step step = { .kind = MODEL_CUT };

  step.a = random_below (model, model->options.hosts);
  step.b = random_below (model, model->options.hosts);
  if (model->is_cut[step.a][step.b])
    step.kind = MODEL_HEAL;
  return step;
}

static struct model_step
random_prepaid (struct model *model)
{
  struct model_step step = { .kind = MODEL_PREPAID };
  uint64_t old_prepaid;

  step.a = random_below (model, model->options.budgets);
  old_prepaid = model->prepaid[step.a];
  step.amount = old_prepaid / 2
                + (uint64_t)random_below (model, (int)old_prepaid + 1000);
  return step;
}

/* A fault, or MODEL_STEP_KINDS for none.  */
static struct model_step
random_fault (struct model *model)
{
  const struct model_options *options = &model->options;
  struct model_step step = { .kind = MODEL_STEP_KINDS };

  if (model_chance (model, options->crash))
    {
      step.a = random_below (model, options->hosts);
      step.kind = model->hosts[step.a].is_alive ? MODEL_CRASH : MODEL_RESTART;
    }
  else if (model_chance (model, options->pause))
    step = random_pause (model);
  else if (model_chance (model, options->cut))
    step = random_cut (model);
  else if (model_chance (model, options->platform_outage))
    {
      step.kind = MODEL_PLATFORM;
      step.a = model->is_platform_up ? 0 : 1;
    }
  else if (model_chance (model, options->operator_change))
    step = random_prepaid (model);
  return step;
}

static struct model_step
random_step (struct model *model)
{
  struct model_step step = random_fault (model);
  int choice = random_below (model, 100);

  if (step.kind != MODEL_STEP_KINDS)
    return step;
  if (choice < 12)
    return random_arrival (model);
  if (choice < 22)
    return random_end (model);
  if (choice < 80)
    return random_delivery (model);
  step.a = random_below (model, model->options.hosts);
  if (choice < 97)
    {
      step.kind = MODEL_TICK;
      step.b = 1 + random_below (model, STEP_MS_MAX);
      return step;
    }
  step.kind = MODEL_REPEAT_REQUEST;
  step.b = random_below (model, (int)model->requests->len);
  return step;
}

struct model_step
model_random_step (struct model *model)
{
  struct model_step step = random_step (model);

  model_apply_step (model, &step);
  return step;
}

void
model_step_print (const struct model_step *step, char *out, size_t size)
{
  (void)snprintf (out, size, "%s %d %d %" PRIu64 " %" PRIu64,
                  step_names[step->kind], step->a, step->b, step->amount,
                  step->cost);
}

bool
model_step_parse (struct model_step *out, const char *line)
{
  char name[16];

  *out = (struct model_step){ .kind = MODEL_STEP_KINDS };
  if (sscanf (line, "%15s %d %d %" SCNu64 " %" SCNu64, name, &out->a, &out->b,
              &out->amount, &out->cost)
      < 1)
    return false;
  for (int i = 0; i < MODEL_STEP_KINDS; i++)
    if (strcmp (name, step_names[i]) == 0)
      {
        out->kind = (enum model_step_kind)i;
        return true;
      }
  return false;
}

static uint64_t
digest_json (uint64_t digest, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT | JSON_SORT_KEYS);

  digest = ds_str_hash (ds_str_from_c (text), digest);
  free (text);
  json_decref (json);
  return digest;
}

static uint64_t
digest_message (uint64_t digest, const struct message *message)
{
  char text[160];

  (void)snprintf (
      text, sizeof text,
      "%d %d %d %" PRIx64 " %" PRIx64 " %" PRIx64 " %" PRIu64 " %" PRIu64
      " %u %d %d %d %zu %zu",
      message->kind, message->from, message->to, message->from_incarnation,
      message->to_incarnation, message->incarnation, message->sequence,
      message->number, message->page, message->is_sealed, message->is_known,
      message->is_written, message->batch.count, message->sealed.count);
  return ds_str_hash (ds_str_from_c (text), digest);
}

static uint64_t
digest_host (uint64_t digest, const struct model_host *host)
{
  uint64_t flags = (uint64_t)host->is_alive | (uint64_t)host->is_paused << 1
                   | (uint64_t)host->is_disconnected << 2;

  digest = digest * 31 + flags;
  if (!host->is_alive)
    return digest;
  digest = digest_json (digest, ds_shard_dump (host->shard));
  digest = digest_json (digest, ds_fleet_dump (host->fleet));
  for (guint i = 0; i < host->retired_shards->len; i++)
    digest = digest_json (
        digest, ds_shard_dump (g_ptr_array_index (host->retired_shards, i)));
  return digest;
}

/* Covers timers only as far as the dumps show them, so two states with the
   same digest may differ in a timer.  */
uint64_t
model_digest (struct model *model)
{
  uint64_t digest = model->is_platform_up;

  for (int i = 0; i < model->options.hosts; i++)
    digest = digest_host (digest, &model->hosts[i]);
  for (int i = 0; i < model->options.pages; i++)
    if (model->pages[i].ledger != NULL)
      {
        json_t *json = NULL;

        ds_ledger_to_json (&json, model->pages[i].ledger);
        digest = digest_json (digest, json);
      }
  for (guint i = 0; i < model->messages->len; i++)
    digest = digest_message (digest, g_ptr_array_index (model->messages, i));
  return digest * 31 + model->now / 1000;
}

size_t
model_list_deliverable (const struct model *model, int *out, size_t most)
{
  size_t count = 0;

  for (guint i = 0; i < model->messages->len && count < most; i++)
    if (model_can_deliver (model, i))
      out[count++] = (int)i;
  return count;
}

bool
model_is_platform_call (const struct model *model, int message)
{
  return ((const struct message *)g_ptr_array_index (model->messages,
                                                     (guint)message))
             ->to
         == PLATFORM;
}
