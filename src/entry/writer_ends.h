#ifndef DS_ENTRY_WRITER_ENDS_H
#define DS_ENTRY_WRITER_ENDS_H

#include "core/grant_release.h"
#include "entry/fleet_view.h"

struct ds_release_moment
ds_fleet_view_release_moment (struct ds_fleet_view *view);
struct ds_writer_ends ds_fleet_view_writer_ends (struct ds_fleet_view *view);

#endif
