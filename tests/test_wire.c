#include "platform/address_codec.h"
#include "platform/caller_codec.h"
#include "platform/store_codec.h"

#include <check.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static TALLOC_CTX *owner;

static void
set_up (void)
{
  owner = talloc_new (NULL);
}

static void
tear_down (void)
{
  talloc_free (owner);
}

static struct ds_http_header_line lines[] = {
  { DS_STR ("Host"), DS_STR ("ficu95.example") },
  { DS_STR ("Request-Id"), DS_STR ("9c41") },
  { DS_STR ("Token-Count"), DS_STR ("1460, 80") },
  { DS_STR ("Prompt-Prefix"), DS_STR ("5c1e:800,91bd:410,e440:250") },
  { DS_STR ("Deadline-Ms"), DS_STR ("10000") },
  { DS_STR ("authorization"), DS_STR ("Bearer secret-key") },
  { DS_STR ("Tenant"), DS_STR ("forged") },
  { DS_STR ("Hold"), DS_STR ("h1") },
  { DS_STR ("Kv-From"), DS_STR ("1.2.3.4:5/x") },
  { DS_STR ("Pin-Ms"), DS_STR ("4000") },
  { DS_STR ("X-Note"), DS_STR ("kept") },
  { DS_STR ("Connection"), DS_STR ("X-Hop") },
  { DS_STR ("X-Hop"), DS_STR ("dropped") },
};

static const struct ds_http_head head = {
  .method = { .data = "POST", .length = 4 },
  .target = { .data = "/lohu930/2f?q=1", .length = 15 },
  .lines = lines,
  .line_count = sizeof lines / sizeof lines[0],
};

START_TEST (a_request_header_is_parsed)
{
  struct ds_caller_request request;

  ck_assert_int_eq (ds_wire_read_request (&request, &head), 0);
  ck_assert (ds_str_equal (request.path, DS_STR ("/lohu930/2f")));
  ck_assert (ds_str_equal (request.key, DS_STR ("secret-key")));
  ck_assert (request.has_tokens && request.prompt_tokens == 1460
             && request.output_tokens == 80);
  ck_assert_uint_eq (request.part_count, 3);
  ck_assert_uint_eq (request.parts[1].tokens, 410);
  ck_assert_uint_eq (request.deadline_ms, 10000);
  ck_assert (!request.resumes);
}
END_TEST

/* Guards against forwarding an API key, a forged workspace, or headers that
   only this system may set.  */
START_TEST (restricted_headers_are_not_forwarded)
{
  struct ds_caller_request request;
  struct ds_byte_buffer out = { .data = NULL };
  struct ds_attempt_head attempt = {
    .request = &request,
    .head = &head,
    .replica_id = DS_STR ("i-1"),
    .workspace = DS_STR ("hule930"),
    .deadline_ms = 900,
    .body_length = 5,
  };
  char *text;

  ck_assert_int_eq (ds_wire_read_request (&request, &head), 0);
  ck_assert_int_eq (ds_wire_write_attempt (owner, &out, &attempt), 0);
  text = talloc_strndup (owner, out.data + out.start, out.end - out.start);
  ck_assert (strncmp (text, "POST /lohu930/2f?q=1 HTTP/1.1\r\n", 31) == 0);
  ck_assert_ptr_nonnull (strstr (text, "\r\nTenant: hule930\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "\r\nDeadline-Ms: 900\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "\r\nExpect-Instance: i-1\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "\r\nX-Note: kept\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "\r\nContent-Length: 5\r\n"));
  ck_assert_ptr_nonnull (strstr (text, "\r\nToken-Count: 1460, 80\r\n"));
  ck_assert_ptr_null (strstr (text, "secret-key"));
  ck_assert_ptr_null (strstr (text, "forged"));
  ck_assert_ptr_null (strstr (text, "Hold"));
  ck_assert_ptr_null (strstr (text, "Kv-From"));
  ck_assert_ptr_null (strstr (text, "Pin-Ms"));
  ck_assert_ptr_null (strstr (text, "X-Hop"));
}
END_TEST

/* Guards against a name in the store that adds headers to a request, or that
   is too long for it.  */
