#ifndef TEST_SUPPORT_SITE_H
#define TEST_SUPPORT_SITE_H

#include "support/http.h"
#include "support/process.h"

#define TEST_BEARER(key) "Authorization: Bearer " key
#define TEST_KEY_NORTH "key-of-north"
#define TEST_KEY_SOUTH "key-of-south"
#define TEST_COMPLETIONS "/v1/chat/completions"
#define TEST_MESSAGES                                                         \
  "\"messages\":[{\"role\":\"user\",\"content\":\"How far is it?\"}]"
#define TEST_REQUEST                                                          \
  "{\"model\":\"assistant\",\"max_tokens\":3," TEST_MESSAGES "}"

/* A fixture of one host with stand-ins for the platform, an engine and a
   service.  The workspace north may use the offerings assistant and booking,
   south only notary, which the same engine serves.  */
struct test_fixture
{
  struct test_process *platform;
  struct test_process *engine;
  struct test_process *service;
  struct test_process *host;
  char *platform_url;
  char caller[32];
  char operators[32];
  char peers[32];
};

struct test_fixture_options
{
  /* Additional members of the settings, each with a leading comma.  */
  const char *settings;
  const char *const *engine_arguments;
  int max_in_flight;
};

extern struct test_fixture test_fixture;

void test_fixture_choose_addresses (void);
char *test_fixture_settings (const char *platform_url, const char *more);
int test_host_start (struct test_process **out, const char *name,
                     const char *settings_path);
void test_fixture_start_standins (const struct test_fixture_options *options,
                                  char **settings_path);
void test_fixture_wait_ready (void);
void test_fixture_start (const struct test_fixture_options *options);
struct test_http_response *test_fixture_post (const char *path,
                                              const char *const *headers,
                                              const char *body);
json_int_t test_fixture_metric (const char *name);
json_int_t test_fixture_dump_number (const char *path);
char *test_run_program (const char *const *arguments, int *status);
size_t test_fixture_bill_count (void);
void test_fixture_expect_bills (size_t count);
void test_sleep_ms (long ms);

/* Polls CONDITION for at most 20 s.  */
#define TEST_WAIT_UNTIL(condition)                                            \
  do                                                                          \
    {                                                                         \
      int test_polls = 0;                                                     \
                                                                              \
      while (!(condition) && test_polls++ < 2000)                             \
        test_sleep_ms (10);                                                   \
      ck_assert_msg (test_polls < 2000, "did not come true: %s", #condition); \
    }                                                                         \
  while (0)

#endif
