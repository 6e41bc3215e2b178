#include "io/datagram.h"

#include <string.h>
#include <sys/socket.h>
#include <time.h>

/* Has the system note when datagrams for FD arrive.  Where it does not, they
   count as new.  */
void
ds_datagram_enable_ages (int fd)
{
  int on = 1;

  (void)setsockopt (fd, SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on);
}

/* Returns how long ago a datagram arrived; 0 if the wall clock was set back
   since.  If it was set forward, the datagram counts as older than it is.  */
static uint64_t
age_of (const struct timespec *arrival)
{
  struct timespec now;
  int64_t age_ms;

  (void)clock_gettime (CLOCK_REALTIME, &now);
  age_ms = ((int64_t)now.tv_sec - (int64_t)arrival->tv_sec) * 1000
           + ((int64_t)now.tv_nsec - (int64_t)arrival->tv_nsec) / 1000000;
  return age_ms > 0 ? (uint64_t)age_ms : 0;
}

/* Reads a datagram without waiting.  Returns its length, or -1 if there is
   none, and stores in AGE_MS how long it has waited: after the process was
   frozen or starved, that may be many seconds.  */
ssize_t
ds_datagram_receive (int fd, void *bytes, size_t size, uint64_t *age_ms)
{
  union
  {
    struct cmsghdr header;
    char bytes[CMSG_SPACE (sizeof (struct timespec))];
  } control;
  struct iovec part = { .iov_base = bytes, .iov_len = size };
  struct msghdr message = {
    .msg_iov = &part,
    .msg_iovlen = 1,
    .msg_control = &control,
    .msg_controllen = sizeof control,
  };
  ssize_t count = recvmsg (fd, &message, MSG_DONTWAIT);

  *age_ms = 0;
  if (count < 0)
    return count;
  for (struct cmsghdr *item = CMSG_FIRSTHDR (&message); item != NULL;
       item = CMSG_NXTHDR (&message, item))
    if (item->cmsg_level == SOL_SOCKET && item->cmsg_type == SO_TIMESTAMPNS)
      {
        struct timespec arrival;

        memcpy (&arrival, CMSG_DATA (item), sizeof arrival);
        *age_ms = age_of (&arrival);
      }
  return count;
}