START_TEST (names_of_the_store_stay_within_their_header_lines)
{
  struct ds_caller_request request;
  struct ds_byte_buffer out = { .data = NULL };
  struct ds_attempt_head attempt = { .request = &request, .head = &head };
  char long_name[2000];

  memset (long_name, 'n', sizeof long_name);
  ck_assert_int_eq (ds_wire_read_request (&request, &head), 0);
  for (int i = 0; i < 2; i++)
    {
      struct ds_str *name = i == 0 ? &attempt.replica_id : &attempt.workspace;

      attempt.replica_id = DS_STR ("i-1");
      attempt.workspace = DS_STR ("north");
      *name = DS_STR ("i-1\r\nTenant: south");
      ck_assert_int_eq (ds_wire_write_attempt (owner, &out, &attempt),
                        DS_EINVAL);
      *name = DS_STR ("a\0b");
      ck_assert_int_eq (ds_wire_write_attempt (owner, &out, &attempt),
                        DS_EINVAL);
      *name = (struct ds_str){ .data = long_name, .length = sizeof long_name };
      ck_assert_int_eq (ds_wire_write_attempt (owner, &out, &attempt), 0);
    }
}
END_TEST

/* Guards against forwarding a message that two parsers would read
   differently.  */
START_TEST (a_duplicate_header_is_refused)
{
  struct ds_http_header_line twice[] = {
    { DS_STR ("Host"), DS_STR ("a") },
    { DS_STR ("Request-Id"), DS_STR ("1") },
    { DS_STR ("request-id"), DS_STR ("2") },
  };
  struct ds_http_head bad = head;
  struct ds_caller_request request;

  bad.lines = twice;
  bad.line_count = 3;
  ck_assert_int_eq (ds_wire_read_request (&request, &bad), DS_EINVAL);
  bad.line_count = 1;
  ck_assert_int_eq (ds_wire_read_request (&request, &bad), DS_EINVAL);
  bad.line_count = 2;
  ck_assert_int_eq (ds_wire_read_request (&request, &bad), 0);
  bad.target = DS_STR ("http://a/b");
  ck_assert_int_eq (ds_wire_read_request (&request, &bad), DS_EINVAL);
}
END_TEST

START_TEST (a_response_header_is_parsed)
{
  struct ds_http_header_line response_lines[] = {
    { DS_STR ("Server-Seal"), DS_STR ("3e1b") },
    { DS_STR ("Content-Type"), DS_STR ("text/event-stream; charset=utf-8") },
    { DS_STR ("Keep-Alive"), DS_STR ("max=5, timeout=7") },
    { DS_STR ("Content-Encoding"), DS_STR ("gzip") },
    { DS_STR ("Cold-Ms"), DS_STR ("1200") },
  };
  struct ds_http_head from = { .status = 200, .lines = response_lines };
  struct ds_upstream_response response;

  from.line_count = 5;
  ds_wire_read_response (&response, &from);
  ck_assert (response.has_mac && response.is_stream && response.encoded
             && !response.not_run && response.keep_alive_s == 7
             && response.cold_ms == 1200);
  /* Another replica has got the address.  */
  from.status = 421;
  ds_wire_read_response (&response, &from);
  ck_assert (response.not_run && response.cold_ms == DS_COLD_UNKNOWN);
  from.status = 200;
  response_lines[4].value = DS_STR ("-1");
  ds_wire_read_response (&response, &from);
  ck_assert (response.cold_ms == DS_COLD_UNKNOWN);
}
END_TEST

/* Guards against taking another value for the notice of a replica that leaves,
   and against one of another replica, which has got the address.  */
START_TEST (a_notice_of_leaving_is_parsed)
{
  static const struct
  {
    unsigned status;
    const char *value;
    bool leaving;
  } cases[]
      = { { 200, "1", true }, { 503, " 1 ", true }, { 500, "1", true },
          { 400, "1", true }, { 421, "1", false },  { 200, "0", false },
          { 200, "", false }, { 200, "01", false }, { 200, "yes", false } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct ds_http_header_line line
          = { DS_STR ("server-leaving"), ds_str_from_c (cases[i].value) };
      struct ds_http_head from
          = { .status = cases[i].status, .lines = &line, .line_count = 1 };
      struct ds_upstream_response response;

      ds_wire_read_response (&response, &from);
      ck_assert_int_eq (response.leaving, cases[i].leaving);
      from.line_count = 0;
      ds_wire_read_response (&response, &from);
      ck_assert (!response.leaving);
    }
}
END_TEST

