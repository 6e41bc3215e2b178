#ifndef DAISYSTEP_HOST_H
#define DAISYSTEP_HOST_H

#include "daisystep/error.h"
#include "daisystep/journal.h"
#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

struct json_t;

enum ds_host_state
{
  DS_HOST_OPEN,
  /* A recovery has begun; the set of backups is final.  */
  DS_HOST_SEALED,
  /* No ledger page holds tokens of the incarnation any more.  */
  DS_HOST_CLOSED
};

struct ds_backup_ref
{
  uint64_t incarnation;
  struct ds_str host;
  struct ds_str peer_address;
};

/* The Host object of one incarnation of an entry host.  VERSION is the
   version stored in the platform.  */
struct ds_host
{
  uint64_t version;
  uint64_t incarnation;
  struct ds_str host;
  struct ds_str zone;
  struct ds_str peer_address;
  struct ds_str caller_address;
  enum ds_host_state state;
  bool draining;
  struct ds_backup_ref backups[DS_BACKUPS_MAX];
  size_t backup_count;
};

char *ds_host_object_name (TALLOC_CTX *owner, struct ds_str host,
                           uint64_t incarnation);
int ds_host_copy (struct ds_host **out, TALLOC_CTX *owner,
                  const struct ds_host *source);
int ds_host_to_json (struct json_t **out, const struct ds_host *host);
int ds_host_from_json (struct ds_host **out, TALLOC_CTX *owner,
                       const struct json_t *json, struct ds_error *error);

#endif
