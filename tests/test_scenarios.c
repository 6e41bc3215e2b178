#include "support/model.h"

#include <check.h>
#include <glib.h>
#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Runs the Lua scripts in tests/scenarios and the traces in tests/traces on a
   simulated fleet.  A script creates its fleet with fleet {…} and drives it
   with the functions below; hosts, budgets and requests are numbered from
   zero.  */

static const char model_key = 'm';

static struct model *
require_model (lua_State *lua)
{
  struct model *model;

  lua_rawgetp (lua, LUA_REGISTRYINDEX, &model_key);
  model = lua_touserdata (lua, -1);
  lua_pop (lua, 1);
  if (model == NULL)
    luaL_error (lua, "call fleet {...} first");
  return model;
}

static void
check_invariants (lua_State *lua, struct model *model)
{
  if (model_failure (model) != NULL)
    luaL_error (lua, "invariant violated: %s", model_failure (model));
}

static void
drop_model (lua_State *lua)
{
  lua_rawgetp (lua, LUA_REGISTRYINDEX, &model_key);
  if (lua_touserdata (lua, -1) != NULL)
    model_free (lua_touserdata (lua, -1));
  lua_pop (lua, 1);
  lua_pushnil (lua);
  lua_rawsetp (lua, LUA_REGISTRYINDEX, &model_key);
}

static lua_Integer
option (lua_State *lua, const char *name, lua_Integer otherwise)
{
  lua_Integer value;

  lua_getfield (lua, 1, name);
  value = luaL_optinteger (lua, -1, otherwise);
  lua_pop (lua, 1);
  return value;
}

static int
fleet (lua_State *lua)
{
  struct model_options options = MODEL_OPTIONS_DEFAULT;

  luaL_checktype (lua, 1, LUA_TTABLE);
  drop_model (lua);
  options.seed = (uint64_t)option (lua, "seed", 1);
  options.hosts = (int)option (lua, "hosts", 4);
  options.budgets = (int)option (lua, "budgets", 1);
  options.pages = (int)option (lua, "pages", 1);
  options.prepaid = (uint64_t)option (lua, "prepaid", 1000);
  options.weakness = (enum model_weakness)option (lua, "weakness", 0);
  lua_pushlightuserdata (lua, model_new (&options));
  lua_rawsetp (lua, LUA_REGISTRYINDEX, &model_key);
  model_run (require_model (lua), 3000);
  return 0;
}

static int
arrive (lua_State *lua)
{
  struct model *model = require_model (lua);
  int request = model_arrive (model, (int)luaL_checkinteger (lua, 1),
                              (int)luaL_checkinteger (lua, 2),
                              (uint64_t)luaL_checkinteger (lua, 3),
                              (uint64_t)luaL_checkinteger (lua, 4));

  check_invariants (lua, model);
  lua_pushinteger (lua, request);
  return 1;
}

static int
query (lua_State *lua)
{
  struct model *model = require_model (lua);
  const char *answer = model_repeat_request (
      model, (int)luaL_checkinteger (lua, 1), (int)luaL_checkinteger (lua, 2));

  check_invariants (lua, model);
  lua_pushstring (lua, answer);
  return 1;
}

static int
run (lua_State *lua)
{
  struct model *model = require_model (lua);

  model_run (model, (uint64_t)luaL_checkinteger (lua, 1));
  check_invariants (lua, model);
  return 0;
}

static int
settle (lua_State *lua)
{
  struct model *model = require_model (lua);

  model_finish_and_check (model);
  check_invariants (lua, model);
  return 0;
}

static int
lose_answers (lua_State *lua)
{
  model_lose_responses (require_model (lua), (int)luaL_checkinteger (lua, 1));
  return 0;
}

static int
stop (lua_State *lua)
{
  struct model *model = require_model (lua);

  model_stop_host (model, (int)luaL_checkinteger (lua, 1));
  check_invariants (lua, model);
  return 0;
}

/* Runs the step that the closure's upvalue names, with number arguments.  */
static int
step (lua_State *lua)
{
  struct model *model = require_model (lua);
  struct model_step made;

  if (!model_step_parse (&made, lua_tostring (lua, lua_upvalueindex (1))))
    return luaL_error (lua, "unknown step");
  made.a = (int)luaL_optinteger (lua, 1, 0);
  made.b = (int)luaL_optinteger (lua, 2, 0);
  if (made.kind == MODEL_PREPAID)
    made.amount = (uint64_t)luaL_checkinteger (lua, 2);
  model_apply_step (model, &made);
  check_invariants (lua, model);
  return 0;
}

static int
is_running (lua_State *lua)
{
  lua_pushboolean (lua, model_is_running (require_model (lua),
                                          (int)luaL_checkinteger (lua, 1)));
  return 1;
}

