#include "base/json_items.h"
#include "daisystep/error.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define DEPTH ((size_t)200000)

/* Appends the items of TEXT to OUT as "key=value;", or "!" for an error.  */
static char *
split (struct ds_str text)
{
  char *out = talloc_strdup (NULL, "");
  struct ds_json_items items;
  struct ds_str key;
  struct ds_str value;
  int status = ds_json_items_begin (&items, text);

  while (status == 0
         && (status = ds_json_items_next (&items, &key, &value)) > 0)
    {
      out = talloc_asprintf_append (out, "%.*s%s%.*s;", DS_STR_ARG (key),
                                    items.is_object ? "=" : "",
                                    DS_STR_ARG (value));
      status = 0;
    }
  return status < 0 ? talloc_asprintf_append (out, "!") : out;
}

/* Guards against an item that hides the others, or a part of one that is taken
   for an item.  */
START_TEST (items_are_split_without_decoding_them)
{
  static const struct
  {
    const char *text;
    const char *items;
  } table[] = {
    { "[]", "" },
    { " { } ", "" },
    { "[1, \"a,b\" ,[2,3],{\"x\":[4]}]", "1;\"a,b\";[2,3];{\"x\":[4]};" },
    { "{\"a\" : 1,\"b\":\"}\\\"]\",\"\\u0041\":{}}",
      "a=1;b=\"}\\\"]\";\\u0041={};" },
    { "[\"\\u0000\",1e999,99999999999999999999,2]",
      "\"\\u0000\";1e999;99999999999999999999;2;" },
    { "[\xff\xfe, nonsense \"x\" y, 2]", "\xff\xfe;nonsense \"x\" y;2;" },
    { "{7,\"a\" 1,\"b\":,\"c\":2}", "=7;=\"a\" 1;b=;c=2;" },
    { "[,1]", ";1;" },
    { "[\"\\\\\",1]", "\"\\\\\";1;" },
    { "", "!" },
    { "7", "!" },
    { "[", "!" },
    { "[1", "!" },
    { "[1}", "!" },
    { "[1][2]", "!" },
    { "[1]]", "!" },
    { "[[1]", "!" },
    { "[1,\"a]", "1;!" },
    { "[1,\"a\\]", "1;!" },
    { "[1,\"a\\\"]", "1;!" },
  };

  for (size_t i = 0; i < sizeof table / sizeof table[0]; i++)
    {
      char *found = split (ds_str_from_c (table[i].text));

      ck_assert_str_eq (found, table[i].items);
      talloc_free (found);
    }
}
END_TEST

/* Guards against an end of the process by an entry that is nested very
   deeply.  */
START_TEST (deep_nesting_takes_no_stack)
{
  char *text = talloc_array (NULL, char, 2 * DEPTH + 8);
  struct ds_json_items items;
  struct ds_str key;
  struct ds_str value;

  text[0] = '[';
  memset (text + 1, '[', DEPTH);
  memset (text + 1 + DEPTH, ']', DEPTH);
  memcpy (text + 1 + 2 * DEPTH, ", 7]", 5);
  ck_assert_int_eq (ds_json_items_begin (&items, ds_str_from_c (text)), 0);
  ck_assert_int_eq (ds_json_items_next (&items, &key, &value), 1);
  ck_assert_uint_eq (value.length, 2 * DEPTH);
  ck_assert_int_eq (ds_json_items_next (&items, &key, &value), 1);
  ck_assert (ds_str_equal (value, DS_STR ("7")));
  ck_assert_int_eq (ds_json_items_next (&items, &key, &value), 0);
  talloc_free (text);
}
END_TEST

