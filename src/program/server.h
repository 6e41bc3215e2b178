#ifndef DAISYSTEP_PROGRAM_SERVER_H
#define DAISYSTEP_PROGRAM_SERVER_H

#include "program/settings.h"

/* An entry host: the decision core with its adapters.  */
struct ds_server;

int ds_server_new (struct ds_server **out, const struct ds_settings *settings,
                   struct ds_error *error);
int ds_server_run (struct ds_server *server);
void ds_server_free (struct ds_server *server);

#endif
