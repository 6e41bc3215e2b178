#ifndef REVIEW_TENANTS_H
#define REVIEW_TENANTS_H

#include "play.h"

/* Tenants that send requests to an engine, and what they got.  */

#define TENANTS_MAX 24

enum phase
{
  QUIET,
  CALM, /* 20,000 tokens a second of each tenant */
  BUSY, /* 100,000 */
  FINAL /* as many as are served */
};

extern struct play_tenant tenants[TENANTS_MAX];

void tenants_set_phase (enum phase phase, uint64_t stagger_ms);
void tenants_start (int count, int hosts, long prepaid);
void tenants_raise (long tokens);
int tenants_check (void);
bool tenants_engine (struct play_request *request, void *state);

#endif
