#include "io/frame.h"

struct ds_frame_decoder
{
  struct ds_byte_queue input;
  size_t bytes_max;
};

static size_t
read_length (const uint8_t *bytes)
{
  return (size_t)bytes[0] << 24 | (size_t)bytes[1] << 16
         | (size_t)bytes[2] << 8 | (size_t)bytes[3];
}

static void
write_length (uint8_t *bytes, size_t length)
{
  bytes[0] = (uint8_t)(length >> 24);
  bytes[1] = (uint8_t)(length >> 16);
  bytes[2] = (uint8_t)(length >> 8);
  bytes[3] = (uint8_t)length;
}

/* Appends the frame of ENVELOPE to QUEUE.  DS_ERANGE, with QUEUE unchanged,
   when the message is empty or longer than BYTES_MAX; DS_ENOMEM.  */
int
ds_frame_append (struct ds_byte_queue *queue,
                 const Daisystep__Peer__Envelope *envelope, size_t bytes_max)
{
  size_t length = daisystep__peer__envelope__get_packed_size (envelope);
  uint8_t *frame;

  if (length == 0 || length > bytes_max)
    return DS_ERANGE;
  frame = ds_byte_queue_reserve (queue, DS_FRAME_HEADER_BYTES + length);
  if (frame == NULL)
    return DS_ENOMEM;
  write_length (frame, length);
  daisystep__peer__envelope__pack (envelope, frame + DS_FRAME_HEADER_BYTES);
  return 0;
}

/* Creates a decoder for messages of up to BYTES_MAX bytes.  */
int
ds_frame_decoder_new (struct ds_frame_decoder **out, TALLOC_CTX *owner,
                      size_t bytes_max)
{
  struct ds_frame_decoder *decoder = talloc (owner, struct ds_frame_decoder);

  if (decoder == NULL)
    return DS_ENOMEM;
  ds_byte_queue_init (&decoder->input, decoder);
  decoder->bytes_max = bytes_max;
  *out = decoder;
  return 0;
}

/* Frees DECODER and its buffered bytes.  */
void
ds_frame_decoder_free (struct ds_frame_decoder *decoder)
{
  talloc_free (decoder);
}

/* Sets the limit for the frames not yet decoded.  */
void
ds_frame_decoder_set_limit (struct ds_frame_decoder *decoder, size_t bytes_max)
{
  decoder->bytes_max = bytes_max;
}

/* Appends COUNT received bytes.  Call ds_frame_decoder_next until it returns
   no message before the next call, so that at most one frame and one read are
   buffered.  */
int
ds_frame_decoder_feed (struct ds_frame_decoder *decoder, const uint8_t *bytes,
                       size_t count)
{
  return ds_byte_queue_append (&decoder->input, bytes, count);
}

/* Stores the next complete message in OUT, to be freed with ds_frame_release,
   or null when more bytes are needed.  DS_EPROTOCOL for a frame that is empty,
   over the limit, malformed or of an unknown message kind; the connection is
   then unusable.  */
int
ds_frame_decoder_next (Daisystep__Peer__Envelope **out,
                       struct ds_frame_decoder *decoder,
                       struct ds_error *error)
{
  const uint8_t *bytes;
  Daisystep__Peer__Envelope *envelope;
  size_t length;

  *out = NULL;
  if (decoder->input.length < DS_FRAME_HEADER_BYTES)
    return 0;
  bytes = ds_byte_queue_front (&decoder->input);
  length = read_length (bytes);
  if (length == 0)
    return ds_error_set (error, DS_EPROTOCOL, "read frame", NULL,
                         "frame without content");
  if (length > decoder->bytes_max)
    return ds_error_set (error, DS_EPROTOCOL, "read frame", NULL,
                         "frame of %zu bytes, limit %zu", length,
                         decoder->bytes_max);
  if (decoder->input.length < DS_FRAME_HEADER_BYTES + length)
    return 0;
  envelope = daisystep__peer__envelope__unpack (NULL, length,
                                                bytes + DS_FRAME_HEADER_BYTES);
  if (envelope == NULL)
    return ds_error_set (error, DS_EPROTOCOL, "read frame", NULL,
                         "frame does not parse");
  if (envelope->body_case == DAISYSTEP__PEER__ENVELOPE__BODY__NOT_SET)
    {
      ds_frame_release (envelope);
      return ds_error_set (error, DS_EPROTOCOL, "read frame", NULL,
                           "unknown message kind");
    }
  ds_byte_queue_consume (&decoder->input, DS_FRAME_HEADER_BYTES + length);
  *out = envelope;
  return 0;
}

/* Frees a message returned by ds_frame_decoder_next.  */
void
ds_frame_release (Daisystep__Peer__Envelope *envelope)
{
  daisystep__peer__envelope__free_unpacked (envelope, NULL);
}
