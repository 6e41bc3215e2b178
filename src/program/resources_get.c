#include "program/cli.h"
#include "program/commands.h"
#include "program/resources.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

static const struct ds_cli_command command = {
  .name = "resources get",
  .purpose
  = "Prints the objects of KIND, or the object NAME.\n\"bills\" prints "
    "each bill once, from ledger pages and bill archives; \"budgets\" "
    "prints\nprepaid, limit, settled, granted and left tokens of each budget.",
};

struct get
{
  struct ds_object_client *client;
  const char *kind;
  /* Null for all objects of the kind.  */
  const char *name;
  const char *workspace;
  bool as_json;
};

static json_t *
object_spec (const json_t *object)
{
  return json_object_get (object, "spec");
}

static uint64_t
member_number (const json_t *object, const char *member)
{
  json_int_t value = json_integer_value (json_object_get (object, member));

  return value > 0 ? (uint64_t)value : 0;
}

static int
get_object (const struct get *get, struct ds_error *error)
{
  json_t *object;
  int status = ds_object_client_get (&object, get->client, get->kind,
                                     get->name, error);

  if (status != 0)
    return status;
  ds_cli_print_json (object, true);
  json_decref (object);
  return 0;
}

static int
get_kind (const struct get *get, struct ds_error *error)
{
  json_t *list;
  json_t *object;
  size_t index;
  int status = ds_object_client_list (&list, get->client, get->kind, error);

  if (status != 0)
    return status;
  if (get->as_json)
    ds_cli_print_json (json_object_get (list, "items"), true);
  else
    json_array_foreach (json_object_get (list, "items"), index, object)
    {
      (void)printf ("%s version %" PRIu64 " ",
                    ds_object_get_string (object, "name"),
                    ds_object_get_version (object));
      ds_cli_print_json (object_spec (object), false);
    }
  json_decref (list);
  return 0;
}

static void
print_bill (const struct get *get, const json_t *bill)
{
  if (get->workspace != NULL
      && strcmp (get->workspace, ds_object_get_string (bill, "workspace"))
             != 0)
    return;
  if (get->as_json)
    {
      ds_cli_print_json (bill, false);
      return;
    }
  (void)printf (
      "%s %s %s %s %" PRIu64 " %" PRIu64 " %" PRIu64 "%s\n",
      ds_object_get_string (bill, "id"),
      ds_object_get_string (bill, "workspace"),
      ds_object_get_string (bill, "budget"),
      ds_object_get_string (bill, "offering"),
      member_number (bill, "input_tokens"),
      member_number (bill, "output_tokens"), member_number (bill, "tokens"),
      json_is_true (json_object_get (bill, "estimated")) ? " estimated" : "");
}

static void
print_bills (const struct get *get, const json_t *object)
{
  json_t *bill;
  size_t index;

  json_array_foreach (json_object_get (object_spec (object), "bills"), index,
                      bill)
  {
    print_bill (get, bill);
  }
}

/* Prints the bills of PAGE: first those of the archives that it counts, then
   its own.  An archive beyond that count repeats bills of the page and is
   skipped.  */
static int
get_page_bills (const struct get *get, const json_t *page,
                struct ds_error *error)
{
  uint64_t archived = member_number (object_spec (page), "archived");

  for (uint64_t number = 0; number < archived; number++)
    {
      char *name = talloc_asprintf (
          NULL, "%s-%" PRIu64, ds_object_get_string (page, "name"), number);
      json_t *archive;
      int status = ds_object_client_get (&archive, get->client, "BillArchive",
                                         name, error);

      talloc_free (name);
      if (status != 0)
        return status;
      print_bills (get, archive);
      json_decref (archive);
    }
  print_bills (get, page);
  return 0;
}

static int
get_bills (const struct get *get, struct ds_error *error)
{
  json_t *pages;
  json_t *page;
  size_t index;
  int status
      = ds_object_client_list (&pages, get->client, "LedgerPage", error);

  if (status != 0)
    return status;
  if (!get->as_json)
    (void)puts ("id workspace budget offering input_tokens output_tokens "
                "tokens");
  json_array_foreach (json_object_get (pages, "items"), index, page)
  {
    status = get_page_bills (get, page, error);
    if (status != 0)
      {
        (void)fputs ("daisystep: the bills above are not complete\n", stderr);
        break;
      }
  }
  json_decref (pages);
  return status;
}

