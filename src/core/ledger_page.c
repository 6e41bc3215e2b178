#include "core/ledger_page.h"

#include <jansson.h>

/* Version of the stored format of a page.  */
#define FORMAT 2
/* Seed of the hash that assigns workspaces to pages.  */
#define INDEX_SEED 11

/* Reads a count of tokens; DS_EPROTOCOL for anything else.  */
static int
read_count (uint64_t *out, const json_t *value)
{
  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return DS_EPROTOCOL;
  *out = (uint64_t)json_integer_value (value);
  return 0;
}

/* Reads the member "releases" of an account, which pages of an earlier version
   do not have: arrays of tokens, start and span by writer.  */
static int
read_releases (struct ds_ledger_page *page, struct ds_str workspace,
               json_t *releases)
{
  const char *writer;
  json_t *value;

  json_object_foreach (releases, writer, value)
  {
    struct ds_release_schedule schedule;

    if (read_count (&schedule.tokens, json_array_get (value, 0)) != 0
        || read_count (&schedule.start_ms, json_array_get (value, 1)) != 0
        || read_count (&schedule.span_ms, json_array_get (value, 2)) != 0
        || schedule.span_ms > UINT32_MAX)
      return DS_EPROTOCOL;
    if (ds_ledger_page_set_release (page, workspace, ds_str_from_c (writer),
                                    &schedule)
        != 0)
      return DS_ENOMEM;
  }
  return 0;
}

/* Reads the bases of an account; none is no fault.  */
static int
read_bases (struct ds_ledger_account *account, const json_t *bases)
{
  size_t i;
  json_t *item;

  json_array_foreach (bases, i, item)
  {
    struct ds_ledger_base *base = &account->bases[account->base_count];

    if (account->base_count == DS_LEDGER_BASES
        || read_count (&base->era, json_array_get (item, 0)) != 0
        || read_count (&base->committed, json_array_get (item, 1)) != 0)
      return DS_EPROTOCOL;
    account->base_count++;
  }
  return 0;
}

static int
read_account (struct ds_ledger_page *page, const char *workspace,
              const json_t *value)
{
  struct ds_ledger_account *account
      = ds_ledger_page_find_or_add (page, ds_str_from_c (workspace));
  int status;

  if (account == NULL)
    return DS_ENOMEM;
  if (read_count (&account->limit, json_object_get (value, "limit")) != 0
      || read_count (&account->version, json_object_get (value, "version"))
             != 0
      || read_count (&account->settled, json_object_get (value, "settled"))
             != 0
      || read_count (&account->granted, json_object_get (value, "granted"))
             != 0)
    return DS_EPROTOCOL;
  status = read_bases (account, json_object_get (value, "bases"));
  if (status != 0)
    return status;
  return read_releases (page, account->workspace,
                        json_object_get (value, "releases"));
}

/* Reads the era KEY of SPEC; 0 if it is missing, as in pages of a store that
   has always been in era 0.  */
static int
read_era (uint64_t *out, const json_t *spec, const char *key)
{
  const json_t *value = json_object_get (spec, key);

  *out = 0;
  return value == NULL ? 0 : read_count (out, value);
}

/* The index of the page with WORKSPACE's account.  */
uint32_t
ds_ledger_page_index (struct ds_str workspace)
{
  return (uint32_t)(ds_str_hash (workspace, INDEX_SEED) % DS_LEDGER_PAGES);
}

/* Creates a page without accounts that belongs to OWNER.  */
int
ds_ledger_page_new (struct ds_ledger_page **out, TALLOC_CTX *owner)
{
  *out = talloc_zero (owner, struct ds_ledger_page);
  return *out != NULL ? 0 : DS_ENOMEM;
}

/* Decodes SPEC into a page that belongs to OWNER.  DS_EPROTOCOL when it
   is not a valid page, which must not be taken for an empty one.  */
