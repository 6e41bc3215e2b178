#include "daisystep/ledger.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Incarnations exceed the integers that all JSON readers can represent, and
   are written as 16 hexadecimal digits.  */
#define INCARNATION_HEX_BYTES 17

static json_t *
incarnation_to_json (uint64_t incarnation)
{
  char text[INCARNATION_HEX_BYTES];

  (void)snprintf (text, sizeof text, "%016" PRIx64, incarnation);
  return json_string (text);
}

static json_t *
id_to_json (const struct ds_request_id *id)
{
  char text[DS_REQUEST_ID_HEX_BYTES];

  ds_request_id_to_hex (text, id);
  return json_string (text);
}

static json_t *
str_to_json (struct ds_str string)
{
  return json_stringn (string.data, string.length);
}

/* Encodes BILL for the object API.  DS_ENOMEM when memory is short.  */
int
ds_bill_to_json (struct json_t **out, const struct ds_bill *bill)
{
  *out = json_pack (
      "{s:o, s:o, s:o, s:o, s:o, s:I, s:I, s:I}", "id", id_to_json (&bill->id),
      "workspace", str_to_json (bill->workspace), "budget",
      str_to_json (bill->budget), "offering", str_to_json (bill->offering),
      "incarnation", incarnation_to_json (bill->incarnation), "input_tokens",
      (json_int_t)bill->input_tokens, "output_tokens",
      (json_int_t)bill->output_tokens, "tokens", (json_int_t)bill->tokens);
  if (*out == NULL)
    return DS_ENOMEM;
  if (bill->estimated)
    json_object_set_new (*out, "estimated", json_true ());
  if (bill->keyed)
    json_object_set_new (*out, "keyed", json_true ());
  return 0;
}

static json_t *
bills_to_json (const struct ds_bill *bills, size_t count)
{
  json_t *array = json_array ();

  for (size_t i = 0; i < count; i++)
    {
      json_t *bill = NULL;

      ds_bill_to_json (&bill, &bills[i]);
      json_array_append_new (array, bill);
    }
  return array;
}

static json_t *
holder_to_json (const struct ds_holder *holder)
{
  json_t *json = json_pack ("{s:o, s:I}", "incarnation",
                            incarnation_to_json (holder->incarnation),
                            "granted", (json_int_t)holder->granted);

  if (holder->sealed)
    json_object_set_new (json, "sealed", json_true ());
  if (holder->provisional_count > 0)
    json_object_set_new (
        json, "provisional",
        bills_to_json (holder->provisional, holder->provisional_count));
  return json;
}

static json_t *
account_to_json (const struct ds_account *account)
{
  json_t *holders = json_array ();
  json_t *transfers = json_array ();
  json_t *json;

  for (size_t i = 0; i < account->holder_count; i++)
    json_array_append_new (holders, holder_to_json (&account->holders[i]));
  for (size_t i = 0; i < account->transfer_count; i++)
    json_array_append_new (
        transfers,
        json_pack ("{s:o, s:o, s:I}", "giver",
                   incarnation_to_json (account->transfers[i].giver),
                   "receiver",
                   incarnation_to_json (account->transfers[i].receiver),
                   "total", (json_int_t)account->transfers[i].total));
  json = json_pack ("{s:o, s:I, s:I, s:I, s:o}", "budget",
                    str_to_json (account->budget), "budget_version",
                    (json_int_t)account->budget_version, "limit",
                    (json_int_t)account->limit, "settled",
                    (json_int_t)account->settled, "holders", holders);
  if (json_array_size (transfers) > 0)
    json_object_set (json, "transfers", transfers);
  json_decref (transfers);
  return json;
}

static json_t *
writer_to_json (const struct ds_writer *writer)
{
  json_t *json
      = json_pack ("{s:o, s:I, s:I}", "incarnation",
                   incarnation_to_json (writer->incarnation), "operation",
                   (json_int_t)writer->operation, "settled_through",
                   (json_int_t)writer->settled_through);

  if (writer->sealed)
    json_object_set_new (json, "sealed", json_true ());
  return json;
}