static const json_t *
find_account (const json_t *pages, const char *budget)
{
  json_t *page;
  size_t index;

  json_array_foreach ((json_t *)pages, index, page)
  {
    json_t *account;
    size_t number;

    json_array_foreach (json_object_get (object_spec (page), "accounts"),
                        number, account)
    {
      if (strcmp (ds_object_get_string (account, "budget"), budget) == 0)
        return account;
    }
  }
  return NULL;
}

static void
print_budget (const struct get *get, const json_t *budget,
              const json_t *account)
{
  const char *name = ds_object_get_string (budget, "name");
  uint64_t prepaid = member_number (object_spec (budget), "prepaid");
  uint64_t limit = member_number (account, "limit");
  uint64_t settled = member_number (account, "settled");
  uint64_t granted = 0;
  uint64_t left;
  json_t *holder;
  size_t index;

  json_array_foreach (json_object_get (account, "holders"), index, holder)
  {
    granted += member_number (holder, "granted");
  }
  left = limit > settled + granted ? limit - settled - granted : 0;
  if (get->as_json)
    {
      json_t *line = json_pack ("{s:s, s:I, s:I, s:I, s:I, s:I}", "name", name,
                                "prepaid", (json_int_t)prepaid, "limit",
                                (json_int_t)limit, "settled",
                                (json_int_t)settled, "granted",
                                (json_int_t)granted, "left", (json_int_t)left);

      ds_cli_print_json (line, false);
      json_decref (line);
    }
  else
    (void)printf ("%s %" PRIu64 " %" PRIu64 " %" PRIu64 " %" PRIu64 " %" PRIu64
                  "\n",
                  name, prepaid, limit, settled, granted, left);
}

/* Prints the budgets with their accounts.  A budget that no host has accepted
   yet has no account: its limit is 0.  */
static int
get_budgets (const struct get *get, struct ds_error *error)
{
  json_t *budgets = NULL;
  json_t *pages = NULL;
  json_t *budget;
  size_t index;
  int status = ds_object_client_list (&budgets, get->client, "Budget", error);

  if (status == 0)
    status = ds_object_client_list (&pages, get->client, "LedgerPage", error);
  if (status != 0)
    goto done;
  if (!get->as_json)
    (void)puts ("name prepaid limit settled granted left");
  json_array_foreach (json_object_get (budgets, "items"), index, budget)
  {
    print_budget (get, budget,
                  find_account (json_object_get (pages, "items"),
                                ds_object_get_string (budget, "name")));
  }

done:
  json_decref (budgets);
  json_decref (pages);
  return status;
}

static int
run (const struct get *get)
{
  struct ds_error error = DS_ERROR_NONE;
  int status;

  if (strcmp (get->kind, "bills") == 0 && get->name == NULL)
    status = get_bills (get, &error);
  else if (get->workspace != NULL)
    return ds_cli_usage_error ("--workspace", "allowed only with \"bills\"");
  else if (strcmp (get->kind, "budgets") == 0 && get->name == NULL)
    status = get_budgets (get, &error);
  else if (get->name != NULL)
    status = get_object (get, &error);
  else
    status = get_kind (get, &error);
  return status != 0 ? ds_cli_print_error (&error) : DS_EXIT_OK;
}

/* "daisystep resources get": see its --help.  */
int
ds_resources_get (int argc, char **argv)
{
  struct ds_cli_platform_options platform = ds_cli_platform_args ();
  struct arg_str *workspace
      = arg_str0 (NULL, "workspace", "NAME", "bills of this workspace only");
  struct arg_lit *json
      = arg_lit0 (NULL, "json",
                  "objects as a JSON array; bills and budgets as JSON lines");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_str *kind = arg_str1 (NULL, NULL, "KIND|bills|budgets", NULL);
  struct arg_str *name = arg_str0 (NULL, NULL, "NAME", NULL);
  struct arg_end *end = arg_end (20);
  void *table[] = { platform.url, platform.token, platform.timeout_ms,
                    workspace,    json,           help,
                    kind,         name,           end };
  struct get get = { .client = NULL };
  int status = ds_cli_parse (argc, argv, &command, table, help, end);

  if (status != DS_CLI_CONTINUE)
    goto done;
  status = ds_cli_client_new (&get.client, NULL, &platform);
  if (status != 0)
    goto done;
  get.kind = kind->sval[0];
  get.name = name->count > 0 ? name->sval[0] : NULL;
  get.workspace = workspace->count > 0 ? workspace->sval[0] : NULL;
  get.as_json = json->count > 0;
  status = run (&get);
  ds_object_client_free (get.client);

done:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return ds_cli_flush_output (status);
}
