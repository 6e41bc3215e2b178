#include "entry/crash_evidence.h"
#include "base/decision_log.h"
#include "io/clock.h"
#include "io/timer.h"

/* Time in which this host sees all its connections to a crashed replica end:
   the operating system closes them at once.  */
#define CRASH_SEEN_MS 50
/* Time to read what has arrived while this host itself was held up.  */
#define CATCH_UP_MS 10
/* Seed of the hash that identifies hosts in reports of crashes.  */
#define HOST_SEED 29

struct ds_crash_evidence
{
  struct tevent_context *ev;
  const struct ds_connection_pool *pool;
  struct ds_crash_suspects *suspects;
  uint32_t host;
  void (*on_change) (void *user_data); /* null for none */
  void *user_data;
};

/* A failed attempt that may be due to a crash of its replica.  */
struct pending_crash
{
  struct ds_crash_evidence *evidence;
  struct ds_replica *replica; /* referenced */
  char *request_id;
  struct ds_suspect_key keys[DS_SUSPECT_KEYS_MAX];
  size_t key_count;
  uint64_t crashed_ms;
  bool explained;
  bool caught_up;
};

/* Creates a collector without evidence.  HOST is the name of this host.
   Returns 0 or DS_ENOMEM.  */
int
ds_crash_evidence_new (struct ds_crash_evidence **out, TALLOC_CTX *owner,
                       struct tevent_context *ev,
                       const struct ds_connection_pool *pool,
                       struct ds_str host)
{
  *out = talloc_zero (owner, struct ds_crash_evidence);
  if (*out == NULL)
    return DS_ENOMEM;
  (*out)->ev = ev;
  (*out)->pool = pool;
  (*out)->host = (uint32_t)ds_str_hash (host, HOST_SEED);
  return ds_crash_suspects_new (&(*out)->suspects, *out, (*out)->host);
}

/* Sets what is called when a crash was counted, or a cause found or
   cleared.  */
void
ds_crash_evidence_set_listener (struct ds_crash_evidence *evidence,
                                void (*on_change) (void *user_data),
                                void *user_data)
{
  evidence->on_change = on_change;
  evidence->user_data = user_data;
}

/* The hash of this host in crashes that it has seen.  */
uint32_t
ds_crash_evidence_host (const struct ds_crash_evidence *evidence)
{
  return evidence->host;
}

static void
report_change (const struct ds_crash_evidence *evidence)
{
  if (evidence->on_change != NULL)
    evidence->on_change (evidence->user_data);
}

/* The suspects that the evidence leads to.  */
struct ds_crash_suspects *
ds_crash_evidence_suspects (struct ds_crash_evidence *evidence)
{
  return evidence->suspects;
}

/* Logs that requests with KEY are refused from now on, or no longer.  PEER is
   the host whose report has led to it, empty for this host itself.  */
void
ds_crash_evidence_log_change (const struct ds_crash_evidence *evidence,
                              struct ds_suspect_key key,
                              enum ds_suspect_change change,
                              struct ds_str peer)
{
  struct ds_decision_line line;

  if (change == DS_SUSPECT_UNCHANGED)
    return;
  line = ds_decision_line_begin (change == DS_SUSPECT_BLOCKED
                                     ? "crash_cause_blocked"
                                     : "crash_cause_cleared",
                                 DS_STR_EMPTY);
  ds_decision_line_add_text (&line, "kind",
                             key.kind == DS_SUSPECT_PART ? DS_STR ("part")
                                                         : DS_STR ("request"));
  ds_decision_line_add_number (&line, "key", (int64_t)(key.hash >> 1));
  ds_decision_line_add_number (
      &line, "crashes",
      (int64_t)ds_crash_suspects_crashes (evidence->suspects, key));
  if (peer.length > 0)
    ds_decision_line_add_text (&line, "peer", peer);
  ds_decision_line_end (&line);
  report_change (evidence);
}

/* Adds what hosts have recorded in the store.  */
void
ds_crash_evidence_restore (struct ds_crash_evidence *evidence,
                           const struct ds_suspect_report *report)
{
  ds_crash_evidence_log_change (
      evidence, report->key,
      ds_crash_suspects_restore (evidence->suspects, report, ds_clock_ms ()),
      DS_STR ("store"));
}

