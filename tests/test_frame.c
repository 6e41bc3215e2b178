#include "io/frame.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static struct ds_byte_queue queue;
static struct ds_frame_decoder *decoder;

static void
set_up (void)
{
  ds_byte_queue_init (&queue, talloc_new (NULL));
  ck_assert_int_eq (
      ds_frame_decoder_new (&decoder, queue.owner, DS_FRAME_BYTES_MAX), 0);
}

static void
tear_down (void)
{
  talloc_free (queue.owner);
}

static void
add_goodbye (const char *reason)
{
  Daisystep__Peer__Envelope envelope = DAISYSTEP__PEER__ENVELOPE__INIT;
  Daisystep__Peer__Goodbye goodbye = DAISYSTEP__PEER__GOODBYE__INIT;

  goodbye.reason = (char *)reason;
  envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_GOODBYE;
  envelope.goodbye = &goodbye;
  ck_assert_int_eq (ds_frame_append (&queue, &envelope, DS_FRAME_BYTES_MAX),
                    0);
}

static void
expect_goodbye (const char *reason)
{
  Daisystep__Peer__Envelope *envelope;

  ck_assert_int_eq (ds_frame_decoder_next (&envelope, decoder, NULL), 0);
  ck_assert_ptr_nonnull (envelope);
  ck_assert_int_eq (envelope->body_case,
                    DAISYSTEP__PEER__ENVELOPE__BODY_GOODBYE);
  ck_assert_str_eq (envelope->goodbye->reason, reason);
  ds_frame_release (envelope);
}

static void
expect_no_message (void)
{
  Daisystep__Peer__Envelope *envelope;

  ck_assert_int_eq (ds_frame_decoder_next (&envelope, decoder, NULL), 0);
  ck_assert_ptr_null (envelope);
}

static void
expect_protocol_error (const char *message)
{
  Daisystep__Peer__Envelope *envelope;
  struct ds_error error;

  ck_assert_int_eq (ds_frame_decoder_next (&envelope, decoder, &error),
                    DS_EPROTOCOL);
  ck_assert_ptr_null (envelope);
  ck_assert_ptr_nonnull (strstr (error.message, message));
}

/* Guards against depending on how the stream is split into reads.  */
START_TEST (decodes_every_split)
{
  size_t first;

  add_goodbye ("first");
  first = queue.length;
  add_goodbye ("second");
  for (size_t split = 0; split <= queue.length; split++)
    {
      const uint8_t *bytes = ds_byte_queue_front (&queue);

      ds_frame_decoder_feed (decoder, bytes, split);
      if (split >= first)
        expect_goodbye ("first");
      if (split == queue.length)
        expect_goodbye ("second");
      expect_no_message ();
      ds_frame_decoder_feed (decoder, bytes + split, queue.length - split);
      if (split < first)
        expect_goodbye ("first");
      if (split < queue.length)
        expect_goodbye ("second");
      expect_no_message ();
    }
}
END_TEST

START_TEST (decodes_single_bytes)
{
  add_goodbye ("reason");
  for (size_t i = 0; i < queue.length; i++)
    {
      expect_no_message ();
      ds_frame_decoder_feed (decoder, ds_byte_queue_front (&queue) + i, 1);
    }
  expect_goodbye ("reason");
  expect_no_message ();
}
END_TEST

/* Guards against a message decoded from an incomplete frame.  */
START_TEST (waits_for_the_rest_of_a_truncated_frame)
{
  add_goodbye ("a reason of some length");
  for (size_t length = 0; length < queue.length; length++)
    {
      struct ds_frame_decoder *truncated;
      Daisystep__Peer__Envelope *envelope;

      ds_frame_decoder_new (&truncated, queue.owner, DS_FRAME_BYTES_MAX);
      ds_frame_decoder_feed (truncated, ds_byte_queue_front (&queue), length);
      ck_assert_int_eq (ds_frame_decoder_next (&envelope, truncated, NULL), 0);
      ck_assert_ptr_null (envelope);
      ds_frame_decoder_free (truncated);
    }
}
END_TEST

/* Guards against accepting a message that ends inside a field: the header has
   the shorter length.  */
START_TEST (rejects_every_shortened_message)
{
  size_t whole;

  add_goodbye ("reason");
  whole = queue.length - DS_FRAME_HEADER_BYTES;
  for (size_t length = 1; length < whole; length++)
    {
      struct ds_frame_decoder *shortened;
      Daisystep__Peer__Envelope *envelope;
      uint8_t header[DS_FRAME_HEADER_BYTES] = { 0, 0, 0, (uint8_t)length };

      ds_frame_decoder_new (&shortened, queue.owner, DS_FRAME_BYTES_MAX);
      ds_frame_decoder_feed (shortened, header, sizeof header);
      ds_frame_decoder_feed (
          shortened, ds_byte_queue_front (&queue) + sizeof header, length);
      ck_assert_int_eq (ds_frame_decoder_next (&envelope, shortened, NULL),
                        DS_EPROTOCOL);
      ds_frame_decoder_free (shortened);
    }
}
END_TEST