static int
was_refused (lua_State *lua)
{
  lua_pushboolean (lua, model_was_refused (require_model (lua),
                                           (int)luaL_checkinteger (lua, 1)));
  return 1;
}

static int
bills (lua_State *lua)
{
  lua_pushinteger (lua, model_bill_count (require_model (lua),
                                          (int)luaL_checkinteger (lua, 1)));
  return 1;
}

static int
settled (lua_State *lua)
{
  lua_pushinteger (lua,
                   (lua_Integer)model_settled_tokens (
                       require_model (lua), (int)luaL_checkinteger (lua, 1)));
  return 1;
}

static int
granted (lua_State *lua)
{
  lua_pushinteger (lua,
                   (lua_Integer)model_granted_tokens (
                       require_model (lua), (int)luaL_checkinteger (lua, 1)));
  return 1;
}

static int
available (lua_State *lua)
{
  lua_pushinteger (lua,
                   (lua_Integer)model_host_available_tokens (
                       require_model (lua), (int)luaL_checkinteger (lua, 1),
                       (int)luaL_checkinteger (lua, 2)));
  return 1;
}

static lua_State *
new_state (void)
{
  static const luaL_Reg functions[] = {
    { "fleet", fleet },
    { "arrive", arrive },
    { "query", query },
    { "run", run },
    { "settle", settle },
    { "lose_answers", lose_answers },
    { "stop", stop },
    { "is_running", is_running },
    { "was_refused", was_refused },
    { "bills", bills },
    { "settled", settled },
    { "granted", granted },
    { "available", available },
    { NULL, NULL },
  };
  static const char *const steps[]
      = { "crash", "restart", "pause",    "silence", "resume",
          "cut",   "heal",    "platform", "prepaid" };
  lua_State *lua = luaL_newstate ();

  ck_assert_ptr_nonnull (lua);
  luaL_openlibs (lua);
  for (const luaL_Reg *each = functions; each->name != NULL; each++)
    lua_register (lua, each->name, each->func);
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      lua_pushstring (lua, steps[i]);
      lua_pushcclosure (lua, step, 1);
      lua_setglobal (lua, steps[i]);
    }
  /* finish (REQUEST): "end" is a keyword of Lua.  */
  lua_pushliteral (lua, "end");
  lua_pushcclosure (lua, step, 1);
  lua_setglobal (lua, "finish");
  return lua;
}

