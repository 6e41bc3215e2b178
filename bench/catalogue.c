/* Measures memory and time of a catalogue of the target size.  Its payloads
   are minimal talloc chunks.  */

#include "daisystep/catalogue.h"
#include "daisystep/error.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define WORKSPACES 43000
#define BUDGETS 20000

struct payload
{
  int unused;
};

static double
monotonic_seconds (void)
{
  struct timespec time;

  (void)clock_gettime (CLOCK_MONOTONIC, &time);
  return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static void
put_all (struct ds_catalogue *catalogue, struct ds_str kind, uint32_t count,
         uint64_t version)
{
  for (uint32_t i = 0; i < count; i++)
    {
      struct payload *payload = talloc_zero (NULL, struct payload);
      char name[32];
      int length = snprintf (name, sizeof name, "object-%06u", i);

      if (ds_catalogue_put (
              catalogue, kind,
              (struct ds_str){ .data = name, .length = (size_t)length },
              version + i, payload)
          < 0)
        abort ();
    }
}

static int
count_entry (const struct ds_catalogue_entry *entry, void *context)
{
  uint64_t *count = context;

  *count += entry->sequence > 0;
  return 0;
}

int
main (void)
{
  const double entries = WORKSPACES + BUDGETS;
  struct ds_catalogue *catalogue;
  uint64_t cursor = 0;
  uint64_t count = 0;
  size_t heap = mallinfo2 ().uordblks;
  double begin = monotonic_seconds ();
  double fill_end;
  double change_end;

  if (ds_catalogue_new (&catalogue, NULL) < 0)
    return EXIT_FAILURE;
  put_all (catalogue, DS_STR ("Workspace"), WORKSPACES, 1);
  put_all (catalogue, DS_STR ("Budget"), BUDGETS, 100000);
  fill_end = monotonic_seconds ();
  heap = mallinfo2 ().uordblks - heap;
  put_all (catalogue, DS_STR ("Workspace"), WORKSPACES, 200000);
  put_all (catalogue, DS_STR ("Budget"), BUDGETS, 300000);
  change_end = monotonic_seconds ();
  (void)ds_catalogue_visit_changes (catalogue, &cursor, SIZE_MAX, count_entry,
                                    &count);
  printf ("metric catalogue_entries %.0f count\n", (double)count);
  printf ("metric catalogue_entry_bytes %.1f bytes\n", (double)heap / entries);
  printf ("metric catalogue_bytes %.0f bytes\n", (double)heap);
  printf ("metric catalogue_put_new_time %.0f ns\n",
          (fill_end - begin) / entries * 1e9);
  printf ("metric catalogue_put_change_time %.0f ns\n",
          (change_end - fill_end) / entries * 1e9);
  printf ("metric catalogue_list_time %.0f ns\n",
          (monotonic_seconds () - change_end) / entries * 1e9);
  ds_catalogue_free (catalogue);
  return EXIT_SUCCESS;
}
