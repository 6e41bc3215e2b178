#ifndef TEST_SUPPORT_PROCESS_H
#define TEST_SUPPORT_PROCESS_H

#include <stdbool.h>
#include <sys/types.h>

/* The path of the stand-in KIND, a string literal.  */
#define TEST_STANDIN(kind) DS_BUILD_DIR "/standin_" kind

/* An argument that is replaced by the path of the process's ready file.  */
#define TEST_READY_FILE "@ready-file"

/* A program started by the test.  ADDRESS is the first line of its ready file
   after test_process_wait_ready has returned 0.  */
struct test_process
{
  struct test_process *next;
  char *name;
  char *log_path;
  char *ready_path;
  char *address;
  pid_t pid; /* 0 after it has been reaped */
  int status;
};

const char *test_directory (void);
char *test_file_write (const char *name, const char *text);

int test_process_start (struct test_process **out, const char *name,
                        const char *program, const char *const *arguments);
int test_standin_start (struct test_process **out, const char *name,
                        const char *program, const char *const *arguments);
int test_process_wait_ready (struct test_process *process, int timeout_ms);
int test_process_signal (const struct test_process *process, int number);
bool test_process_wait (struct test_process *process, int timeout_ms);
void test_process_kill (struct test_process *process);
void test_processes_clean_up (void);

#endif
