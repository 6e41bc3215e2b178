#ifndef DS_BASE_DECISION_LOG_H
#define DS_BASE_DECISION_LOG_H

#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

/* The longest line; fields that do not fit are omitted.  */
#define DS_DECISION_LINE_BYTES 1024

/* A line under construction.  */
struct ds_decision_line
{
  char text[DS_DECISION_LINE_BYTES];
  size_t length;
  bool enabled;
};

void ds_decision_log_open (const char *host, uint32_t lines_per_s);
struct ds_decision_line ds_decision_line_begin (const char *event,
                                                struct ds_str id);
void ds_decision_line_add_text (struct ds_decision_line *line, const char *key,
                                struct ds_str value);
void ds_decision_line_add_number (struct ds_decision_line *line,
                                  const char *key, int64_t value);
void ds_decision_line_end (struct ds_decision_line *line);
void ds_decision_log_flush (void);
uint64_t ds_decision_log_dropped (void);

#endif