/* Guards against a wait that an upstream did not ask for: a value without
   sense is none.  */
START_TEST (the_wait_of_an_upstream_is_parsed)
{
  static const struct
  {
    unsigned status;
    const char *value;
    uint64_t hold_ms;
  } cases[] = {
    { 503, "2", 2000 },
    { 503, "0.25", 250 },
    { 503, " 1.5 ", 1500 },
    { 503, "1.23456", 1234 },
    { 503, "0", 0 },
    { 503, "99999999999999999999999999", UINT32_MAX },
    { 503, "18446744073709551615", UINT32_MAX },
    { 503, "4294967295.9", UINT32_MAX },
    { 503, "-1", 0 },
    { 503, "+1", 0 },
    { 503, "1e3", 0 },
    { 503, "1.5s", 0 },
    { 503, "1,5", 0 },
    { 503, ".", 0 },
    { 503, "", 0 },
    { 503, "nan", 0 },
    { 503, "inf", 0 },
    { 503, "soon", 0 },
    { 503, "Sat, 05 Dec 2026 05:00:00 GMT", 0 },
    { 429, "2", 0 },
    { 200, "2", 0 },
    { 500, "2", 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct ds_http_header_line line
          = { DS_STR ("retry-after"), ds_str_from_c (cases[i].value) };
      struct ds_http_head from
          = { .status = cases[i].status, .lines = &line, .line_count = 1 };
      struct ds_upstream_response response;

      ds_wire_read_response (&response, &from);
      ck_assert_msg (response.hold_ms == cases[i].hold_ms,
                     "%u \"%s\" is read as %ju ms", cases[i].status,
                     cases[i].value, (uintmax_t)response.hold_ms);
    }
}
END_TEST

/* Guards against passing on to callers what an upstream asks of this host
   alone, while other upstreams are free.  */
START_TEST (the_wait_of_an_upstream_is_not_forwarded)
{
  struct ds_http_header_line line = { DS_STR ("Retry-After"), DS_STR ("30") };
  struct ds_http_head from
      = { .status = 503, .lines = &line, .line_count = 1 };
  static const char *const expected[] = { NULL, "Retry-After: 0.250\r\n" };

  for (size_t i = 0; i < 2; i++)
    {
      struct ds_byte_buffer out = { .data = NULL };
      char *text;

      ck_assert_int_eq (ds_wire_write_response (owner, &out, &from,
                                                DS_FRAMING_LENGTH, 0,
                                                i == 0 ? 0 : 250, false),
                        0);
      text = talloc_strndup (owner, ds_byte_buffer_content (&out).data,
                             ds_byte_buffer_content (&out).length);
      ck_assert_ptr_null (strstr (text, "Retry-After: 30"));
      if (expected[i] != NULL)
        ck_assert_ptr_nonnull (strstr (text, expected[i]));
      else
        ck_assert_ptr_null (strstr (text, "Retry-After"));
    }
}
END_TEST

START_TEST (address_queries_are_answered)
{
  struct ds_http_head query = { .line_count = 0 };
  struct ds_address_query read;
  const struct ds_str addresses[] = { DS_STR ("1:2"), DS_STR ("3:4") };

  query.target = DS_STR ("/daisystep/resolve?name=a&region=sicilia&zone=x");
  ck_assert (ds_wire_read_address_query (&read, &query));
  ck_assert (ds_str_equal (read.name, DS_STR ("a")));
  ck_assert (ds_str_equal (read.zone, DS_STR ("x")));
  ck_assert (ds_str_equal (read.region, DS_STR ("sicilia")));
  query.target = DS_STR ("/daisystep/resolver");
  ck_assert (!ds_wire_read_address_query (&read, &query));
  ck_assert_str_eq (ds_wire_write_addresses (owner, addresses, 2, 2),
                    "{\"addresses\":[\"1:2\",\"3:4\"],\"ttl_s\":2}");
}
END_TEST

/* Guards against an invalid entry of another writer hiding valid ones.  */
START_TEST (objects_without_a_name_are_skipped)
{
  const char *text
      = "{\"events\":[{\"tombstone\":false,\"object\":{\"spec\":{}}},"
        "{\"tombstone\":true,\"object\":{\"metadata\":{\"name\":\"b\","
        "\"revision\":9}}},7],\"current_rev\":12}";
  struct ds_store_page *page;
  struct ds_error error;

  ck_assert_int_eq (
      ds_store_page_decode (&page, owner, ds_str_from_c (text), true, &error),
      0);
  ck_assert_uint_eq (page->count, 1);
  ck_assert (page->objects[0].deleted && page->objects[0].revision == 9);
  ck_assert_uint_eq (page->revision, 12);
  ck_assert_int_eq (ds_store_page_decode (&page, owner,
                                          DS_STR ("{\"items\":[]}"), false,
                                          &error),
                    DS_EPROTOCOL);
  ck_assert_int_eq (
      ds_store_page_decode (&page, owner, DS_STR ("garbage"), false, &error),
      DS_EPROTOCOL);
}
END_TEST

/* Texts that are balanced but that the JSON decoder refuses.  */
static const char *const odd_values[] = {
  "\"\\u0000\\u0001\"",
  "\"\\ud800\"",
  "\"\xff\xfe\"",
  "\xff\xfe",
  "1e999",
  "123456789012345678901234567890",
  "nul",
  "{\"a\" 1}",
  "{\"a\":}",
  "",
};

/* Returns the text of COUNT arrays inside each other.  */
static char *
nested_arrays (size_t count)
{
  char *text = talloc_array (owner, char, 2 * (unsigned)count + 1);

  memset (text, '[', count);
  memset (text + count, ']', count);
  text[2 * count] = '\0';
  return text;
}

static void
check_page_around (const char *odd)
{
  const char *text = talloc_asprintf (
      owner,
      "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":4},"
      "\"spec\":{\"x\":1}},{\"metadata\":{\"finalizers\":[%s],\"name\":"
      "\"b\",\"revision\":5},\"spec\":%s,\"status\":%s},%s,"
      "{\"metadata\":{\"name\":%s,\"revision\":6},\"spec\":{}},"
      "{\"metadata\":{\"name\":\"c\",\"revision\":%s},\"spec\":{\"x\":3}"
      "}],\"has_more\":true,\"other\":%s,\"current_rev\":12}",
      odd, odd, odd, odd, odd[0] == '"' ? "7" : odd, odd, odd);
  struct ds_store_page *page;
  struct ds_error error;

  ck_assert_int_eq (
      ds_store_page_decode (&page, owner, ds_str_from_c (text), false, &error),
      0);
  ck_assert (page->has_more && page->revision == 12);
  ck_assert_uint_eq (page->count, 3);
  ck_assert_uint_eq (page->unnamed, 2);
  ck_assert (ds_str_equal (page->objects[0].name, DS_STR ("a")));
  ck_assert_int_eq (
      json_integer_value (json_object_get (page->objects[0].spec, "x")), 1);
  ck_assert (ds_str_equal (page->objects[1].name, DS_STR ("b")));
  ck_assert_uint_eq (page->objects[1].revision, 5);
  ck_assert_ptr_null (page->objects[1].spec);
  ck_assert_ptr_nonnull (page->objects[1].problem);
  ck_assert (ds_str_equal (page->objects[2].name, DS_STR ("c")));
  ck_assert_uint_eq (page->objects[2].revision, 0);
  ck_assert_ptr_nonnull (page->objects[2].spec);
  ck_assert_ptr_null (page->objects[2].problem);
}

