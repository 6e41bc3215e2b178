#include "support/entry_site.h"

#include <arpa/inet.h>
#include <check.h>
#include <dirent.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Callers and replicas that read slowly, on real processes.  */

#define SLOW_CALLERS 200
#define SLOW_UPLOADS 40
#define ANSWER_BYTES "2000000"
#define UPLOAD_BYTES 1000000
#define READ_BYTES 250
#define READ_INTERVAL_MS 250
#define ROUNDS 20
/* memory_mb of the hosts, the default of the setting.  */
#define MEMORY_LIMIT_KB (88L * 1024)
/* An idle host answers within some ms; the machine of the test may be
   busy.  */
#define LATENCY_MAX_MS 1000
#define FDS_MAX 4096
#define LOG_INTERVAL_MS 1500

static char body[UPLOAD_BYTES + 1];

/* Makes the address sanitizer release freed memory at once in the processes
   that are started: what it keeps would count as used.  */
static void
disable_quarantine (void)
{
  const char *sanitizer = getenv ("ASAN_OPTIONS");
  char options[256];

  (void)snprintf (options, sizeof options,
                  "%s:quarantine_size_mb=0:thread_local_quarantine_size_kb=0",
                  sanitizer != NULL ? sanitizer : "");
  ck_assert_int_eq (setenv ("ASAN_OPTIONS", options, 1), 0);
}

static void
set_up (void)
{
  disable_quarantine ();
  memset (body, 'x', UPLOAD_BYTES);
  entry_start_scripted_standins (1000000);
  entry_set_body_limit (UPLOAD_BYTES);
  entry_put_config (1000000);
  entry_start_host (0, "z");
  entry_wait_ready (0);
}

static void
tear_down (void)
{
  test_processes_clean_up ();
}

/* Opens a connection whose receive buffer holds little, and sends the head of
   a request.  */
static int
open_slow (int number)
{
  struct sockaddr_in to = { .sin_family = AF_INET };
  char host[ENTRY_ADDRESS_BYTES];
  char text[512];
  char *colon;
  int size = 2048;
  int length;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  (void)snprintf (host, sizeof host, "%s", entry_caller_addresses[0]);
  colon = strchr (host, ':');
  *colon = '\0';
  to.sin_port = htons ((uint16_t)atoi (colon + 1));
  (void)inet_pton (AF_INET, host, &to.sin_addr);
  (void)setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  length = snprintf (text, sizeof text,
                     "POST /once/stream/1 HTTP/1.1\r\nHost: d.example\r\n"
                     "Authorization: Bearer key-1\r\nDeadline-Ms: 8000\r\n"
                     "Request-Id: slow-%d\r\nContent-Length: 5\r\n\r\nhello",
                     number);
  ck_assert_int_eq (send (fd, text, (size_t)length, MSG_NOSIGNAL), length);
  (void)fcntl (fd, F_SETFL, O_NONBLOCK);
  return fd;
}

/* Collects the inodes of the sockets of process PID.  */
static int
list_sockets (pid_t pid, unsigned long inodes[static FDS_MAX])
{
  char path[64];
  DIR *directory;
  const struct dirent *entry;
  int count = 0;

  (void)snprintf (path, sizeof path, "/proc/%d/fd", (int)pid);
  directory = opendir (path);
  ck_assert_ptr_nonnull (directory);
  while ((entry = readdir (directory)) != NULL && count < FDS_MAX)
    {
      char target[64] = "";

      if (readlinkat (dirfd (directory), entry->d_name, target,
                      sizeof target - 1)
              > 0
          && sscanf (target, "socket:[%lu]", &inodes[count]) == 1)
        count++;
    }
  (void)closedir (directory);
  return count;
}

/* Bytes in the TCP sockets of the host, unsent or unacknowledged, and unread,
   in KB.  */
static long
socket_kb (pid_t pid)
{
  static unsigned long inodes[FDS_MAX];
  int count = list_sockets (pid, inodes);
  unsigned long bytes = 0;
  char line[512];
  FILE *file = fopen ("/proc/net/tcp", "r");

  while (fgets (line, sizeof line, file) != NULL)
    {
      unsigned long sent;
      unsigned long unread;
      unsigned long inode;
      int state;

      /* The unread bytes of a listener are connections.  */
      if (sscanf (line, " %*d: %*s %*s %x %lx:%lx %*s %*s %*d %*d %lu",
                  (unsigned *)&state, &sent, &unread, &inode)
              != 4
          || state == 10)
        continue;
      for (int i = 0; i < count; i++)
        if (inodes[i] == inode)
          bytes += sent + unread;
    }
  (void)fclose (file);
  return (long)(bytes / 1024);
}

static long
process_kb (pid_t pid)
{
  char path[64];
  char line[256];
  long kb = 0;
  FILE *file;

  (void)snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  file = fopen (path, "r");
  while (fgets (line, sizeof line, file) != NULL)
    if (sscanf (line, "VmRSS: %ld kB", &kb) == 1)
      break;
  (void)fclose (file);
  return kb;
}

