#ifndef DAISYSTEP_IO_FRAME_H
#define DAISYSTEP_IO_FRAME_H

#include "daisystep/error.h"
#include "io/byte_queue.h"
#include "proto/peer.pb-c.h"

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* Size of the big-endian length prefix of each message.  */
#define DS_FRAME_HEADER_BYTES 4

/* Default limit on the message size of a frame, without the header.  */
#define DS_FRAME_BYTES_MAX ((size_t)1024 * 1024)

/* Decodes a byte stream into frames.  */
struct ds_frame_decoder;

int ds_frame_append (struct ds_byte_queue *queue,
                     const Daisystep__Peer__Envelope *envelope,
                     size_t bytes_max);

int ds_frame_decoder_new (struct ds_frame_decoder **out, TALLOC_CTX *owner,
                          size_t bytes_max);
void ds_frame_decoder_free (struct ds_frame_decoder *decoder);
void ds_frame_decoder_set_limit (struct ds_frame_decoder *decoder,
                                 size_t bytes_max);
int ds_frame_decoder_feed (struct ds_frame_decoder *decoder,
                           const uint8_t *bytes, size_t count);
int ds_frame_decoder_next (Daisystep__Peer__Envelope **out,
                           struct ds_frame_decoder *decoder,
                           struct ds_error *error);
void ds_frame_release (Daisystep__Peer__Envelope *envelope);

#endif