/* Guards against an entry that the JSON decoder refuses hiding the others of
   its page.  */
START_TEST (an_entry_that_cannot_be_decoded_hides_no_other)
{
  for (size_t i = 0; i < sizeof odd_values / sizeof odd_values[0]; i++)
    check_page_around (odd_values[i]);
  check_page_around (nested_arrays (3000));
  check_page_around (nested_arrays (100000));
}
END_TEST

/* Guards against a host that ends, or reads beyond an answer, because of what
   the store sends; found under the address sanitizer if at all.  */
START_TEST (damaged_answers_are_decoded_or_refused)
{
  static const char text[]
      = "{\"items\":[{\"metadata\":{\"name\":\"i-1\",\"revision\":4,"
        "\"finalizers\":[\"a\\u0041\"]},\"spec\":{\"service\":\"s\",\"slots\":"
        "[1,2,{\"x\":null}]},\"status\":null},{\"metadata\":{\"name\":"
        "\"i-2\"}}],\"has_more\":false,\"current_rev\":12}";
  static const char bytes[] = "{}[]\",:\\u0eE-9\xff\x01 ";
  size_t decoded = 0;

  srand ((unsigned)_i + 1);
  for (int k = 0; k < 2000; k++)
    {
      TALLOC_CTX *scratch = talloc_new (owner);
      size_t length = (size_t)rand () % 8 == 0 ? (size_t)rand () % sizeof text
                                               : sizeof text - 1;
      /* Without a zero byte behind it.  */
      char *copy = talloc_memdup (scratch, text, length);
      struct ds_store_page *page;
      struct ds_error error;
      int status;

      for (int changes = rand () % 4; changes > 0 && length > 0; changes--)
        copy[(size_t)rand () % length]
            = bytes[(size_t)rand () % (sizeof bytes - 1)];
      status = ds_store_page_decode (
          &page, scratch, (struct ds_str){ .data = copy, .length = length },
          false, &error);
      ck_assert (status == 0 || status == DS_EPROTOCOL);
      decoded += status == 0;
      talloc_free (scratch);
    }
  ck_assert_uint_gt (decoded, 0);
}
END_TEST

