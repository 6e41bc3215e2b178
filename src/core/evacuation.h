#ifndef DS_CORE_EVACUATION_H
#define DS_CORE_EVACUATION_H

#include "daisystep/str.h"

/* The zones whose replicas get no requests.  */
struct ds_evacuations;

/* What hosts tell each other of an evacuation: the revision of its object, and
   the time since the store last confirmed it to a host.  */
struct ds_evacuation_report
{
  struct ds_str zone;
  uint64_t revision;
  uint64_t age_ms;
};

/* Evacuations in one datagram or summary.  */
#define DS_EVACUATION_REPORTS_MAX 16

int ds_evacuations_new (struct ds_evacuations **out, TALLOC_CTX *owner);
void ds_evacuations_begin_list (struct ds_evacuations *set);
bool ds_evacuations_put (struct ds_evacuations *set, struct ds_str zone,
                         uint64_t revision);
bool ds_evacuations_remove (struct ds_evacuations *set, struct ds_str zone,
                            uint64_t now_ms);
void ds_evacuations_begin_era (struct ds_evacuations *set, uint64_t keep_ms);
void ds_evacuations_end_list (struct ds_evacuations *set, uint64_t now_ms);
void ds_evacuations_end_incomplete_list (struct ds_evacuations *set);
void ds_evacuations_apply (struct ds_evacuations *set, uint64_t revision,
                           uint64_t asked_ms, uint64_t now_ms);
bool ds_evacuations_report (struct ds_evacuations *set,
                            const struct ds_evacuation_report *report,
                            uint64_t now_ms);
void ds_evacuations_expire (struct ds_evacuations *set, uint64_t now_ms);
size_t ds_evacuations_list_reports (const struct ds_evacuations *set,
                                    struct ds_evacuation_report *out,
                                    uint64_t now_ms);
bool ds_evacuations_is_listed (const struct ds_evacuations *set);
size_t ds_evacuations_count (const struct ds_evacuations *set);
bool ds_evacuations_cover (const struct ds_evacuations *set,
                           struct ds_str zone);
uint64_t ds_evacuations_ended_ms (const struct ds_evacuations *set,
                                  struct ds_str zone);

#endif
