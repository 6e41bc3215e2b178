#include "program/settings.h"
#include "base/json_file.h"

#include "daisystep/log.h"

#include <inttypes.h>

#define SECOND_MS ((uint64_t)1000)
#define MINUTE_MS (60 * SECOND_MS)
#define HOUR_MS (60 * MINUTE_MS)
#define KIB ((uint64_t)1024)
#define MIB (1024 * KIB)
/* The peer protocol limits a frame to 1 MiB.  */
#define FRAME_BYTES_MAX MIB
#define SECRET_BYTES_MAX 4096

#define COUNT(rows) (sizeof (rows) / sizeof (rows)[0])

#define NUMBER(object, member, low, high, default_value)                      \
  {                                                                           \
    .name = #member, .type = DS_FIELD_NUMBER,                                 \
    .offset = offsetof (object, member), .minimum = (low), .maximum = (high), \
    .number = (default_value),                                                \
  }
#define REQUIRED(object, member, kind)                                        \
  {                                                                           \
    .name = #member, .type = (kind), .offset = offsetof (object, member),     \
    .required = true, .minimum = 1,                                           \
  }
#define SECRET(object, member)                                                \
  {                                                                           \
    .name = #member, .type = DS_FIELD_SECRET,                                 \
    .offset = offsetof (object, member), .minimum = 1,                        \
    .maximum = SECRET_BYTES_MAX, .text = "",                                  \
  }
#define OBJECT(member, rows, is_required)                                     \
  {                                                                           \
    .name = #member, .type = DS_FIELD_OBJECT,                                 \
    .offset = offsetof (struct ds_settings, member),                          \
    .required = (is_required), .members = (rows),                             \
    .member_count = COUNT (rows),                                             \
  }

/* In the order of enum ds_log_level.  */
static const char *const log_levels[]
    = { "error", "warning", "info", "debug", NULL };

static const struct ds_field platform_fields[] = {
  REQUIRED (struct ds_settings_platform, url, DS_FIELD_URL),
  SECRET (struct ds_settings_platform, token),
  NUMBER (struct ds_settings_platform, timeout_ms, 10, 5 * MINUTE_MS,
          5 * SECOND_MS),
};

static const struct ds_field limits_fields[] = {
  NUMBER (struct ds_settings_limits, body_bytes, KIB, 64 * MIB, 4 * MIB),
  NUMBER (struct ds_settings_limits, header_bytes, KIB, MIB, 16 * KIB),
  NUMBER (struct ds_settings_limits, frame_bytes, 4 * KIB, FRAME_BYTES_MAX,
          FRAME_BYTES_MAX),
  NUMBER (struct ds_settings_limits, connections, 1, 65536, 8192),
  NUMBER (struct ds_settings_limits, queued_requests, 1, 65536, 1024),
};

static const struct ds_field timeouts_fields[] = {
  NUMBER (struct ds_settings_timeouts, connect_ms, 10, MINUTE_MS, SECOND_MS),
  NUMBER (struct ds_settings_timeouts, first_byte_ms, 10, HOUR_MS, MINUTE_MS),
  NUMBER (struct ds_settings_timeouts, progress_ms, 10, HOUR_MS,
          30 * SECOND_MS),
  NUMBER (struct ds_settings_timeouts, request_ms, 10, 24 * HOUR_MS,
          10 * MINUTE_MS),
  NUMBER (struct ds_settings_timeouts, draw_wait_ms, 10, 5 * MINUTE_MS,
          2 * SECOND_MS),
};

static const struct ds_field settings_fields[] = {
  REQUIRED (struct ds_settings, host, DS_FIELD_NAME),
  REQUIRED (struct ds_settings, zone, DS_FIELD_NAME),
  {
      .name = "region",
      .type = DS_FIELD_NAME,
      .offset = offsetof (struct ds_settings, region),
      .text = "",
  },
  REQUIRED (struct ds_settings, caller_address, DS_FIELD_ADDRESS),
  REQUIRED (struct ds_settings, operator_address, DS_FIELD_ADDRESS),
  REQUIRED (struct ds_settings, peer_address, DS_FIELD_ADDRESS),
  OBJECT (platform, platform_fields, true),
  SECRET (struct ds_settings, peer_key),
  NUMBER (struct ds_settings, worker_threads, 1, 64, 2),
  NUMBER (struct ds_settings, shards, 1, 64, 4),
  NUMBER (struct ds_settings, ledger_pages, 1, 4096, 8),
  {
      .name = "log_level",
      .type = DS_FIELD_CHOICE,
      .offset = offsetof (struct ds_settings, log_level),
      .choices = log_levels,
      .number = DS_LOG_INFO,
  },
  OBJECT (limits, limits_fields, false),
  OBJECT (timeouts, timeouts_fields, false),
  NUMBER (struct ds_settings, flush_ms, 10, 5 * MINUTE_MS, 2 * SECOND_MS),
  NUMBER (struct ds_settings, idle_ms, 100, HOUR_MS, 10 * SECOND_MS),
  NUMBER (struct ds_settings, backups, 0, 3, 3),
  NUMBER (struct ds_settings, heartbeat_ms, 10, MINUTE_MS, 500),
  NUMBER (struct ds_settings, suspect_ms, 20, 10 * MINUTE_MS, 2 * SECOND_MS),
  NUMBER (struct ds_settings, address_valid_ms, 100, HOUR_MS, 30 * SECOND_MS),
  NUMBER (struct ds_settings, drain_min_ms, 0, HOUR_MS, 30 * SECOND_MS),
  NUMBER (struct ds_settings, drain_max_ms, 0, 24 * HOUR_MS, 15 * MINUTE_MS),
  {
      .name = "allow_link_blocking",
      .type = DS_FIELD_BOOL,
      .offset = offsetof (struct ds_settings, allow_link_blocking),
  },
};