int
ds_ledger_page_decode (struct ds_ledger_page **out, TALLOC_CTX *owner,
                       const json_t *spec, struct ds_error *error)
{
  json_t *accounts = json_object_get (spec, "accounts");
  json_t *writers = json_object_get (spec, "writers");
  struct ds_ledger_page *page;
  const char *key;
  json_t *value;
  int status = 0;

  if (json_integer_value (json_object_get (spec, "format")) != FORMAT
      || !json_is_object (accounts) || !json_is_object (writers))
    return ds_error_set (error, DS_EPROTOCOL, "read ledger page", "store",
                         "accounts or writers are missing, or the format "
                         "is not supported");
  if (ds_ledger_page_new (&page, owner) != 0)
    return ds_error_set (error, DS_ENOMEM, "read ledger page", "store",
                         "out of memory");
  status = read_era (&page->era, spec, "era");
  if (status == 0)
    status = read_era (&page->witness_era, spec, "witness_era");
  json_object_foreach (accounts, key, value)
  {
    if (status == 0)
      status = read_account (page, key, value);
  }
  json_object_foreach (writers, key, value)
  {
    uint64_t number;

    if (status == 0)
      status = read_count (&number, value);
    if (status == 0)
      status = ds_ledger_page_set_update_number (page, ds_str_from_c (key),
                                                 number);
  }
  if (status != 0)
    {
      talloc_free (page);
      return ds_error_set (error, (enum ds_error_code)status,
                           "read ledger page", "store",
                           "an account or writer is not valid");
    }
  *out = page;
  return 0;
}

static void
set_count (json_t *object, struct ds_str key, uint64_t value)
{
  (void)json_object_setn_new_nocheck (object, key.data, key.length,
                                      json_integer ((json_int_t)value));
}

/* Adds the releases of WORKSPACE to its ACCOUNT; without any, the format is
   that of earlier versions.  */
static void
set_releases (json_t *account, const struct ds_ledger_page *page,
              struct ds_str workspace)
{
  json_t *releases = NULL;

  for (size_t i = 0; i < page->release_count; i++)
    {
      const struct ds_ledger_release *release = &page->releases[i];
      json_t *value;

      if (!ds_str_equal (release->workspace, workspace))
        continue;
      if (releases == NULL)
        {
          releases = json_object ();
          (void)json_object_set_new (account, "releases", releases);
        }
      value = json_array ();
      (void)json_array_append_new (
          value, json_integer ((json_int_t)release->schedule.tokens));
      (void)json_array_append_new (
          value, json_integer ((json_int_t)release->schedule.start_ms));
      (void)json_array_append_new (
          value, json_integer ((json_int_t)release->schedule.span_ms));
      (void)json_object_setn_new_nocheck (releases, release->writer.data,
                                          release->writer.length, value);
    }
}

static void
add_bases (json_t *value, const struct ds_ledger_account *account)
{
  json_t *bases;

  if (account->base_count == 0)
    return;
  bases = json_array ();
  for (size_t i = 0; i < account->base_count; i++)
    (void)json_array_append_new (
        bases, json_pack ("[I,I]", (json_int_t)account->bases[i].era,
                          (json_int_t)account->bases[i].committed));
  (void)json_object_set_new (value, "bases", bases);
}

/* Encodes PAGE for ds_ledger_page_decode; the caller owns the result.  */
json_t *
ds_ledger_page_encode (const struct ds_ledger_page *page)
{
  json_t *document = json_object ();
  json_t *accounts = json_object ();
  json_t *writers = json_object ();

  for (size_t i = 0; i < page->account_count; i++)
    {
      const struct ds_ledger_account *account = &page->accounts[i];
      json_t *value = json_object ();

      set_count (value, DS_STR ("limit"), account->limit);
      set_count (value, DS_STR ("version"), account->version);
      set_count (value, DS_STR ("settled"), account->settled);
      set_count (value, DS_STR ("granted"), account->granted);
      set_releases (value, page, account->workspace);
      add_bases (value, account);
      (void)json_object_setn_new_nocheck (accounts, account->workspace.data,
                                          account->workspace.length, value);
    }
  for (size_t i = 0; i < page->writer_count; i++)
    set_count (writers, page->writers[i].name, page->writers[i].number);
  (void)json_object_set_new (document, "format", json_integer (FORMAT));
  if (page->era > 0)
    set_count (document, DS_STR ("era"), page->era);
  if (page->witness_era > 0)
    set_count (document, DS_STR ("witness_era"), page->witness_era);
  (void)json_object_set_new (document, "accounts", accounts);
  (void)json_object_set_new (document, "writers", writers);
  return document;
}

/* The number of WRITER's last update in PAGE, 0 for none.  */
uint64_t
ds_ledger_page_update_number (const struct ds_ledger_page *page,
                              struct ds_str writer)
{
  for (size_t i = 0; i < page->writer_count; i++)
    if (ds_str_equal (page->writers[i].name, writer))
      return page->writers[i].number;
  return 0;
}