/* Encodes a LedgerPage object's content.  DS_ENOMEM when memory is short.  */
int
ds_ledger_to_json (struct json_t **out, const struct ds_ledger *ledger)
{
  json_t *accounts = json_array ();
  json_t *writers = json_array ();
  json_t *keyed = json_array ();

  for (size_t i = 0; i < ledger->account_count; i++)
    json_array_append_new (accounts, account_to_json (&ledger->accounts[i]));
  for (size_t i = 0; i < ledger->writer_count; i++)
    json_array_append_new (writers, writer_to_json (&ledger->writers[i]));
  for (size_t i = 0; i < ledger->keyed_count; i++)
    json_array_append_new (keyed, id_to_json (&ledger->keyed[i]));
  *out = json_pack ("{s:I, s:o, s:o, s:o}", "archived",
                    (json_int_t)ledger->archived, "accounts", accounts,
                    "writers", writers, "bills",
                    bills_to_json (ledger->bills, ledger->bill_count));
  if (*out != NULL && json_array_size (keyed) > 0)
    json_object_set (*out, "keyed", keyed);
  json_decref (keyed);
  return *out != NULL ? 0 : DS_ENOMEM;
}

/* State of the decoding, which keeps only the first error.  */
struct reader
{
  const char *object;
  struct ds_error *error;
  int result;
};

static void
fail (struct reader *reader, const char *member, const char *expected)
{
  if (reader->result < 0)
    return;
  reader->result = ds_error_set (reader->error, DS_EINVAL, "read ledger page",
                                 NULL, "%s: member '%s' must be %s",
                                 reader->object, member, expected);
}

static uint64_t
read_number (struct reader *reader, const json_t *json, const char *member)
{
  const json_t *value = json_object_get (json, member);

  if (!json_is_integer (value) || json_integer_value (value) < 0)
    {
      fail (reader, member, "an integer of at least 0");
      return 0;
    }
  return (uint64_t)json_integer_value (value);
}

static struct ds_str
read_str (struct reader *reader, TALLOC_CTX *owner, const json_t *json,
          const char *member)
{
  const json_t *value = json_object_get (json, member);

  if (!json_is_string (value))
    {
      fail (reader, member, "a string");
      return DS_STR_EMPTY;
    }
  return ds_str_copy (owner,
                      (struct ds_str){ .data = json_string_value (value),
                                       .length = json_string_length (value) });
}

static uint64_t
read_incarnation (struct reader *reader, const json_t *json,
                  const char *member)
{
  const char *text = json_string_value (json_object_get (json, member));
  char *end = NULL;
  uint64_t value;

  if (text == NULL || strlen (text) != INCARNATION_HEX_BYTES - 1
      || strspn (text, "0123456789abcdef") != INCARNATION_HEX_BYTES - 1)
    {
      fail (reader, member, "16 hexadecimal digits");
      return 0;
    }
  value = strtoull (text, &end, 16);
  return value;
}

static void
read_id (struct reader *reader, struct ds_request_id *out, const json_t *value)
{
  if (!json_is_string (value)
      || ds_request_id_from_hex (out,
                                 ds_str_from_c (json_string_value (value)))
             < 0)
    fail (reader, "id", "32 hexadecimal digits");
}

static const json_t *
read_array (struct reader *reader, const json_t *json, const char *member,
            bool required)
{
  const json_t *value = json_object_get (json, member);

  if (value == NULL && !required)
    return NULL;
  if (!json_is_array (value))
    {
      fail (reader, member, "an array");
      return NULL;
    }
  return value;
}

static void
read_bill (struct reader *reader, TALLOC_CTX *owner, struct ds_bill *out,
           const json_t *json)
{
  *out = (struct ds_bill){
    .budget = read_str (reader, owner, json, "budget"),
    .workspace = read_str (reader, owner, json, "workspace"),
    .offering = read_str (reader, owner, json, "offering"),
    .incarnation = read_incarnation (reader, json, "incarnation"),
    .input_tokens = read_number (reader, json, "input_tokens"),
    .output_tokens = read_number (reader, json, "output_tokens"),
    .tokens = read_number (reader, json, "tokens"),
    .estimated = json_is_true (json_object_get (json, "estimated")),
    .keyed = json_is_true (json_object_get (json, "keyed")),
  };
  read_id (reader, &out->id, json_object_get (json, "id"));
}

static struct ds_bill *
read_bills (struct reader *reader, TALLOC_CTX *owner, size_t *count,
            const json_t *array)
{
  struct ds_bill *bills;

  *count = json_array_size (array);
  if (*count == 0)
    return NULL;
  bills = talloc_zero_array (owner, struct ds_bill, *count);
  for (size_t i = 0; bills != NULL && i < *count; i++)
    read_bill (reader, owner, &bills[i], json_array_get (array, i));
  return bills;
}