/* Guards against a removal that is missed since the entry that was removed
   cannot be decoded.  */
START_TEST (the_removal_of_an_entry_that_cannot_be_decoded_is_read)
{
  for (size_t i = 0; i < sizeof odd_values / sizeof odd_values[0]; i++)
    {
      const char *text = talloc_asprintf (
          owner,
          "{\"events\":[{\"tombstone\":true,\"object\":{\"metadata\":{"
          "\"name\":\"b\",\"revision\":9},\"spec\":%s}},{\"tombstone\":"
          "false,\"object\":{\"metadata\":{\"name\":\"a\","
          "\"revision\":10},\"spec\":{}}}],\"current_rev\":12}",
          odd_values[i]);
      struct ds_store_page *page;
      struct ds_error error;

      ck_assert_int_eq (ds_store_page_decode (
                            &page, owner, ds_str_from_c (text), true, &error),
                        0);
      ck_assert_uint_eq (page->count, 2);
      ck_assert (page->objects[0].deleted && page->objects[0].revision == 9);
      ck_assert (!page->objects[1].deleted && page->objects[1].spec != NULL);
    }
}
END_TEST

/* Guards against a page of the ledger that cannot be decoded and is taken for
   one that does not exist.  */
START_TEST (an_object_without_a_readable_spec_has_a_problem)
{
  struct ds_store_object *object;
  struct ds_error error;

  ck_assert_int_eq (
      ds_store_object_decode (
          &object, owner,
          DS_STR ("{\"metadata\":{\"name\":\"a\",\"revision\":3},"
                  "\"spec\":1e999}"),
          &error),
      0);
  ck_assert (object->spec == NULL && object->problem != NULL);
  ck_assert_uint_eq (object->revision, 3);
  ck_assert_int_eq (ds_store_object_decode (&object, owner,
                                            DS_STR ("{\"spec\":{}}"), &error),
                    DS_EPROTOCOL);
}
END_TEST

/* Guards against an entry whose name hides it, so that neither its removal is
   seen nor a list continues after it.  */
