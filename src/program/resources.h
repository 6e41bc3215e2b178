#ifndef DAISYSTEP_PROGRAM_RESOURCES_H
#define DAISYSTEP_PROGRAM_RESOURCES_H

struct json_t;

/* The actions of "daisystep resources", one file each.  They return an exit
   status of enum ds_exit_status.  */
int ds_resources_apply (int argc, char **argv);
int ds_resources_get (int argc, char **argv);
int ds_resources_watch (int argc, char **argv);
int ds_resources_delete (int argc, char **argv);

struct json_t *ds_json_diff (const struct json_t *before,
                             const struct json_t *after, const char *path);
void ds_json_diff_print (const struct json_t *changes);

#endif