static gint
compare_paths (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static GPtrArray *
files_in (const char *folder, const char *suffix)
{
  char *path = g_build_filename (DS_SOURCE_DIR, "tests", folder, NULL);
  GDir *dir = g_dir_open (path, 0, NULL);
  GPtrArray *files = g_ptr_array_new_with_free_func (g_free);
  const char *name;

  ck_assert_ptr_nonnull (dir);
  while ((name = g_dir_read_name (dir)) != NULL)
    if (g_str_has_suffix (name, suffix))
      g_ptr_array_add (files, g_build_filename (path, name, NULL));
  g_ptr_array_sort (files, compare_paths);
  g_dir_close (dir);
  g_free (path);
  return files;
}

/* Checks what the comment at the head of each script states.  */
START_TEST (scenario_scripts_pass)
{
  GPtrArray *files = files_in ("scenarios", ".lua");
  GString *failures = g_string_new (NULL);

  ck_assert_uint_gt (files->len, 0);
  for (guint i = 0; i < files->len; i++)
    {
      lua_State *lua = new_state ();
      const char *file = g_ptr_array_index (files, i);

      if (luaL_dofile (lua, file))
        g_string_append_printf (failures, "%s\n", lua_tostring (lua, -1));
      drop_model (lua);
      lua_close (lua);
    }
  ck_assert_msg (failures->len == 0, "%s", failures->str);
  g_string_free (failures, TRUE);
  g_ptr_array_free (files, TRUE);
}
END_TEST

/* Guards against a checker that accepts backups that ignore a seal: with them
   the scenario of a resumed host must fail.  */
START_TEST (checker_detects_an_ignored_seal)
{
  char *file = g_build_filename (DS_SOURCE_DIR, "tests", "scenarios",
                                 "resumed_host.lua", NULL);
  lua_State *lua = new_state ();

  lua_pushinteger (lua, MODEL_IGNORE_SEAL);
  lua_setglobal (lua, "weakness");
  ck_assert_msg (luaL_dofile (lua, file),
                 "scenario passed although backups ignore seals");
  printf ("failure with ignored seals: %s\n", lua_tostring (lua, -1));
  drop_model (lua);
  lua_close (lua);
  g_free (file);
}
END_TEST

/* Reads the options of a trace from its line "fleet SEED HOSTS BUDGETS PAGES
   PREPAID".  */
static struct model_options
trace_options (const char *line)
{
  struct model_options options = MODEL_OPTIONS_DEFAULT;
  unsigned long seed;
  unsigned long prepaid;

  ck_assert_int_eq (sscanf (line, "fleet %lu %d %d %d %lu", &seed,
                            &options.hosts, &options.budgets, &options.pages,
                            &prepaid),
                    5);
  options.seed = seed;
  options.prepaid = prepaid;
  return options;
}

/* Checks one expected outcome, "outcome NAME VALUE".  */
static void
check_outcome (const struct model *model, const char *file, const char *line)
{
  struct model_totals totals = model_totals (model);
  char name[32];
  unsigned long expected;
  unsigned long actual;

  ck_assert_int_eq (sscanf (line, "outcome %31s %lu", name, &expected), 2);
  if (strcmp (name, "dispatched") == 0)
    actual = totals.dispatched;
  else if (strcmp (name, "bills") == 0)
    actual = totals.bills;
  else if (strcmp (name, "refused") == 0)
    actual = totals.refused;
  else if (strcmp (name, "lost") == 0)
    actual = totals.lost_recoveries;
  else
    actual = model_settled_tokens (model, 0);
  ck_assert_msg (actual == expected, "%s: %s is %lu, expected %lu", file, name,
                 actual, expected);
}

static void
replay (const char *file)
{
  char *text;
  char **lines;
  struct model_options options;
  struct model *model;
  bool is_settled = false;

  ck_assert (g_file_get_contents (file, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  options = trace_options (lines[0]);
  model = model_new (&options);
  for (char **line = lines + 1; *line != NULL; line++)
    {
      struct model_step made;

      if (g_str_has_prefix (*line, "outcome"))
        {
          if (!is_settled)
            model_finish_and_check (model);
          is_settled = true;
          check_outcome (model, file, *line);
        }
      else if (**line != '\0' && **line != '#')
        {
          ck_assert_msg (model_step_parse (&made, *line), "%s: '%s'", file,
                         *line);
          model_apply_step (model, &made);
        }
    }
  ck_assert_msg (model_failure (model) == NULL, "%s: %s", file,
                 model_failure (model));
  model_free (model);
  g_strfreev (lines);
  g_free (text);
}

/* Guards against a changed outcome of a recorded schedule: what was
   dispatched, billed, refused or lost.  */
START_TEST (recorded_traces_keep_their_outcome)
{
  GPtrArray *files = files_in ("traces", ".trace");

  ck_assert_uint_gt (files->len, 0);
  for (guint i = 0; i < files->len; i++)
    replay (g_ptr_array_index (files, i));
  g_ptr_array_free (files, TRUE);
}
END_TEST

/* "test_scenarios --record SEED": prints a random schedule and its outcomes to
   standard output in the format of the traces.  */
static int
record (uint64_t seed)
{
  struct model_options options = MODEL_OPTIONS_DEFAULT;
  struct model *model;
  struct model_totals totals;

  options.seed = seed;
  options.crash = 5;
  options.pause = 8;
  options.cut = 8;
  options.platform_outage = 4;
  options.lost_response_chance = 40;
  options.operator_change = 5;
  model = model_new (&options);
  printf ("fleet %lu %d %d %d %lu\n", (unsigned long)seed, options.hosts,
          options.budgets, options.pages, (unsigned long)options.prepaid);
  for (int i = 0; i < 160; i++)
    {
      struct model_step made = model_random_step (model);
      char line[96];

      model_step_print (&made, line, sizeof line);
      printf ("%s\n", line);
    }
  model_finish_and_check (model);
  totals = model_totals (model);
  printf ("outcome dispatched %lu\noutcome bills %lu\noutcome refused %lu\n"
          "outcome lost %lu\noutcome settled %lu\n",
          (unsigned long)totals.dispatched, (unsigned long)totals.bills,
          (unsigned long)totals.refused, (unsigned long)totals.lost_recoveries,
          (unsigned long)model_settled_tokens (model, 0));
  model_free (model);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  Suite *suite = suite_create ("scenarios");
  TCase *test_case = tcase_create ("scenarios");
  SRunner *runner;
  int failed;

  if (argc == 3 && strcmp (argv[1], "--record") == 0)
    return record (strtoull (argv[2], NULL, 10));
  tcase_set_timeout (test_case, 60);
  tcase_add_test (test_case, scenario_scripts_pass);
  tcase_add_test (test_case, checker_detects_an_ignored_seal);
  tcase_add_test (test_case, recorded_traces_keep_their_outcome);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