START_TEST (a_name_of_any_bytes_is_read)
{
  static const struct
  {
    const char *text;
    struct ds_str name;
  } table[] = {
    { "\"\\u0000\\u0001\"", DS_STR ("\0\1") },
    { "\"\\ud800\"", DS_STR ("\xed\xa0\x80") },
    { "\"\xff\xfe\"", DS_STR ("\xff\xfe") },
    { "\"a&+#% b\"", DS_STR ("a&+#% b") },
  };

  for (size_t i = 0; i < sizeof table / sizeof table[0]; i++)
    {
      const char *text = talloc_asprintf (
          owner,
          "{\"events\":[{\"tombstone\":true,\"object\":{\"metadata\":"
          "{\"name\":%s,\"revision\":9}}}],\"current_rev\":12}",
          table[i].text);
      struct ds_store_page *page;
      struct ds_error error;

      ck_assert_int_eq (ds_store_page_decode (
                            &page, owner, ds_str_from_c (text), true, &error),
                        0);
      ck_assert_uint_eq (page->count, 1);
      ck_assert_uint_eq (page->unnamed, 0);
      ck_assert (ds_str_equal (page->objects[0].name, table[i].name));
      ck_assert (page->objects[0].deleted);
    }
}
END_TEST

/* Guards against a list that cannot be continued after the name of another
   writer's entry.  */
START_TEST (the_name_after_which_a_list_continues_is_encoded)
{
  struct ds_store_call call = {
    .verb = DS_STORE_LIST,
    .kind = "k",
    .after = DS_STR ("i-1.a_b~ &\r\n\0\xff"),
  };
  struct ds_str head_text;
  struct ds_str body;

  ck_assert_int_eq (ds_store_call_encode (&head_text, &body, owner, &call,
                                          DS_STR ("10.0.0.1:5")),
                    0);
  ck_assert_ptr_nonnull (strstr (
      head_text.data,
      "GET /daisystep/objects/k?after=i-1.a_b~%20%26%0D%0A%00%FF HTTP/1.1"));
}
END_TEST

START_TEST (a_conditional_write_names_its_revision)
{
  json_t *spec = json_pack ("{s:i}", "a", 1);
  struct ds_store_call call = {
    .verb = DS_STORE_REPLACE,
    .kind = "k",
    .name = DS_STR ("n"),
    .revision = 412,
    .conditional = true,
    .spec = spec,
  };
  struct ds_str head_text;
  struct ds_str body;

  ck_assert_int_eq (ds_store_call_encode (&head_text, &body, owner, &call,
                                          DS_STR ("10.0.0.1:5")),
                    0);
  ck_assert (
      strncmp (head_text.data, "PUT /daisystep/objects/k/n HTTP/1.1", 35)
      == 0);
  ck_assert_ptr_nonnull (strstr (body.data, "\"revision\":412"));
  json_decref (spec);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("wire");
  TCase *test_case = tcase_create ("wire");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case, a_request_header_is_parsed);
  tcase_add_test (test_case, restricted_headers_are_not_forwarded);
  tcase_add_test (test_case,
                  names_of_the_store_stay_within_their_header_lines);
  tcase_add_test (test_case, a_duplicate_header_is_refused);
  tcase_add_test (test_case, a_response_header_is_parsed);
  tcase_add_test (test_case, a_notice_of_leaving_is_parsed);
  tcase_add_test (test_case, the_wait_of_an_upstream_is_parsed);
  tcase_add_test (test_case, the_wait_of_an_upstream_is_not_forwarded);
  tcase_add_test (test_case, address_queries_are_answered);
  tcase_add_test (test_case, objects_without_a_name_are_skipped);
  tcase_add_test (test_case, an_entry_that_cannot_be_decoded_hides_no_other);
  tcase_add_loop_test (test_case, damaged_answers_are_decoded_or_refused, 0,
                       8);
  tcase_add_test (test_case,
                  the_removal_of_an_entry_that_cannot_be_decoded_is_read);
  tcase_add_test (test_case, an_object_without_a_readable_spec_has_a_problem);
  tcase_add_test (test_case, a_name_of_any_bytes_is_read);
  tcase_add_test (test_case, the_name_after_which_a_list_continues_is_encoded);
  tcase_add_test (test_case, a_conditional_write_names_its_revision);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
