#include "play.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The routes of the scripts: a stream of an engine and two of a plain service,
   one of which may not be repeated.  */
void
play_put_config (struct play_store *store, int version,
                 const struct play_tenant *tenants, int count)
{
  json_t *spec = json_pack (
      "{s:i,"
      "s:[{s:s,s:s,s:s,s:s,s:b,s:b,s:i,s:i,s:i,s:i,s:i,s:s},"
      "{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:s},"
      "{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:s}],"
      "s:[{s:s,s:s,s:i,s:{s:i,s:i,s:I}},{s:s,s:s,s:i}],"
      "s:{s:i,s:i,s:i,s:i},s:[]}",
      "version", version, "routes", "name", "history", "host", "d.example",
      "path_prefix", "/history/", "kind", "streaming", "resumable", 1,
      "sticky", 1, "timeout_ms", 10000, "max_attempts", 2, "target_latency_ms",
      800, "gap_aim_ms", 250, "priority", 1, "service", "engine", "name",
      "lookup", "host", "d.example", "path_prefix", "/lookup/", "kind",
      "idempotent", "timeout_ms", 20000, "max_attempts", 2,
      "target_latency_ms", 300, "priority", 2, "service", "ledger", "name",
      "book", "host", "d.example", "path_prefix", "/book/", "kind",
      "non_idempotent", "timeout_ms", 20000, "max_attempts", 1,
      "target_latency_ms", 300, "priority", 2, "service", "ledger", "services",
      "name", "engine", "health_path", "/health", "max_connections", 370,
      "engine", "slots", 64, "stride", 4, "kv_capacity", (json_int_t)421968,
      "name", "ledger", "health_path", "/health", "max_connections", 110,
      "limits", "max_header_bytes", 16384, "max_body_bytes", 4194304,
      "header_timeout_ms", 5000, "idle_timeout_ms", 20000, "tenants");

  if (spec == NULL)
    play_fail ("the configuration is not valid");
  for (int i = 0; i < count; i++)
    json_array_append_new (json_object_get (spec, "tenants"),
                           json_pack ("{s:s,s:[s],s:i,s:I}", "name",
                                      tenants[i].name, "api_keys",
                                      tenants[i].key, "priority", 0, "prepaid",
                                      (json_int_t)tenants[i].prepaid));
  play_store_put (store, "config", "main", spec);
}

void
play_put_replica (struct play_store *store, const char *id,
                  const char *service, const char *address)
{
  play_store_put (store, "servers", id,
                  json_pack ("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}",
                             "service", service, "address", address, "zone",
                             "kelheim", "version", "1", "slots", 64, "state",
                             "ready", "cold_remaining_ms", 0, "sequence", 1,
                             "born", (json_int_t)1790000000000));
}

/* sites/treidelstall.toml */
const struct play_site play_treidelstall = {
  .zone = "kelheim",
  .region = "altmuehl",
  .zones = "{\"kelheim\":\"altmuehl\",\"riedenburg\":\"altmuehl\","
           "\"beilngries\":\"altmuehl\"}",
  .apply_ms = 2000,
  .drain_ms = 2000,
  .cpu_share = 0.25,
  .link_mbps = 1000,
  .memory_mb = 110,
  .retry_slack = 56,
};

/* demands/acif-agenda-grown.toml */
const struct play_site play_acif = {
  .zone = "sanjose",
  .region = "cr-central",
  .zones = "{\"sanjose\":\"cr-central\",\"heredia\":\"cr-central\","
           "\"cartago\":\"cr-central\"}",
  .apply_ms = 3000,
  .drain_ms = 3000,
  .cpu_share = 0.5,
  .link_mbps = 200,
  .memory_mb = 512,
  .retry_slack = 164,
};

/* The settings that deploy/settings.json.template renders for a machine of
   SITE.  The caller frees them.  */
char *
play_settings (const struct play_site *site, int host, const char *store,
               bool first_start)
{
  char addresses[5][PLAY_ADDRESS_BYTES];
  char *text = malloc (4096);

  for (int i = 0; i < 5; i++)
    play_address (addresses[i], host, PLAY_PORT_CALLERS + i);
  (void)snprintf (
      text, 4096,
      "{\"host\":\"front-%s-%d\",\"zone\":\"%s\",\"region\":\"%s\","
      "\"caller_address\":\"%s\",\"readiness_address\":\"%s\","
      "\"directory_address\":\"%s\",\"gossip_address\":\"%s\","
      "\"metrics_address\":\"%s\",\"store_address\":\"%s\","
      "\"first_start\":%s,\"grace_s\":8.0,\"address_ttl_s\":2,"
      "\"config_apply_ms\":%d,\"drain_ms\":%d,\"zones\":%s,"
      "\"log_lines_per_s\":150,\"cpu_share\":%g,\"cpu_cores\":1,"
      "\"link_mbps\":%g,\"spread_callers\":true,\"memory_mb\":%d,"
      "\"retry\":{\"ratio\":0.2,\"slack\":%d,\"window_s\":10},"
      "\"budget\":{\"settle_ms\":1200,\"hold_ms\":13000,"
      "\"part_percent\":70,\"start_percent\":8,\"minimum_tokens\":30000,"
      "\"release\":{\"span_ms\":13000,\"usable_ms\":1600,"
      "\"rate_percent\":110}}}",
      site->zone, host + 1, site->zone, site->region, addresses[0],
      addresses[1], addresses[2], addresses[3], addresses[4], store,
      first_start ? "true" : "false", site->apply_ms, site->drain_ms,
      site->zones, site->cpu_share, site->link_mbps, site->memory_mb,
      site->retry_slack);
  return text;
}
