#ifndef DAISYSTEP_ID_H
#define DAISYSTEP_ID_H

#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

#define DS_REQUEST_ID_BYTES 16
#define DS_REQUEST_ID_HEX_BYTES (2 * DS_REQUEST_ID_BYTES + 1)

/* Identifies a request: a digest of its workspace and of the id text given by
   the caller or its session.  */
struct ds_request_id
{
  uint8_t bytes[DS_REQUEST_ID_BYTES];
};

int ds_request_id_digest (struct ds_request_id *out, struct ds_str workspace,
                          struct ds_str text);
bool ds_request_id_equal (const struct ds_request_id *a,
                          const struct ds_request_id *b);
void ds_request_id_to_hex (char out[DS_REQUEST_ID_HEX_BYTES],
                           const struct ds_request_id *id);
int ds_request_id_from_hex (struct ds_request_id *out, struct ds_str hex);

#endif
