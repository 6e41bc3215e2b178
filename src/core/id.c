#include "daisystep/id.h"
#include "daisystep/error.h"

#include <glib.h>
#include <string.h>

/* Digests WORKSPACE and TEXT with SHA-256, truncated to 128 bits.  The digest
   covers the length of WORKSPACE, so that different pairs are never the same
   input and a caller cannot choose a text that collides with another
   workspace's id.  */
int
ds_request_id_digest (struct ds_request_id *out, struct ds_str workspace,
                      struct ds_str text)
{
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  uint64_t length = workspace.length;
  uint8_t digest[32];
  gsize digest_length = sizeof digest;

  if (checksum == NULL)
    return DS_ENOMEM;
  g_checksum_update (checksum, (const guchar *)&length, sizeof length);
  g_checksum_update (checksum, (const guchar *)workspace.data,
                     (gssize)workspace.length);
  g_checksum_update (checksum, (const guchar *)text.data, (gssize)text.length);
  g_checksum_get_digest (checksum, digest, &digest_length);
  g_checksum_free (checksum);
  memcpy (out->bytes, digest, sizeof out->bytes);
  return 0;
}

/* Whether A and B identify the same request.  */
bool
ds_request_id_equal (const struct ds_request_id *a,
                     const struct ds_request_id *b)
{
  return memcmp (a->bytes, b->bytes, sizeof a->bytes) == 0;
}

/* Writes ID as null-terminated lower-case hexadecimal.  */
void
ds_request_id_to_hex (char out[DS_REQUEST_ID_HEX_BYTES],
                      const struct ds_request_id *id)
{
  static const char digits[] = "0123456789abcdef";

  for (size_t i = 0; i < DS_REQUEST_ID_BYTES; i++)
    {
      out[2 * i] = digits[id->bytes[i] >> 4];
      out[2 * i + 1] = digits[id->bytes[i] & 15];
    }
  out[DS_REQUEST_ID_HEX_BYTES - 1] = '\0';
}

/* Parses the text that ds_request_id_to_hex writes, in either case; DS_EINVAL
   for any other.  */
int
ds_request_id_from_hex (struct ds_request_id *out, struct ds_str hex)
{
  if (hex.length != DS_REQUEST_ID_HEX_BYTES - 1)
    return DS_EINVAL;
  for (size_t i = 0; i < DS_REQUEST_ID_BYTES; i++)
    {
      int high = g_ascii_xdigit_value (hex.data[2 * i]);
      int low = g_ascii_xdigit_value (hex.data[2 * i + 1]);

      if (high < 0 || low < 0)
        return DS_EINVAL;
      out->bytes[i] = (uint8_t)(high << 4 | low);
    }
  return 0;
}
