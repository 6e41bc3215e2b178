#include "process.h"

#include "daisystep/error.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

#define READY_MS 10000
#define POLL_MS 2
#define ARGUMENTS_MAX 64
/* Bounds the run time of a stand-in whose other clean-up has failed.  */
#define STANDIN_STOP_MS "600000"

static struct test_process *processes;
static char *directory_path;
/* The process that the above belong to; check forks for each test.  */
static pid_t owner_pid;

static void
sleep_ms (long ms)
{
  struct timespec time
      = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000L };

  while (nanosleep (&time, &time) != 0 && errno == EINTR)
    ;
}

static long
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Resets the state inherited from the parent process, which ends its own
   processes.  */
static void
reset_after_fork (void)
{
  if (owner_pid == getpid ())
    return;
  owner_pid = getpid ();
  processes = NULL;
  directory_path = NULL;
  (void)atexit (test_processes_clean_up);
}

static void
remove_directory (void)
{
  DIR *directory = opendir (directory_path);
  const struct dirent *entry;

  if (directory == NULL)
    return;
  while ((entry = readdir (directory)) != NULL)
    (void)unlinkat (dirfd (directory), entry->d_name, 0);
  closedir (directory);
  (void)rmdir (directory_path);
  TALLOC_FREE (directory_path);
}

/* Runs in the child process.  The parent-death signal kills it if the test
   process ends without clean-up, as after a failed assertion.  */
static void
run_program (const struct test_process *process, pid_t parent, char **argv)
{
  int log = open (process->log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                  0600);

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent || log < 0)
    _exit (127);
  (void)dup2 (log, STDOUT_FILENO);
  (void)dup2 (log, STDERR_FILENO);
  execv (argv[0], argv);
  perror (argv[0]);
  _exit (127);
}

/* The directory of this test process for logs and other files.  It is removed
   at a normal exit and kept after a failed assertion.  */
const char *
test_directory (void)
{
  reset_after_fork ();
  if (directory_path == NULL)
    {
      directory_path = talloc_strdup (NULL, "/tmp/daisystep-test-XXXXXX");
      if (mkdtemp (directory_path) == NULL)
        abort ();
    }
  return directory_path;
}

/* Writes TEXT to the file NAME in the test directory and returns its path,
   which the caller releases with talloc_free.  */
char *
test_file_write (const char *name, const char *text)
{
  char *path = talloc_asprintf (NULL, "%s/%s", test_directory (), name);
  FILE *file = fopen (path, "w");

  if (file == NULL || fputs (text, file) < 0 || fclose (file) != 0)
    abort ();
  return path;
}

/* Starts PROGRAM with ARGUMENTS, which end with a null pointer, and appends
   its output to the file NAME.log.  The process is killed when the thread that
   started it ends.  Returns DS_ERANGE for too many arguments, DS_EIO if fork
   fails.  */
int
test_process_start (struct test_process **out, const char *name,
                    const char *program, const char *const *arguments)
{
  struct test_process *process;
  char *argv[ARGUMENTS_MAX + 2] = { NULL };
  pid_t parent = getpid ();

  reset_after_fork ();
  process = talloc_zero (NULL, struct test_process);
  process->name = talloc_strdup (process, name);
  process->log_path
      = talloc_asprintf (process, "%s/%s.log", test_directory (), name);
  process->ready_path
      = talloc_asprintf (process, "%s/%s.ready", test_directory (), name);
  (void)unlink (process->ready_path);
  argv[0] = talloc_strdup (process, program);
  for (size_t i = 0; arguments[i] != NULL; i++)
    {
      if (i == ARGUMENTS_MAX)
        {
          talloc_free (process);
          return DS_ERANGE;
        }
      argv[i + 1]
          = talloc_strdup (process, strcmp (arguments[i], TEST_READY_FILE) == 0
                                        ? process->ready_path
                                        : arguments[i]);
    }
  process->pid = fork ();
  if (process->pid == 0)
    run_program (process, parent, argv);
  if (process->pid < 0)
    {
      talloc_free (process);
      return DS_EIO;
    }
  process->next = processes;
  processes = process;
  *out = process;
  return 0;
}

/* Starts a stand-in like test_process_start and waits until its ready file
   shows that it listens.  */
int
test_standin_start (struct test_process **out, const char *name,
                    const char *program, const char *const *arguments)
{
  const char *all[ARGUMENTS_MAX + 1] = { "--ready-file", TEST_READY_FILE,
                                         "--stop-after-ms", STANDIN_STOP_MS };
  size_t count = 4;
  int code;

  while (*arguments != NULL && count < ARGUMENTS_MAX)
    all[count++] = *arguments++;
  code = test_process_start (out, name, program, all);
  return code != 0 ? code : test_process_wait_ready (*out, READY_MS);
}

/* Waits until PROCESS has written its ready file.  Returns DS_EUNAVAILABLE if
   it has ended, DS_ETIMEOUT after TIMEOUT_MS.  */
int
test_process_wait_ready (struct test_process *process, int timeout_ms)
{
  long end = now_ms () + timeout_ms;
  char line[128];

  do
    {
      FILE *file = fopen (process->ready_path, "r");
      bool read = file != NULL && fgets (line, sizeof line, file) != NULL;

      if (file != NULL)
        (void)fclose (file);
      if (read)
        {
          line[strcspn (line, "\n")] = '\0';
          talloc_free (process->address);
          process->address = talloc_strdup (process, line);
          return 0;
        }
      if (test_process_wait (process, POLL_MS))
        return DS_EUNAVAILABLE;
    }
  while (now_ms () < end);
  return DS_ETIMEOUT;
}

/* Sends the signal NUMBER.  Returns DS_ENOTFOUND if PROCESS has been reaped.
 */
int
test_process_signal (const struct test_process *process, int number)
{
  if (process->pid == 0)
    return DS_ENOTFOUND;
  return kill (process->pid, number) == 0 ? 0 : DS_EIO;
}

/* Waits at most TIMEOUT_MS for the end of PROCESS, reaps it and stores its
   waitpid status.  Returns whether it has ended.  */
bool
test_process_wait (struct test_process *process, int timeout_ms)
{
  long end = now_ms () + timeout_ms;

  while (process->pid != 0)
    {
      if (waitpid (process->pid, &process->status, WNOHANG) == process->pid)
        {
          process->pid = 0;
          break;
        }
      if (now_ms () >= end)
        return false;
      sleep_ms (POLL_MS);
    }
  return true;
}

/* Kills PROCESS with SIGKILL and reaps it.  */
void
test_process_kill (struct test_process *process)
{
  if (process->pid == 0)
    return;
  (void)kill (process->pid, SIGKILL);
  while (waitpid (process->pid, &process->status, 0) < 0 && errno == EINTR)
    ;
  process->pid = 0;
}

/* Kills the remaining processes started by this test process and removes its
   directory.  Also runs at exit.  */
void
test_processes_clean_up (void)
{
  if (owner_pid != getpid ())
    return;
  while (processes != NULL)
    {
      struct test_process *process = processes;

      processes = process->next;
      test_process_kill (process);
      talloc_free (process);
    }
  if (directory_path != NULL)
    remove_directory ();
}