static void
read_holder (struct reader *reader, TALLOC_CTX *owner, struct ds_holder *out,
             const json_t *json)
{
  *out = (struct ds_holder){
    .incarnation = read_incarnation (reader, json, "incarnation"),
    .granted = read_number (reader, json, "granted"),
    .sealed = json_is_true (json_object_get (json, "sealed")),
  };
  out->provisional
      = read_bills (reader, owner, &out->provisional_count,
                    read_array (reader, json, "provisional", false));
}

static void
read_transfers (struct reader *reader, struct ds_ledger *ledger,
                struct ds_account *out, const json_t *array)
{
  out->transfer_count = json_array_size (array);
  out->transfers
      = talloc_zero_array (ledger, struct ds_transfer, out->transfer_count);
  for (size_t i = 0; i < out->transfer_count; i++)
    {
      const json_t *json = json_array_get (array, i);

      out->transfers[i] = (struct ds_transfer){
        .giver = read_incarnation (reader, json, "giver"),
        .receiver = read_incarnation (reader, json, "receiver"),
        .total = read_number (reader, json, "total"),
      };
    }
}

static void
read_account (struct reader *reader, struct ds_ledger *ledger,
              struct ds_account *out, const json_t *json)
{
  const json_t *holders = read_array (reader, json, "holders", true);

  *out = (struct ds_account){
    .budget = read_str (reader, ledger, json, "budget"),
    .budget_version = read_number (reader, json, "budget_version"),
    .limit = read_number (reader, json, "limit"),
    .settled = read_number (reader, json, "settled"),
    .holder_count = json_array_size (holders),
  };
  out->holders
      = talloc_zero_array (ledger, struct ds_holder, out->holder_count);
  for (size_t i = 0; i < out->holder_count; i++)
    read_holder (reader, ledger, &out->holders[i],
                 json_array_get (holders, i));
  read_transfers (reader, ledger, out,
                  read_array (reader, json, "transfers", false));
}

static void
read_accounts (struct reader *reader, struct ds_ledger *ledger,
               const json_t *array)
{
  ledger->account_count = json_array_size (array);
  ledger->accounts
      = talloc_zero_array (ledger, struct ds_account, ledger->account_count);
  for (size_t i = 0; i < ledger->account_count; i++)
    read_account (reader, ledger, &ledger->accounts[i],
                  json_array_get (array, i));
}

static void
read_writers (struct reader *reader, struct ds_ledger *ledger,
              const json_t *array)
{
  ledger->writer_count = json_array_size (array);
  ledger->writers
      = talloc_zero_array (ledger, struct ds_writer, ledger->writer_count);
  for (size_t i = 0; i < ledger->writer_count; i++)
    {
      const json_t *json = json_array_get (array, i);

      ledger->writers[i] = (struct ds_writer){
        .incarnation = read_incarnation (reader, json, "incarnation"),
        .operation = read_number (reader, json, "operation"),
        .settled_through = read_number (reader, json, "settled_through"),
        .sealed = json_is_true (json_object_get (json, "sealed")),
      };
    }
}

static void
read_keyed (struct reader *reader, struct ds_ledger *ledger,
            const json_t *array)
{
  ledger->keyed_count = json_array_size (array);
  ledger->keyed
      = talloc_zero_array (ledger, struct ds_request_id, ledger->keyed_count);
  for (size_t i = 0; i < ledger->keyed_count; i++)
    read_id (reader, &ledger->keyed[i], json_array_get (array, i));
}

/* Decodes the content of a LedgerPage object; the caller sets the version.
   DS_EINVAL with the member in ERROR when JSON is not a page, DS_ERANGE when
   ds_ledger_check fails.  */
int
ds_ledger_from_json (struct ds_ledger **out, TALLOC_CTX *owner,
                     const struct json_t *json, struct ds_error *error)
{
  struct reader reader = { .object = "LedgerPage", .error = error };
  struct ds_ledger *ledger;

  if (ds_ledger_new (&ledger, owner) < 0)
    return DS_ENOMEM;
  ledger->archived = read_number (&reader, json, "archived");
  read_accounts (&reader, ledger,
                 read_array (&reader, json, "accounts", true));
  read_writers (&reader, ledger, read_array (&reader, json, "writers", true));
  ledger->bills = read_bills (&reader, ledger, &ledger->bill_count,
                              read_array (&reader, json, "bills", true));
  read_keyed (&reader, ledger, read_array (&reader, json, "keyed", false));
  if (reader.result == 0)
    reader.result = ds_ledger_check (ledger, error);
  if (reader.result < 0)
    {
      talloc_free (ledger);
      return reader.result;
    }
  *out = ledger;
  return 0;
}