START_TEST (a_member_is_found_beside_unreadable_ones)
{
  struct ds_str object
      = DS_STR ("{\"a\":\"\\u0000\",\"b\":1,\xff,\"b\": [2] ,\"c\":}");

  ck_assert (
      ds_str_equal (ds_json_member (object, DS_STR ("b")), DS_STR ("[2]")));
  ck_assert_uint_eq (ds_json_member (object, DS_STR ("c")).length, 0);
  ck_assert_uint_eq (ds_json_member (object, DS_STR ("d")).length, 0);
  ck_assert_uint_eq (
      ds_json_member (DS_STR ("{\"b\":1,\"c\":\"}"), DS_STR ("b")).length, 0);
  ck_assert_uint_eq (
      ds_json_member (DS_STR ("[\"b\",1]"), DS_STR ("b")).length, 0);
}
END_TEST

/* Guards against a name of another writer that cannot be read, so that no list
   can continue after it.  */
START_TEST (strings_of_any_bytes_are_decoded)
{
  static const struct
  {
    struct ds_str text;
    struct ds_str bytes; /* without data if TEXT is no string */
  } table[] = {
    { DS_STR ("\"\""), DS_STR ("") },
    { DS_STR ("\"a&+#% b\""), DS_STR ("a&+#% b") },
    { DS_STR ("\"\\\"\\\\\\/\\b\\f\\n\\r\\t\""), DS_STR ("\"\\/\b\f\n\r\t") },
    { DS_STR ("\"a\\u0000b\\u001F\""), DS_STR ("a\0b\x1f") },
    { DS_STR ("\"\\u00e4\\u20AC\\ud83d\\ude00\""),
      DS_STR ("\xc3\xa4\xe2\x82\xac\xf0\x9f\x98\x80") },
    { DS_STR ("\"\xc3\xa4\xff\xfe\""), DS_STR ("\xc3\xa4\xff\xfe") },
    { DS_STR ("\"\\ud800\""), DS_STR ("\xed\xa0\x80") },
    { DS_STR ("\"\\ud800\\n\""), DS_STR ("\xed\xa0\x80\n") },
    { DS_STR ("\"\\ud800\\u0041\""), DS_STR ("\xed\xa0\x80"
                                             "A") },
    { DS_STR ("\"\\udc00\""), DS_STR ("\xed\xb0\x80") },
    { DS_STR (""), { .data = NULL } },
    { DS_STR ("7"), { .data = NULL } },
    { DS_STR ("null"), { .data = NULL } },
    { DS_STR ("\""), { .data = NULL } },
    { DS_STR ("\"a"), { .data = NULL } },
    { DS_STR ("\"a\" "), { .data = NULL } },
    { DS_STR ("\"a\"b\""), { .data = NULL } },
    { DS_STR ("\"\\\""), { .data = NULL } },
    { DS_STR ("\"\\x41\""), { .data = NULL } },
    { DS_STR ("\"\\\0\""), { .data = NULL } },
    { DS_STR ("\"\\u004\""), { .data = NULL } },
    { DS_STR ("\"\\u00g0\""), { .data = NULL } },
  };

  for (size_t i = 0; i < sizeof table / sizeof table[0]; i++)
    {
      struct ds_str bytes;
      /* Its own block, so that a sanitizer sees what is read beyond it.  */
      char *text = talloc_memdup (NULL, table[i].text.data,
                                  (unsigned)table[i].text.length + 1);
      int status = ds_json_string_decode (
          &bytes, NULL,
          (struct ds_str){ .data = text, .length = table[i].text.length });

      ck_assert_int_eq (status,
                        table[i].bytes.data != NULL ? 0 : DS_EPROTOCOL);
      if (status == 0)
        {
          ck_assert (ds_str_equal (bytes, table[i].bytes));
          ck_assert_int_eq (bytes.data[bytes.length], '\0');
          talloc_free ((char *)bytes.data);
        }
      talloc_free (text);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("json_items");
  TCase *test_case = tcase_create ("json_items");
  SRunner *runner;
  int failed;

  tcase_add_test (test_case, items_are_split_without_decoding_them);
  tcase_add_test (test_case, deep_nesting_takes_no_stack);
  tcase_add_test (test_case, a_member_is_found_beside_unreadable_ones);
  tcase_add_test (test_case, strings_of_any_bytes_are_decoded);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