/* Two values, of which the first must not exceed the second.  */
struct value_order_rule
{
  const char *smaller_name;
  uint64_t smaller;
  const char *larger_name;
  uint64_t larger;
};

static int
check_value_order (const struct ds_settings *settings, const char *path,
                   struct ds_problems *problems)
{
  const struct value_order_rule rules[] = {
    /* A host must miss a full heartbeat before it is suspected.  */
    { "heartbeat_ms", 2 * settings->heartbeat_ms, "suspect_ms",
      settings->suspect_ms },
    /* Callers may use a drained host's address for that long.  */
    { "address_valid_ms", settings->address_valid_ms, "drain_min_ms",
      settings->drain_min_ms },
    { "drain_min_ms", settings->drain_min_ms, "drain_max_ms",
      settings->drain_max_ms },
    { "timeouts.first_byte_ms", settings->timeouts.first_byte_ms,
      "timeouts.request_ms", settings->timeouts.request_ms },
    { "timeouts.progress_ms", settings->timeouts.progress_ms,
      "timeouts.request_ms", settings->timeouts.request_ms },
  };
  int status = 0;

  for (size_t i = 0; i < COUNT (rules); i++)
    {
      struct ds_field_location location
          = { .file = path, .path = rules[i].larger_name };

      if (rules[i].smaller > rules[i].larger)
        status = ds_problems_add (
            problems, DS_ERANGE, &location, 0,
            "value %" PRIu64 " is not allowed; allowed: at least %" PRIu64
            " because of %s",
            rules[i].larger, rules[i].smaller, rules[i].smaller_name);
    }
  return status;
}

static int
check_distinct_addresses (const struct ds_settings *settings, const char *path,
                          struct ds_problems *problems)
{
  const struct
  {
    const char *name;
    struct ds_str address;
  } listeners[] = {
    { "caller_address", settings->caller_address },
    { "operator_address", settings->operator_address },
    { "peer_address", settings->peer_address },
  };
  int status = 0;

  for (size_t i = 1; i < COUNT (listeners); i++)
    for (size_t j = 0; j < i; j++)
      {
        struct ds_field_location location
            = { .file = path, .path = listeners[i].name };

        if (ds_str_equal (listeners[i].address, listeners[j].address))
          status = ds_problems_add (
              problems, DS_EINVAL, &location, 0,
              "value \"%s\" is not allowed; allowed: another address than %s",
              listeners[i].address.data, listeners[j].name);
      }
  return status;
}

/* Reads the settings file PATH and adds every problem to PROBLEMS.  OWNER owns
   OUT.  On failure OUT is null and the code of a problem is returned.  */
int
ds_settings_read (struct ds_settings **out, TALLOC_CTX *owner,
                  const char *path, struct ds_problems *problems)
{
  struct ds_field_location location = { .file = path, .path = "" };
  struct ds_settings *settings = talloc_zero (owner, struct ds_settings);
  struct ds_json_file *file = NULL;
  size_t first = problems->count;
  int status;

  *out = NULL;
  if (settings == NULL)
    return DS_ENOMEM;
  status = ds_json_file_load (&file, settings, path, problems);
  if (status != 0)
    goto fail;
  status = ds_fields_read (settings, settings, file->root, settings_fields,
                           COUNT (settings_fields), &location, problems);
  if (status == 0)
    status = check_value_order (settings, path, problems);
  if (status == 0)
    status = check_distinct_addresses (settings, path, problems);
  ds_json_file_add_lines (file, problems, first);
  if (status != 0)
    goto fail;
  ds_json_file_free (file);
  *out = settings;
  return 0;

fail:
  talloc_free (settings);
  return status;
}

/* Reads the settings file PATH.  ERROR gives the file, field, value and
   allowed values of the first problem.  Returns DS_EIO if the file cannot be
   read, DS_EINVAL or DS_ERANGE for invalid content.  */
int
ds_settings_load (struct ds_settings **out, TALLOC_CTX *owner,
                  const char *path, struct ds_error *error)
{
  struct ds_problems *problems;
  int status;

  if (ds_problems_new (&problems, NULL) != 0)
    return ds_error_set (error, DS_ENOMEM, "load settings", path,
                         "out of memory");
  status = ds_settings_read (out, owner, path, problems);
  if (status != 0
      && ds_problems_to_error (problems, 0, "load settings", error) == 0)
    (void)ds_error_set (error, DS_ENOMEM, "load settings", path,
                        "out of memory");
  ds_problems_free (problems);
  return status;
}

void
ds_settings_free (struct ds_settings *settings)
{
  talloc_free (settings);
}
