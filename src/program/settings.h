#ifndef DAISYSTEP_PROGRAM_SETTINGS_H
#define DAISYSTEP_PROGRAM_SETTINGS_H

#include "daisystep/error.h"
#include "daisystep/fields.h"
#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

struct ds_settings_platform
{
  /* "http://IP:PORT" or "https://IP:PORT".  */
  struct ds_str url;
  /* Empty if the platform requires no token.  */
  struct ds_str token;
  uint64_t timeout_ms;
};

struct ds_settings_limits
{
  uint64_t body_bytes;
  uint64_t header_bytes;
  uint64_t frame_bytes;
  uint64_t connections;
  uint64_t queued_requests;
};

struct ds_settings_timeouts
{
  uint64_t connect_ms;
  uint64_t first_byte_ms;
  uint64_t progress_ms;
  uint64_t request_ms;
  uint64_t draw_wait_ms;
};

/* The settings of one host.  Strings are null-terminated.
   docs/operators/settings.md describes every field.  */
struct ds_settings
{
  struct ds_str host;
  struct ds_str zone;
  struct ds_str region;
  /* "IP:PORT"; ds_address_parse reads them.  */
  struct ds_str caller_address;
  struct ds_str operator_address;
  struct ds_str peer_address;
  struct ds_settings_platform platform;
  /* Empty if peers are not authenticated.  */
  struct ds_str peer_key;
  uint64_t worker_threads;
  uint64_t shards;
  uint64_t ledger_pages;
  /* An enum ds_log_level.  */
  unsigned int log_level;
  struct ds_settings_limits limits;
  struct ds_settings_timeouts timeouts;
  uint64_t flush_ms;
  uint64_t idle_ms;
  uint64_t backups;
  uint64_t heartbeat_ms;
  uint64_t suspect_ms;
  uint64_t address_valid_ms;
  uint64_t drain_min_ms;
  uint64_t drain_max_ms;
  /* POST /v1/block on operator_address may block links to other hosts, for
     tests.  */
  bool allow_link_blocking;
};

int ds_settings_load (struct ds_settings **out, TALLOC_CTX *owner,
                      const char *path, struct ds_error *error);
int ds_settings_read (struct ds_settings **out, TALLOC_CTX *owner,
                      const char *path, struct ds_problems *problems);
void ds_settings_free (struct ds_settings *settings);

#endif
