#include "entry/entry_settings.h"
#include "base/json_file.h"

#include <jansson.h>

#define COUNT(rows) (sizeof (rows) / sizeof (rows)[0])

#define NUMBER(object, member, low, high, fallback)                           \
  {                                                                           \
    .name = #member, .type = DS_FIELD_NUMBER,                                 \
    .offset = offsetof (object, member), .minimum = (low), .maximum = (high), \
    .number = (fallback),                                                     \
  }
#define REAL(object, member, low, high)                                       \
  {                                                                           \
    .name = #member, .type = DS_FIELD_REAL,                                   \
    .offset = offsetof (object, member), .required = true, .minimum = (low),  \
    .maximum = (high),                                                        \
  }
#define OPTIONAL_REAL(object, member, low, high, fallback)                    \
  {                                                                           \
    .name = #member, .type = DS_FIELD_REAL,                                   \
    .offset = offsetof (object, member), .minimum = (low), .maximum = (high), \
    .real = (fallback),                                                       \
  }
#define REQUIRED(member, kind)                                                \
  {                                                                           \
    .name = #member, .type = (kind),                                          \
    .offset = offsetof (struct ds_entry_settings, member), .required = true,  \
    .minimum = 1,                                                             \
  }
#define OBJECT(member, rows)                                                  \
  {                                                                           \
    .name = #member, .type = DS_FIELD_OBJECT,                                 \
    .offset = offsetof (struct ds_entry_settings, member), .required = true,  \
    .members = (rows), .member_count = COUNT (rows),                          \
  }
#define OPTIONAL_OBJECT(member, rows)                                         \
  {                                                                           \
    .name = #member, .type = DS_FIELD_OBJECT,                                 \
    .offset = offsetof (struct ds_entry_settings, member), .members = (rows), \
    .member_count = COUNT (rows),                                             \
  }

static const struct ds_field retry_fields[] = {
  REAL (struct ds_retry_settings, ratio, 0, 10),
  OPTIONAL_REAL (struct ds_retry_settings, slack, 0, 1000000, 0),
  REAL (struct ds_retry_settings, window_s, 1, 3600),
};

static const struct ds_field release_fields[] = {
  NUMBER (struct ds_release_settings, span_ms, 0, 600000, 0),
  NUMBER (struct ds_release_settings, usable_ms, 0, 600000, 2400),
  NUMBER (struct ds_release_settings, rate_percent, 0, 10000, 0),
};

static const struct ds_field budget_fields[] = {
  NUMBER (struct ds_budget_settings, settle_ms, 50, 60000, 2000),
  NUMBER (struct ds_budget_settings, hold_ms, 100, 600000, 12000),
  NUMBER (struct ds_budget_settings, part_percent, 1, 1000, 80),
  NUMBER (struct ds_budget_settings, start_percent, 0, 100, 8),
  NUMBER (struct ds_budget_settings, minimum_tokens, 0, 10000000, 20000),
  NUMBER (struct ds_budget_settings, cushion_ms, 0, 60000, 1000),
  {
      .name = "release",
      .type = DS_FIELD_OBJECT,
      .offset = offsetof (struct ds_budget_settings, release),
      .members = release_fields,
      .member_count = COUNT (release_fields),
  },
};

static const struct ds_field replica_capacity_fields[] = {
  NUMBER (struct ds_capacity_options, min_samples, 1, 1000, 8),
  NUMBER (struct ds_capacity_options, report_ttl_ms, 500, 60000, 5000),
};

