#ifndef DAISYSTEP_STR_H
#define DAISYSTEP_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* A string with a length.  DATA need not be zero-terminated, may contain zero
   bytes and is borrowed unless a function says otherwise.  */
struct ds_str
{
  const char *data;
  size_t length;
};

#define DS_STR_EMPTY                                                          \
  ((struct ds_str){                                                           \
      .data = "",                                                             \
      .length = 0,                                                            \
  })

/* Wraps a string literal.  */
#define DS_STR(literal)                                                       \
  ((struct ds_str){                                                           \
      .data = (literal),                                                      \
      .length = sizeof (literal) - 1,                                         \
  })

/* Arguments for the printf conversion "%.*s".  */
#define DS_STR_ARG(string) (int)(string).length, (string).data

struct ds_str ds_str_from_c (const char *text);
struct ds_str ds_str_copy (TALLOC_CTX *owner, struct ds_str source);
bool ds_str_equal (struct ds_str a, struct ds_str b);
int ds_str_compare (struct ds_str a, struct ds_str b);
uint64_t ds_str_hash (struct ds_str string, uint64_t seed);
int ds_str_to_u64 (uint64_t *out, struct ds_str string);
bool ds_str_is_utf8 (struct ds_str string);

#endif
