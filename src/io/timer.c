#include "io/timer.h"
#include "io/clock.h"

#include <sys/timerfd.h>
#include <unistd.h>

/* The timers of one event context, in order of expiry.  */
struct queue
{
  struct queue *next;
  struct tevent_context *ev;
  struct tevent_fd *fd_event;
  struct ds_timer *first;
  struct ds_timer *last;
  uint64_t armed_ms; /* expiry set in FD, 0 if disarmed */
  int fd;
};

struct ds_timer
{
  struct queue *queue;
  struct ds_timer *earlier;
  struct ds_timer *later;
  uint64_t expiry_ms;
  ds_timer_fn *on_expiry;
  void *user_data;
};

/* The queues of this thread, which runs one or two event contexts.  */
static __thread struct queue *queues;

static void
queue_arm (struct queue *queue)
{
  uint64_t expiry_ms = queue->first != NULL ? queue->first->expiry_ms : 0;
  struct itimerspec when = {
    .it_value = { .tv_sec = (time_t)(expiry_ms / 1000),
                  .tv_nsec = (long)(expiry_ms % 1000) * 1000000L },
  };

  if (expiry_ms == queue->armed_ms)
    return;
  queue->armed_ms = expiry_ms;
  (void)timerfd_settime (queue->fd, TFD_TIMER_ABSTIME, &when, NULL);
}

static void
remove_timer (struct ds_timer *timer)
{
  struct queue *queue = timer->queue;

  if (queue == NULL)
    return;
  if (timer->earlier != NULL)
    timer->earlier->later = timer->later;
  else
    queue->first = timer->later;
  if (timer->later != NULL)
    timer->later->earlier = timer->earlier;
  else
    queue->last = timer->earlier;
  timer->queue = NULL;
}

static int
timer_destructor (struct ds_timer *timer)
{
  /* The descriptor stays armed: an early wake-up costs less than a system
     call for each cancelled timer.  */
  remove_timer (timer);
  return 0;
}

static void
handle_expiry (struct tevent_context *ev, struct tevent_fd *fd_event,
               uint16_t flags, void *user_data)
{
  struct queue *queue = user_data;
  uint64_t now_ms = ds_clock_ms ();
  uint64_t expirations;

  (void)ev;
  (void)fd_event;
  (void)flags;
  /* Resets the descriptor; the count is not used.  */
  if (read (queue->fd, &expirations, sizeof expirations) < 0)
    expirations = 0;
  queue->armed_ms = 0;
  while (queue->first != NULL && queue->first->expiry_ms <= now_ms)
    {
      struct ds_timer *timer = queue->first;
      ds_timer_fn *on_expiry = timer->on_expiry;
      void *data = timer->user_data;

      remove_timer (timer);
      talloc_free (timer);
      on_expiry (data);
    }
  queue_arm (queue);
}

static int
queue_destructor (struct queue *queue)
{
  for (struct queue **at = &queues; *at != NULL; at = &(*at)->next)
    if (*at == queue)
      {
        *at = queue->next;
        break;
      }
  while (queue->first != NULL)
    remove_timer (queue->first);
  TALLOC_FREE (queue->fd_event);
  if (queue->fd >= 0)
    (void)close (queue->fd);
  return 0;
}

static struct queue *
find_or_add_queue (struct tevent_context *ev)
{
  struct queue *queue = queues;

  while (queue != NULL && queue->ev != ev)
    queue = queue->next;
  if (queue != NULL)
    return queue;
  queue = talloc_zero (ev, struct queue);
  if (queue == NULL)
    return NULL;
  queue->ev = ev;
  queue->fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (queue->fd >= 0)
    queue->fd_event = tevent_add_fd (ev, queue, queue->fd, TEVENT_FD_READ,
                                     handle_expiry, queue);
  if (queue->fd_event == NULL)
    {
      if (queue->fd >= 0)
        (void)close (queue->fd);
      talloc_free (queue);
      return NULL;
    }
  queue->next = queues;
  queues = queue;
  talloc_set_destructor (queue, queue_destructor);
  return queue;
}

/* Calls ON_EXPIRY once, AFTER_MS from now, in the loop of EV.  The timer is
   freed before that call; freeing it earlier, itself or with OWNER, cancels
   it.  Null when memory or descriptors are exhausted.  */
struct ds_timer *
ds_timer_add (struct tevent_context *ev, TALLOC_CTX *owner, uint64_t after_ms,
              ds_timer_fn *on_expiry, void *user_data)
{
  struct queue *queue = find_or_add_queue (ev);
  struct ds_timer *timer
      = queue != NULL ? talloc_zero (owner, struct ds_timer) : NULL;
  struct ds_timer *before;

  if (timer == NULL)
    return NULL;
  timer->queue = queue;
  timer->expiry_ms = ds_clock_ms () + after_ms;
  timer->on_expiry = on_expiry;
  timer->user_data = user_data;
  /* From the end, since most timers expire after all others.  */
  before = queue->last;
  while (before != NULL && before->expiry_ms > timer->expiry_ms)
    before = before->earlier;
  timer->earlier = before;
  timer->later = before != NULL ? before->later : queue->first;
  if (timer->later != NULL)
    timer->later->earlier = timer;
  else
    queue->last = timer;
  if (before != NULL)
    before->later = timer;
  else
    queue->first = timer;
  talloc_set_destructor (timer, timer_destructor);
  if (queue->armed_ms == 0 || timer->expiry_ms < queue->armed_ms)
    queue_arm (queue);
  return timer;
}
