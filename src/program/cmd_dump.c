#include "program/cli.h"
#include "program/commands.h"
#include "program/http_call.h"

#include "daisystep/address.h"

#include <jansson.h>
#include <stdio.h>

#define HTTP_OK 200
#define TIMEOUT_MS 10000

static const struct ds_cli_command command = {
  .name = "dump",
  .purpose = "Prints the state of a running host as JSON, read from its "
             "operator_address.",
};

static int
dump (const char *address, struct ds_error *error)
{
  char *scratch = talloc_new (NULL);
  struct ds_http_call_request request = {
    .method = "GET",
    .url = talloc_asprintf (scratch, "http://%s/v1/dump", address),
    .timeout_ms = TIMEOUT_MS,
  };
  struct ds_http_call_response response = { .status = 0 };
  json_t *json = NULL;
  int status = ds_http_call (&response, scratch, &request, error);

  if (status != 0)
    goto done;
  if (response.status != HTTP_OK)
    {
      status = ds_error_set (error, DS_EPROTOCOL, "read dump", address,
                             "HTTP status %ld, expected 200", response.status);
      goto done;
    }
  json = json_loadb (response.body.data, response.body.length,
                     JSON_REJECT_DUPLICATES, NULL);
  if (json == NULL)
    {
      status = ds_error_set (error, DS_EPROTOCOL, "read dump", address,
                             "the response body is not valid JSON");
      goto done;
    }
  ds_cli_print_json (json, true);

done:
  json_decref (json);
  talloc_free (scratch);
  return status;
}

/* "daisystep dump": see its --help.  */
int
ds_cmd_dump (int argc, char **argv)
{
  struct arg_str *address
      = arg_str1 (NULL, "address", "IP:PORT", "operator_address of the host");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_end *end = arg_end (20);
  void *table[] = { address, help, end };
  struct sockaddr_in parsed;
  struct ds_error error = DS_ERROR_NONE;
  int status = ds_cli_parse (argc, argv, &command, table, help, end);

  if (status != DS_CLI_CONTINUE)
    goto done;
  if (ds_address_parse (&parsed, ds_str_from_c (address->sval[0])) != 0)
    status
        = ds_cli_usage_error ("--address", "invalid value; allowed: IP:PORT");
  else if (dump (address->sval[0], &error) != 0)
    status = ds_cli_print_error (&error);
  else
    status = DS_EXIT_OK;

done:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return ds_cli_flush_output (status);
}