/* Sets the number of WRITER's last update in PAGE.  */
int
ds_ledger_page_set_update_number (struct ds_ledger_page *page,
                                  struct ds_str writer, uint64_t number)
{
  struct ds_ledger_writer *grown;

  for (size_t i = 0; i < page->writer_count; i++)
    if (ds_str_equal (page->writers[i].name, writer))
      {
        page->writers[i].number = number;
        return 0;
      }
  grown = talloc_realloc (page, page->writers, struct ds_ledger_writer,
                          (unsigned)page->writer_count + 1);
  if (grown == NULL)
    return DS_ENOMEM;
  page->writers = grown;
  grown[page->writer_count++]
      = (struct ds_ledger_writer){ .name = ds_str_copy (page, writer),
                                   .number = number };
  return 0;
}

/* The host part of a writer's name: all before the incarnation's number.  */
static struct ds_str
host_part (struct ds_str writer)
{
  for (size_t i = writer.length; i > 0; i--)
    if (writer.data[i - 1] == '#')
      return (struct ds_str){ .data = writer.data, .length = i };
  return writer;
}

/* Removes the other incarnations of WRITER's host, which no longer write.
   Their tokens stay granted.  */
void
ds_ledger_page_remove_old_writers (struct ds_ledger_page *page,
                                   struct ds_str writer)
{
  for (size_t i = page->writer_count; i > 0; i--)
    if (ds_str_equal (host_part (page->writers[i - 1].name),
                      host_part (writer))
        && !ds_str_equal (page->writers[i - 1].name, writer))
      page->writers[i - 1] = page->writers[--page->writer_count];
}

/* Sets the release of WRITER's tokens of WORKSPACE; removes it if SCHEDULE has
   no tokens.  */
int
ds_ledger_page_set_release (struct ds_ledger_page *page,
                            struct ds_str workspace, struct ds_str writer,
                            const struct ds_release_schedule *schedule)
{
  struct ds_ledger_release *grown;
  size_t at = 0;

  while (at < page->release_count
         && (!ds_str_equal (page->releases[at].workspace, workspace)
             || !ds_str_equal (page->releases[at].writer, writer)))
    at++;
  if (schedule->tokens == 0)
    {
      if (at < page->release_count)
        page->releases[at] = page->releases[--page->release_count];
      return 0;
    }
  if (at < page->release_count)
    {
      page->releases[at].schedule = *schedule;
      return 0;
    }
  grown = talloc_realloc (page, page->releases, struct ds_ledger_release,
                          (unsigned)page->release_count + 1);
  if (grown == NULL)
    return DS_ENOMEM;
  page->releases = grown;
  grown[page->release_count++] = (struct ds_ledger_release){
    .workspace = ds_str_copy (page, workspace),
    .writer = ds_str_copy (page, writer),
    .schedule = *schedule,
  };
  return 0;
}

/* The account of WORKSPACE, or null.  */
const struct ds_ledger_account *
ds_ledger_page_find (const struct ds_ledger_page *page,
                     struct ds_str workspace)
{
  for (size_t i = 0; i < page->account_count; i++)
    if (ds_str_equal (page->accounts[i].workspace, workspace))
      return &page->accounts[i];
  return NULL;
}

/* The account of WORKSPACE, added if there is none; null when memory is
   short.  */
struct ds_ledger_account *
ds_ledger_page_find_or_add (struct ds_ledger_page *page,
                            struct ds_str workspace)
{
  struct ds_ledger_account *grown;

  for (size_t i = 0; i < page->account_count; i++)
    if (ds_str_equal (page->accounts[i].workspace, workspace))
      return &page->accounts[i];
  grown = talloc_realloc (page, page->accounts, struct ds_ledger_account,
                          (unsigned)page->account_count + 1);
  if (grown == NULL)
    return NULL;
  page->accounts = grown;
  grown[page->account_count]
      = (struct ds_ledger_account){ .workspace
                                    = ds_str_copy (page, workspace) };
  return &grown[page->account_count++];
}

/* Tokens of ACCOUNT that are neither settled nor granted.  */
uint64_t
ds_ledger_account_ungranted (const struct ds_ledger_account *account)
{
  uint64_t committed = account->settled + account->granted;

  return account->limit > committed ? account->limit - committed : 0;
}