START_TEST (rejects_an_empty_frame)
{
  ds_frame_decoder_feed (decoder, (const uint8_t *)"\0\0\0\0", 4);
  expect_protocol_error ("without content");
}
END_TEST

/* Guards against buffering a frame that is too long: the header alone
   decides.  */
START_TEST (rejects_a_frame_over_the_limit)
{
  ds_frame_decoder_feed (decoder, (const uint8_t *)"\x00\x10\x00\x01", 4);
  expect_protocol_error ("limit 1048576");
}
END_TEST

START_TEST (accepts_a_frame_at_the_limit)
{
  add_goodbye ("reason");
  ds_frame_decoder_set_limit (decoder, queue.length - DS_FRAME_HEADER_BYTES);
  ds_frame_decoder_feed (decoder, ds_byte_queue_front (&queue), queue.length);
  expect_goodbye ("reason");
  ds_frame_decoder_set_limit (decoder,
                              queue.length - DS_FRAME_HEADER_BYTES - 1);
  ds_frame_decoder_feed (decoder, ds_byte_queue_front (&queue), queue.length);
  expect_protocol_error ("limit");
}
END_TEST

START_TEST (rejects_an_unparsable_message)
{
  ds_frame_decoder_feed (decoder, (const uint8_t *)"\0\0\0\2\xff\xff", 6);
  expect_protocol_error ("does not parse");
}
END_TEST

/* Field 99 of a later protocol version: well-formed, but of unknown kind.  */
START_TEST (rejects_an_unknown_message_kind)
{
  ds_frame_decoder_feed (decoder, (const uint8_t *)"\0\0\0\3\x9a\x06\0", 7);
  expect_protocol_error ("unknown message kind");
}
END_TEST

START_TEST (refuses_to_append_over_the_limit)
{
  Daisystep__Peer__Envelope envelope = DAISYSTEP__PEER__ENVELOPE__INIT;
  Daisystep__Peer__Goodbye goodbye = DAISYSTEP__PEER__GOODBYE__INIT;

  ck_assert_int_eq (ds_frame_append (&queue, &envelope, 10), DS_ERANGE);
  goodbye.reason = (char *)"0123456789";
  envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_GOODBYE;
  envelope.goodbye = &goodbye;
  ck_assert_int_eq (ds_frame_append (&queue, &envelope, 10), DS_ERANGE);
  ck_assert_uint_eq (queue.length, 0);
}
END_TEST

static uint64_t
next_random (uint64_t *state)
{
  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  return *state;
}

/* Random bytes, and valid frames with a changed byte, give a message, a wait
   or an error, never a read outside the buffer (asan).  */
START_TEST (random_bytes_end_in_a_message_a_wait_or_an_error)
{
  enum
  {
    ROUNDS = 20000
  };
  uint64_t state = 20261204;
  size_t faults = 0;

  add_goodbye ("a reason that is changed");
  for (int round = 0; round < ROUNDS; round++)
    {
      struct ds_frame_decoder *random;
      Daisystep__Peer__Envelope *envelope;
      uint8_t bytes[64];
      int result = 0;

      for (size_t i = 0; i < sizeof bytes; i++)
        bytes[i] = (uint8_t)next_random (&state);
      if (round % 2 == 0)
        {
          memcpy (bytes, ds_byte_queue_front (&queue), queue.length);
          bytes[next_random (&state) % queue.length]
              = (uint8_t)next_random (&state);
        }
      else
        memset (bytes, 0, 3);
      ds_frame_decoder_new (&random, queue.owner, DS_FRAME_BYTES_MAX);
      ds_frame_decoder_feed (random, bytes, sizeof bytes);
      do
        {
          result = ds_frame_decoder_next (&envelope, random, NULL);
          if (envelope != NULL)
            ds_frame_release (envelope);
        }
      while (result == 0 && envelope != NULL);
      faults += result != 0;
      ds_frame_decoder_free (random);
    }
  ck_assert_uint_gt (faults, ROUNDS / 4);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("frame");
  TCase *test_case = tcase_create ("frame");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case, decodes_every_split);
  tcase_add_test (test_case, decodes_single_bytes);
  tcase_add_test (test_case, waits_for_the_rest_of_a_truncated_frame);
  tcase_add_test (test_case, rejects_every_shortened_message);
  tcase_add_test (test_case, rejects_an_empty_frame);
  tcase_add_test (test_case, rejects_a_frame_over_the_limit);
  tcase_add_test (test_case, accepts_a_frame_at_the_limit);
  tcase_add_test (test_case, rejects_an_unparsable_message);
  tcase_add_test (test_case, rejects_an_unknown_message_kind);
  tcase_add_test (test_case, refuses_to_append_over_the_limit);
  tcase_add_test (test_case, random_bytes_end_in_a_message_a_wait_or_an_error);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
