#ifndef DS_IO_CHUNK_FRAMING_H
#define DS_IO_CHUNK_FRAMING_H

#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

enum ds_chunk_state
{
  DS_CHUNK_SIZE, /* at the first digit; zero-initialised for a new body */
  DS_CHUNK_SIZE_DIGITS,
  DS_CHUNK_SIZE_SPACE,
  DS_CHUNK_EXTENSION,
  DS_CHUNK_SIZE_LF,
  DS_CHUNK_DATA,
  DS_CHUNK_DATA_CR,
  DS_CHUNK_DATA_LF,
  DS_CHUNK_TRAILERS /* after the last chunk */
};

/* Position in a body in chunks.  */
struct ds_chunk_framing
{
  enum ds_chunk_state state;
  uint64_t size; /* bytes of data that are left of the current chunk */
  unsigned digits;
};

size_t ds_chunk_framing_advance (struct ds_chunk_framing *framing,
                                 struct ds_str bytes, bool *valid);

#endif
