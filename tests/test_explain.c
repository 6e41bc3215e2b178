#include "support/process.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char output[8192];

static int
run (const char *arguments)
{
  char command[1024];
  FILE *pipe;
  size_t length;

  (void)snprintf (command, sizeof command, "%s explain %s 2>&1",
                  DS_BUILD_DIR "/daisystep", arguments);
  /* Runs a fixed program on files of this test.  */
  pipe = popen (command, "r"); /* NOLINT(cert-env33-c) */
  ck_assert_ptr_nonnull (pipe);
  length = fread (output, 1, sizeof output - 1, pipe);
  output[length] = '\0';
  return pclose (pipe);
}

/* Guards against output that is not in time order, has lines of other
   requests, or lacks the last host state before the request.  */
START_TEST (prints_lines_of_the_request_in_time_order)
{
  char *first = test_file_write (
      "a.log",
      "{\"time\":9.5,\"host\":\"a\",\"event\":\"store_lost\",\"kind\":"
      "\"config\",\"revision\":4}\n"
      "{\"time\":9.7,\"host\":\"a\",\"event\":\"store_regained\",\"kind\":"
      "\"config\",\"revision\":5}\n"
      "{\"time\":10.2,\"host\":\"a\",\"event\":\"request_end\",\"request\":"
      "\"r1\",\"status\":502}\n"
      "not a line of ours\n"
      "{\"time\":10.3,\"host\":\"a\",\"event\":\"placed\",\"request\":"
      "\"r2\"}\n");
  char *second = test_file_write (
      "b.log", "  0.4 front-b {\"time\":10.1,\"host\":\"a\",\"event\":"
               "\"placed\",\"request\":\"r1\",\"replica\":\"i-1\"}\n"
               "{\"time\":9.0,\"host\":\"a\",\"event\":\"replica\","
               "\"replica\":\"i-1\",\"state\":\"ready\"}\n"
               "{\"time\":9.0,\"host\":\"a\",\"event\":\"replica\","
               "\"replica\":\"i-2\",\"state\":\"ready\"}\n"
               "{\"time\":9.1,\"host\":\"c\",\"event\":\"store_lost\","
               "\"kind\":\"config\"}\n");
  char arguments[512];
  const char *placed;

  (void)snprintf (arguments, sizeof arguments, "r1 %s %s", first, second);
  ck_assert_int_eq (run (arguments), 0);
  placed = strstr (output, "* {\"time\":10.1");
  ck_assert_ptr_nonnull (placed);
  ck_assert_ptr_nonnull (strstr (placed, "* {\"time\":10.2"));
  ck_assert_ptr_nonnull (strstr (output, "\"i-1\",\"state\""));
  ck_assert_ptr_null (strstr (output, "i-2"));
  ck_assert_ptr_null (strstr (output, "r2"));
  ck_assert_ptr_null (strstr (output, "\"host\":\"c\""));
  (void)snprintf (arguments, sizeof arguments, "r9 %s", first);
  ck_assert_int_ne (run (arguments), 0);
  ck_assert_ptr_nonnull (strstr (output, "no line names request r9"));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("explain");
  TCase *test_case = tcase_create ("explain");
  SRunner *runner;
  int failed;

  tcase_add_test (test_case, prints_lines_of_the_request_in_time_order);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