static const struct ds_field settings_fields[] = {
  REQUIRED (host, DS_FIELD_NAME),
  REQUIRED (zone, DS_FIELD_NAME),
  REQUIRED (region, DS_FIELD_NAME),
  REQUIRED (caller_address, DS_FIELD_ADDRESS),
  REQUIRED (readiness_address, DS_FIELD_ADDRESS),
  REQUIRED (directory_address, DS_FIELD_ADDRESS),
  REQUIRED (gossip_address, DS_FIELD_ADDRESS),
  REQUIRED (metrics_address, DS_FIELD_ADDRESS),
  REQUIRED (store_address, DS_FIELD_ADDRESS),
  {
      .name = "first_start",
      .type = DS_FIELD_BOOL,
      .offset = offsetof (struct ds_entry_settings, first_start),
  },
  REAL (struct ds_entry_settings, grace_s, 1, 3600),
  REAL (struct ds_entry_settings, address_ttl_s, 0, 3600),
  OPTIONAL_REAL (struct ds_entry_settings, config_apply_ms, 100, 600000, 2000),
  OPTIONAL_REAL (struct ds_entry_settings, drain_ms, 100, 600000, 2000),
  OPTIONAL_REAL (struct ds_entry_settings, cold_overage, 0, 1000, 1.5),
  OPTIONAL_REAL (struct ds_entry_settings, cold_slack, 0, 1000000, 5),
  OPTIONAL_REAL (struct ds_entry_settings, restore_hold_ms, 0, 60000, 2000),
  NUMBER (struct ds_entry_settings, log_lines_per_s, 0, 100000, 200),
  OPTIONAL_REAL (struct ds_entry_settings, cpu_share, 0, 1000, 1),
  OPTIONAL_REAL (struct ds_entry_settings, cpu_cores, 0, 1000, 1),
  OPTIONAL_REAL (struct ds_entry_settings, link_mbps, 0, 1000000, 1000),
  {
      .name = "spread_callers",
      .type = DS_FIELD_BOOL,
      .offset = offsetof (struct ds_entry_settings, spread_callers),
  },
  /* The default suits the smallest supported machine.  */
  OPTIONAL_REAL (struct ds_entry_settings, memory_mb, 32, 1048576, 88),
  OPTIONAL_REAL (struct ds_entry_settings, evacuation_ms, 100, 600000, 0),
  {
      .name = "zones",
      .type = DS_FIELD_NAME_MAP,
      .offset = offsetof (struct ds_entry_settings, zones),
  },
  OBJECT (retry, retry_fields),
  OBJECT (budget, budget_fields),
  OPTIONAL_OBJECT (replica_capacity, replica_capacity_fields),
};

/* Reads the settings file.  The error names the file, the field and the
   allowed values.  */
int
ds_entry_settings_load (struct ds_entry_settings **out, TALLOC_CTX *owner,
                        const char *path, struct ds_error *error)
{
  struct ds_field_location location = { .file = path, .path = "" };
  struct ds_entry_settings *settings = NULL;
  struct ds_problems *problems;
  struct ds_json_file *file = NULL;
  int status;

  if (ds_problems_new (&problems, NULL) != 0)
    return ds_error_set (error, DS_ENOMEM, "load settings", path,
                         "out of memory");
  status = ds_json_file_load (&file, problems, path, problems);
  if (status == 0)
    {
      settings = talloc_zero (owner, struct ds_entry_settings);
      status = settings != NULL ? 0 : DS_ENOMEM;
    }
  if (status == 0)
    status = ds_fields_read (settings, settings, file->root, settings_fields,
                             COUNT (settings_fields), &location, problems);
  /* An absent object is read as an empty one; here it switches off.  */
  if (status == 0 && json_object_get (file->root, "replica_capacity") == NULL)
    settings->replica_capacity
        = (struct ds_capacity_options){ .report_ttl_ms = 0 };
  if (status != 0)
    {
      if (file != NULL)
        ds_json_file_add_lines (file, problems, 0);
      if (ds_problems_to_error (problems, 0, "load settings", error) == 0)
        (void)ds_error_set (error, DS_ENOMEM, "load settings", path,
                            "out of memory");
      talloc_free (settings);
    }
  else
    *out = settings;
  ds_problems_free (problems);
  return status;
}

void
ds_entry_settings_free (struct ds_entry_settings *settings)
{
  talloc_free (settings);
}
