#include "core/address_regions.h"
#include "core/region_rule.h"
#include "platform/config_codec.h"

#include <check.h>
#include <jansson.h>
#include <stdlib.h>

/* Routes of four host names, and workspaces: limited, not limited, limited
   twice without a common region, and limited by what is no list of names.  */
static const char config_text[]
    = "{\"version\":1,\"routes\":["
      "{\"host\":\"one.example\",\"path_prefix\":\"/a/\",\"service\":\"s\","
      "\"allowed_regions\":[\"north\",\"south\"]},"
      "{\"host\":\"one.example\",\"path_prefix\":\"/b/\",\"service\":\"s\"},"
      "{\"host\":\"free.example\",\"path_prefix\":\"/a/\",\"service\":\"s\","
      "\"allowed_regions\":null},"
      "{\"host\":\"two.example\",\"path_prefix\":\"/a/\",\"service\":\"s\","
      "\"allowed_regions\":[\"north\"]},"
      "{\"host\":\"two.example\",\"path_prefix\":\"/b/\",\"service\":\"s\","
      "\"allowed_regions\":[\"south\"]},"
      "{\"host\":\"odd.example\",\"path_prefix\":\"/a/\",\"service\":\"s\","
      "\"allowed_regions\":\"north\"}],"
      "\"tenants\":[{\"name\":\"w\",\"allowed_regions\":[\"south\",7]}]}";

static TALLOC_CTX *owner;
static struct ds_routing_config *config;

static void
set_up (void)
{
  json_t *spec = json_loads (config_text, 0, NULL);
  struct ds_error error;

  owner = talloc_new (NULL);
  ck_assert_ptr_nonnull (spec);
  ck_assert_int_eq (ds_config_decode (&config, owner, spec, &error), 0);
  json_decref (spec);
}

static void
tear_down (void)
{
  talloc_free (owner);
}

/* Guards against a rule of the route or the workspace that is ignored, a zone
   of unknown region that counts as allowed, and a rule that cannot be read
   that allows all regions.  */
START_TEST (both_rules_apply_to_the_region_of_a_zone)
{
  struct ds_name_pair pairs[] = {
    { DS_STR ("z1"), DS_STR ("north") },
    { DS_STR ("z2"), DS_STR ("south") },
    { DS_STR ("z3"), DS_STR ("east") },
  };
  const struct ds_name_map zones = { .items = pairs, .count = 3 };
  const struct
  {
    int route; /* -1 for none */
    bool workspace;
    bool allowed[4]; /* z1, z2, z3, unknown */
  } cases[] = {
    { -1, false, { true, true, true, true } },
    { 0, false, { true, true, false, false } },
    { 0, true, { false, true, false, false } },
    { 1, false, { true, true, true, true } },
    { 1, true, { false, true, false, false } },
    { 3, true, { false, false, false, false } },
    { 5, false, { false, false, false, false } },
  };
  const struct ds_str names[]
      = { DS_STR ("z1"), DS_STR ("z2"), DS_STR ("z3"), DS_STR ("z4") };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct ds_region_rule rule = {
        .zones = &zones,
        .route = cases[i].route < 0
                     ? NULL
                     : &config->routes[cases[i].route].allowed_regions,
        .workspace
        = cases[i].workspace ? &config->workspaces[0].allowed_regions : NULL,
      };

      for (int k = 0; k < 4; k++)
        ck_assert_msg (ds_region_rule_allows_zone (&rule, names[k])
                           == cases[i].allowed[k],
                       "case %zu, zone %d", i, k);
    }
}
END_TEST

/* Guards against callers that are led to a region that a route of the name
   does not allow, and against a caller without an address while its own region
   has hosts.  */
START_TEST (callers_enter_through_allowed_regions_or_their_own)
{
  const struct
  {
    const char *host;
    const char *region;
    const char *named; /* first letters of the regions of the hosts named */
  } cases[] = {
    { "free.example", "east", "nse" }, { "other.example", "west", "nse" },
    { "ONE.example", "north", "ns" },  { "one.example", "east", "ns" },
    { "one.example", "", "ns" },       { "two.example", "east", "e" },
    { "two.example", "north", "n" },   { "odd.example", "south", "s" },
    { "two.example", "west", "" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct ds_address_candidate hosts[] = { { .region = DS_STR ("north") },
                                              { .region = DS_STR ("south") },
                                              { .region = DS_STR ("east") } };
      size_t count = ds_address_limit_regions (
          hosts, 3, config, ds_str_from_c (cases[i].host),
          ds_str_from_c (cases[i].region));

      ck_assert_uint_eq (count, ds_str_from_c (cases[i].named).length);
      for (size_t k = 0; k < count; k++)
        ck_assert_int_eq (hosts[k].region.data[0], cases[i].named[k]);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("region_rule");
  TCase *test_case = tcase_create ("region_rule");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case, both_rules_apply_to_the_region_of_a_zone);
  tcase_add_test (test_case,
                  callers_enter_through_allowed_regions_or_their_own);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
