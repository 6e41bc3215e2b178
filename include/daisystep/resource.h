#ifndef DAISYSTEP_RESOURCE_H
#define DAISYSTEP_RESOURCE_H

#include "daisystep/error.h"
#include "daisystep/fields.h"
#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

/* Largest token count that every JSON parser represents exactly.  */
#define DS_TOKENS_MAX ((uint64_t)1 << 53)
/* Limit on the cost of one call and on the output of one answer, in tokens. */
#define DS_CALL_TOKENS_MAX 1048576

struct json_t;

/* The kinds of objects that operators write.  */
enum ds_resource_kind
{
  DS_RESOURCE_WORKSPACE,
  DS_RESOURCE_BUDGET,
  DS_RESOURCE_OFFERING,
  DS_RESOURCE_UPSTREAM
};

#define DS_RESOURCE_KINDS 4

enum ds_offering_type
{
  DS_OFFERING_MODEL,
  DS_OFFERING_SERVICE
};

enum ds_upstream_state
{
  DS_UPSTREAM_ACTIVE,
  DS_UPSTREAM_LEAVING
};

struct ds_workspace
{
  struct ds_str budget;
  /* SHA-256 of each key, 64 lower-case hexadecimal digits.  */
  struct ds_str_list key_sha256;
  uint64_t priority;
  struct ds_str_list offerings;
};

struct ds_budget
{
  /* Tokens.  */
  uint64_t prepaid;
  /* Share of the remaining tokens that one draw takes.  */
  uint64_t draw_percent;
};

struct ds_offering
{
  /* An enum ds_offering_type.  */
  unsigned int type;
  /* MODEL and ADAPTER are the names that the model servers use; ADAPTER is
     empty for the base model.  */
  struct ds_str model;
  struct ds_str adapter;
  /* Limit on the output of one answer of a model.  */
  uint64_t max_output_tokens;
  /* Cost of one call of a service.  */
  uint64_t tokens_per_call;
  bool repeatable;
  /* Age of the configuration after which a host without contact to the
     platform rejects calls; 0 for no limit.  */
  uint64_t max_config_age_ms;
};

struct ds_upstream
{
  struct ds_str address;
  struct ds_str zone;
  struct ds_str_list offerings;
  /* An enum ds_upstream_state.  */
  unsigned int state;
  uint64_t max_in_flight;
  /* The upstream rejects commands with an outdated fencing number.  */
  bool checks_fencing;
};

/* A declared resource.  VERSION is 0 if it is not stored in the platform.  */
struct ds_resource
{
  enum ds_resource_kind kind;
  struct ds_str name;
  uint64_t version;
  union
  {
    struct ds_workspace workspace;
    struct ds_budget budget;
    struct ds_offering offering;
    struct ds_upstream upstream;
  };
};

/* A resource and where it was declared.  */
struct ds_resource_entry
{
  const struct ds_resource *resource;
  struct ds_field_location location;
};

const char *ds_resource_kind_name (enum ds_resource_kind kind);
int ds_resource_kind_parse (enum ds_resource_kind *out, struct ds_str name);
int ds_resource_from_json (struct ds_resource **out, TALLOC_CTX *owner,
                           const struct json_t *json, struct ds_error *error);
int ds_resource_read (struct ds_resource **out, TALLOC_CTX *owner,
                      const struct json_t *json,
                      const struct ds_field_location *location,
                      struct ds_problems *problems);
void ds_resource_free (struct ds_resource *resource);
int ds_resources_check (const struct ds_resource_entry *entries, size_t count,
                        struct ds_problems *problems);

#endif