static void
log_crash (const struct pending_crash *crash, bool counted, size_t crashes)
{
  struct ds_decision_line line = ds_decision_line_begin (
      "replica_crash", ds_str_from_c (crash->request_id));

  ds_decision_line_add_text (&line, "replica", crash->replica->record.id);
  ds_decision_line_add_number (&line, "counted", counted);
  ds_decision_line_add_number (&line, "explained", crash->explained);
  ds_decision_line_add_number (&line, "crashes", (int64_t)crashes);
  ds_decision_line_end (&line);
}

static void
count_crash (struct pending_crash *crash)
{
  struct ds_crash_suspects *suspects = crash->evidence->suspects;
  size_t most = 0;

  for (size_t i = 0; i < crash->key_count; i++)
    {
      size_t crashes;

      ds_crash_evidence_log_change (
          crash->evidence, crash->keys[i],
          ds_crash_suspects_record (suspects, crash->keys[i],
                                    crash->replica->hash, crash->crashed_ms,
                                    ds_clock_ms ()),
          DS_STR_EMPTY);
      crashes = ds_crash_suspects_crashes (suspects, crash->keys[i]);
      if (crashes > most)
        most = crashes;
    }
  log_crash (crash, true, most);
  report_change (crash->evidence);
}

/* Decides whether the replica has crashed: one that has not keeps the other
   connections of this host.  */
static void
on_seen (void *user_data)
{
  struct pending_crash *crash = user_data;

  if (!crash->caught_up)
    {
      crash->caught_up = true;
      (void)ds_timer_add (crash->evidence->ev, crash, CATCH_UP_MS, on_seen,
                          crash);
      return;
    }
  if (ds_connection_pool_has_connection (crash->evidence->pool,
                                         crash->replica))
    log_crash (crash, false, 0);
  else
    count_crash (crash);
  talloc_free (crash);
}

static bool
is_blocked (const struct ds_crash_evidence *evidence,
            struct ds_suspect_key key)
{
  return ds_crash_suspects_wait_ms (evidence->suspects, &key, 1,
                                    ds_clock_ms ())
         > 0;
}

/* Keeps the keys of ATTEMPT that may have caused the crash.  Parts of a prompt
   crash a replica as it begins the answer.  A crash that a blocked key
   explains says nothing about the others.  */
static void
select_keys (struct pending_crash *crash,
             const struct ds_failed_attempt *attempt)
{
  for (size_t i = 0; i < attempt->key_count; i++)
    crash->explained
        = crash->explained || is_blocked (crash->evidence, attempt->keys[i]);
  for (size_t i = 0; i < attempt->key_count; i++)
    {
      struct ds_suspect_key key = attempt->keys[i];

      if (key.kind == DS_SUSPECT_PART
          && (attempt->fell_silent || attempt->answer_begun))
        continue;
      if (!crash->explained || is_blocked (crash->evidence, key))
        crash->keys[crash->key_count++] = key;
    }
}

/* Adds a failed attempt.  A replica that closed the connection has crashed
   only if its other connections end as well, which shows a moment later; one
   that fell silent may be behind a broken path, and counts against the request
   alone.  */
void
ds_crash_evidence_add_failure (struct ds_crash_evidence *evidence,
                               const struct ds_failed_attempt *attempt)
{
  struct pending_crash *crash = talloc_zero (evidence, struct pending_crash);

  if (crash == NULL)
    return;
  crash->evidence = evidence;
  crash->crashed_ms = ds_clock_ms ();
  crash->request_id = talloc_strndup (crash, attempt->request_id.data,
                                      attempt->request_id.length);
  crash->replica = talloc_reference (crash, attempt->replica);
  select_keys (crash, attempt);
  if (crash->request_id == NULL || crash->replica == NULL
      || crash->key_count == 0)
    talloc_free (crash);
  else if (attempt->fell_silent)
    {
      count_crash (crash);
      talloc_free (crash);
    }
  else
    (void)ds_timer_add (evidence->ev, crash, CRASH_SEEN_MS, on_seen, crash);
}

/* Adds an answer to a request with KEYS that began at BEGAN_MS and has come
   further than one that crashes its replica.  */
void
ds_crash_evidence_add_success (struct ds_crash_evidence *evidence,
                               const struct ds_suspect_key *keys, size_t count,
                               uint64_t began_ms)
{
  for (size_t i = 0; i < count; i++)
    ds_crash_evidence_log_change (evidence, keys[i],
                                  ds_crash_suspects_clear (evidence->suspects,
                                                           keys[i], began_ms,
                                                           ds_clock_ms ()),
                                  DS_STR_EMPTY);
}
