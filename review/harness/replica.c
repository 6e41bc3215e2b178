#include "harness.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define IDLE_TIMEOUT_MS 120000

/* Writes the entry of REPLICA with STATE into the store.  */
void
review_replica_register (const struct review_replica *replica,
                         const char *state)
{
  char spec[512];

  (void)snprintf (spec, sizeof spec,
                  "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
                  "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
                  "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":%llu}",
                  replica->service, replica->address, replica->zone,
                  replica->slots, state, (unsigned long long)replica->born_ms);
  (void)review_store_put ("servers", replica->id, spec);
}

static void
forget (struct review_channel *channel)
{
  struct review_replica *replica = channel->replica;

  pthread_mutex_lock (&replica->lock);
  for (size_t i = 0; i < REVIEW_CHANNELS_MAX; i++)
    if (replica->channels[i] == channel)
      replica->channels[i] = NULL;
  channel->open = false;
  (void)close (channel->fd);
  pthread_mutex_unlock (&replica->lock);
  review_reader_free (&channel->reader);
  free (channel);
}

static void *
serve (void *data)
{
  struct review_channel *channel = data;
  struct review_message *request = calloc (1, sizeof *request);
  bool open = true;

  while (open
         && review_read_message (&channel->reader, request, IDLE_TIMEOUT_MS)
         && request->complete)
    {
      open = channel->replica->handle (channel->replica, channel, request);
      review_message_free (request);
    }
  review_message_free (request);
  free (request);
  forget (channel);
  return NULL;
}

static bool
remember (struct review_replica *replica, struct review_channel *channel)
{
  bool kept = false;

  pthread_mutex_lock (&replica->lock);
  for (size_t i = 0; i < REVIEW_CHANNELS_MAX && replica->up && !kept; i++)
    if (replica->channels[i] == NULL)
      {
        replica->channels[i] = channel;
        kept = true;
      }
  pthread_mutex_unlock (&replica->lock);
  return kept;
}

static void *
accept_channels (void *data)
{
  struct review_replica *replica = data;
  int listen_fd = replica->listen_fd;

  for (;;)
    {
      int fd = accept4 (listen_fd, NULL, NULL, SOCK_CLOEXEC);
      struct review_channel *channel;
      pthread_t thread;

      if (fd < 0)
        return NULL;
      channel = calloc (1, sizeof *channel);
      *channel = (struct review_channel){
        .replica = replica, .reader = { .fd = fd }, .fd = fd, .open = true
      };
      if (!remember (replica, channel))
        {
          (void)close (fd);
          free (channel);
        }
      else if (pthread_create (&thread, NULL, serve, channel) != 0)
        forget (channel);
      else
        (void)pthread_detach (thread);
    }
  return NULL;
}

/* Starts a lifetime of REPLICA: it listens on its port, a free one the first
   time.  */
void
review_replica_start (struct review_replica *replica)
{
  struct timespec now;

  (void)clock_gettime (CLOCK_REALTIME, &now);
  if (replica->port == 0)
    (void)pthread_mutex_init (&replica->lock, NULL);
  replica->born_ms
      = (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
  replica->listen_fd = review_listen (&replica->port, false);
  (void)snprintf (replica->address, sizeof replica->address, "127.0.0.1:%u",
                  replica->port);
  pthread_mutex_lock (&replica->lock);
  replica->up = true;
  pthread_mutex_unlock (&replica->lock);
  (void)pthread_create (&replica->thread, NULL, accept_channels, replica);
  (void)pthread_detach (replica->thread);
}

/* Ends REPLICA as a crash does: all its channels are reset.  */
void
review_replica_crash (struct review_replica *replica)
{
  struct linger reset = { .l_onoff = 1, .l_linger = 0 };

  pthread_mutex_lock (&replica->lock);
  replica->up = false;
  (void)shutdown (replica->listen_fd, SHUT_RDWR);
  (void)close (replica->listen_fd);
  for (size_t i = 0; i < REVIEW_CHANNELS_MAX; i++)
    if (replica->channels[i] != NULL)
      {
        (void)setsockopt (replica->channels[i]->fd, SOL_SOCKET, SO_LINGER,
                          &reset, sizeof reset);
        (void)shutdown (replica->channels[i]->fd, SHUT_RD);
      }
  pthread_mutex_unlock (&replica->lock);
}