/* Starts COUNT requests whose replicas read none of their bodies.  */
static void
start_uploads (struct test_http_task **tasks, int count)
{
  static char ids[SLOW_UPLOADS][40];
  static const char *headers[SLOW_UPLOADS][5];

  for (int i = 0; i < count; i++)
    {
      (void)snprintf (ids[i], sizeof ids[i], "Request-Id: upload-%d", i);
      headers[i][0] = "Host: d.example";
      headers[i][1] = "Authorization: Bearer key-1";
      headers[i][2] = "Deadline-Ms: 6000";
      headers[i][3] = ids[i];
      tasks[i] = test_http_start (&(struct test_http_call){
          .method = "POST",
          .address = entry_caller_addresses[0],
          .path = "/book/1",
          .headers = headers[i],
          .body = body,
      });
    }
}

static int
responses_left (void)
{
  int left = 0;

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    left += (int)json_integer_value (
        test_get_json (entry_replicas[i]->address, "/standin/left"));
  return left;
}

/* Adds responses for all slow requests to both replicas, as the host chooses
   among them.  */
static void
add_slow_responses (int callers, int uploads)
{
  for (int i = 0; i < uploads; i++)
    for (int k = 0; k < ENTRY_REPLICAS; k++)
      entry_add_response (entry_replicas[k], "wait_ms", "3000", "read_body",
                          "", "close", "", (char *)NULL);
  for (int i = 0; i < callers; i++)
    for (int k = 0; k < ENTRY_REPLICAS; k++)
      entry_add_response (entry_replicas[k], "send",
                          "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
                          "Server-Seal: seal.1\r\n"
                          "Content-Length: " ANSWER_BYTES "\r\n\r\n",
                          "fill", ANSWER_BYTES, (char *)NULL);
}

/* An ordinary request on a path of its own, to a replica without scripted
   responses for it.  */
static long
measure_latency (int round)
{
  char id[32];
  struct test_http_response *reply;

  (void)snprintf (id, sizeof id, "ordinary-%d", round);
  reply = entry_request (0, "GET", "/look/1", id, NULL);
  ck_assert_int_eq (reply->code, 0);
  ck_assert_int_eq (reply->status, 200);
  return reply->elapsed_ms;
}

/* Checks that the host has logged why it closed connections.  */
static void
check_log (void)
{
  char line[1024];
  int count = 0;
  FILE *file;

  /* Hosts write their logs every second.  */
  test_sleep_ms (LOG_INTERVAL_MS);
  file = fopen (entry_hosts[0]->log_path, "r");
  ck_assert_ptr_nonnull (file);
  while (fgets (line, sizeof line, file) != NULL)
    if (strstr (line, "\"event\":\"slow_reader_closed\"") != NULL)
      count++;
  (void)fclose (file);
  ck_assert_int_gt (count, 0);
  ck_assert_int_lt (count, SLOW_CALLERS);
}

static const struct
{
  int callers;
  int uploads;
} mixes[] = { { SLOW_CALLERS, 0 }, { 0, SLOW_UPLOADS }, { 150, 20 } };

/* Guards against socket buffers that hold what slow readers have not taken:
   200 callers held 570 MB on a host with 88 MB.  Callers that read well are
   served meanwhile.  */
START_TEST (slow_readers_stay_within_the_memory)
{
  static struct test_http_task *tasks[SLOW_UPLOADS];
  static int fds[SLOW_CALLERS];
  pid_t pid = entry_hosts[0]->pid;
  int callers = mixes[_i].callers;
  int uploads = mixes[_i].uploads;
  long highest_kb = 0;
  long slowest_ms = 0;
  char bytes[READ_BYTES];

  add_slow_responses (callers, uploads);
  start_uploads (tasks, uploads);
  for (int i = 0; i < callers; i++)
    fds[i] = open_slow (i);
  for (int round = 0; round < ROUNDS; round++)
    {
      long kb = process_kb (pid) + socket_kb (pid);

      highest_kb = kb > highest_kb ? kb : highest_kb;
      for (int i = 0; i < callers; i++)
        (void)recv (fds[i], bytes, sizeof bytes, 0);
      /* The scripts are for the slow ones.  */
      if (round == 2)
        for (int k = 0; k < ENTRY_REPLICAS; k++)
          ck_assert_int_eq (
              test_post (entry_replicas[k]->address, "/standin/clear", "{}"),
              200);
      if (round > 2)
        {
          long ms = measure_latency (round);

          slowest_ms = ms > slowest_ms ? ms : slowest_ms;
        }
      test_sleep_ms (READ_INTERVAL_MS);
    }
  ck_assert_int_eq (responses_left (), 0);
  ck_assert_int_le (highest_kb, MEMORY_LIMIT_KB);
  ck_assert_int_le (slowest_ms, LATENCY_MAX_MS);
  if (callers == SLOW_CALLERS)
    check_log ();
  for (int i = 0; i < callers; i++)
    (void)close (fds[i]);
  for (int i = 0; i < uploads; i++)
    (void)test_http_join (tasks[i]);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_slow_readers");
  TCase *test_case = tcase_create ("entry_slow_readers");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 60);
  tcase_add_loop_test (test_case, slow_readers_stay_within_the_memory, 0,
                       sizeof mixes / sizeof mixes[0]);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
