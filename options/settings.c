#include "options/settings.h"

#include "options/settings_file.h"

#include <string.h>

#define HOUR_MS 3600000

/* Shortest grace_ms; half of it is reserved for the last answers of a planned stop. */
#define GRACE_MIN_MS 1000

static const char *const roles[] = { "entry", "endpoint", NULL };
static const char *const routes[] = { "two_choices", "random", "round_robin", "least_reported",
                                      NULL };
static const char *const log_formats[] = { "text", "json", NULL };
static const char *const log_levels[] = { "debug", "info", "warn", "error", NULL };

#define FIELD_OFFSET(field) offsetof (struct ash_settings, field)
/* clang-format off */
#define TEXT(name, default_value, help) \
  { #name, ASH_OPTION_TEXT, FIELD_OFFSET (name), default_value, 0, ASH_OPTION_TEXT_BYTES, \
    NULL, NULL, help }
#define CHOICE(name, default_value, list, help) \
  { #name, ASH_OPTION_CHOICE, FIELD_OFFSET (name), default_value, 0, 0, list, NULL, help }
#define MS(name, default_value, min, max, help) \
  { #name, ASH_OPTION_UINT, FIELD_OFFSET (name), default_value, min, max, NULL, "ms", help }
#define COUNT(name, default_value, min, max, unit, help) \
  { #name, ASH_OPTION_UINT, FIELD_OFFSET (name), default_value, min, max, NULL, unit, help }
/* clang-format on */

const struct ash_option ash_settings_options[] = {
  TEXT (box, NULL, "name of this box, as in the published configuration"),
  CHOICE (role, NULL, roles, "what the daemon does here"),
  TEXT (hall, NULL, "failure domain of this box"),
  TEXT (fleet_key, NULL, "64 hex digits; the secret with which peers authenticate each other"),
  TEXT (peer_listen, NULL, "IP:PORT for peer links"),
  TEXT (http_listen, "", "IP:PORT for callers and operators (entry)"),
  TEXT (platform_url, "", "base URL of the platform's configuration service (entry)"),
  TEXT (engine_url, "", "base URL of this box's engine or service (endpoint)"),
  TEXT (operator_key_hash,
        "",
        "hash of the operators' key as printed by ashctl hash; empty: plans are disabled (entry)"),
  TEXT (reader_key_hash,
        "",
        "hash of a key that may query and plan, but not confirm; empty: none (entry)"),
  CHOICE (route,
          "two_choices",
          routes,
          "how an endpoint is chosen; all but two_choices are for comparison"),
  CHOICE (log_format, "text", log_formats, "format of a log line"),
  CHOICE (log_level, "info", log_levels, "lowest level that is logged"),
  COUNT (platform_readers,
         "2",
         1,
         1000,
         "entries",
         "in a hall that read the platform; the others learn from them"),
  MS (heartbeat_ms, "500", 10, 60000, "period of heartbeats on a link"),
  MS (link_silence_ms,
      "2000",
      50,
      600000,
      "a link is closed after no frame was received for this time; limits how late a frame can be"),
  MS (dial_retry_ms, "300", 10, 60000, "mean delay before a link is connected again"),
  MS (deadline_default_ms, "30000", 10, HOUR_MS, "deadline of a call that does not set one"),
  MS (deadline_max_ms, "600000", 10, HOUR_MS, "longest deadline that a call may set"),
  MS (address_keep_ms, "2000", 100, HOUR_MS, "how long callers may cache an address"),
  MS (grace_ms,
      "0",
      0,
      HOUR_MS,
      "longest duration of a planned stop: requests that would take longer are refused, requests "
      "in "
      "progress get a final answer; must be shorter than the time until SIGKILL; 0: no limit"),
  MS (ready_wait_ms,
      "2000",
      0,
      600000,
      "a new entry accepts callers once each service has a reachable endpoint, or after this time"),
  MS (retry_after_ms,
      "1000",
      1,
      HOUR_MS,
      "shortest retry time given in a refusal; randomized up to twice this"),
  MS (resume_ms,
      "1000",
      10,
      HOUR_MS,
      "how long an entry waits for a lost link before it retries requests that may be repeated"),
  MS (stall_ms,
      "800",
      10,
      HOUR_MS,
      "an engine that streams but sends no data for this time is stalled"),
  MS (stall_hold_ms, "1000", 0, HOUR_MS, "how long an endpoint is excluded after it was stalled"),
  MS (suspect_ms,
      "1200",
      10,
      HOUR_MS,
      "an endpoint without heartbeats for this time is excluded; a little over two heartbeats"),
  COUNT (prefix_bytes,
         "256",
         0,
         65536,
         "bytes",
         "length of the start of a body that identifies its prefix; 0: no affinity"),
  COUNT (affinity_milli,
         "250",
         0,
         10000,
         "thousandths of the slots",
         "additional load at which requests still go to the endpoint of their prefix"),
  MS (key_life_ms, "600000", 100, HOUR_MS, "how long an idempotency key is remembered"),
  MS (guard_ms,
      "10000",
      0,
      HOUR_MS,
      "longest time from a caller's sending to an entry's reading of a request; until it has "
      "passed, a new incarnation runs keyed requests only if their key was minted for it"),
  MS (id_life_ms,
      "60000",
      100,
      HOUR_MS,
      "how long requests without a key are remembered; longer than any frame can be delayed"),
  MS (orphan_ms,
      "1500",
      10,
      HOUR_MS,
      "a request that no entry waits for any more is cancelled after this time"),
  MS (keyed_orphan_ms,
      "15000",
      10,
      HOUR_MS,
      "the same for requests with a key, which the caller may submit again"),
  MS (pause_ms, "1000", 50, 60000, "a clock jump above this counts as a pause of the process"),
  MS (wake_ms,
      "1000",
      0,
      60000,
      "calls that are read within this time after a pause count as possibly old"),
  COUNT (
      slots, "32", 1, 100000, "requests", "requests the engine runs at the same time (endpoint)"),
  COUNT (queue_max, "256", 0, 100000, "requests", "requests that may wait (endpoint)"),
  COUNT (ledger_max, "100000", 16, 10000000, "requests", "requests remembered (endpoint)"),
  COUNT (answer_keep_bytes, "262144", 1024, 67108864, "bytes", "kept of the end of one answer"),
  COUNT (answers_keep_bytes, "8388608", 1024, 1073741824, "bytes", "kept of all finished answers"),
  COUNT (answer_max_bytes,
         "4194304",
         1024,
         1073741824,
         "bytes",
         "largest answer that is not streamed (entry)"),
  COUNT (body_max_bytes, "1048576", 1, 16777216, "bytes", "largest body of a call"),
  COUNT (connections_max,
         "4096",
         4,
         100000,
         "connections",
         "callers connected at the same time (entry)"),
  MS (idle_ms, "75000", 1000, HOUR_MS, "a caller's idle connection is closed after this time"),
  MS (upload_ms, "10000", 100, HOUR_MS, "a caller must have sent a complete call within this time"),
  { 0 },
};

static void
check_url (const struct ash_node *root,
           const char *key,
           const char *value,
           struct ash_findings *findings)
{
  const struct ash_node *node = ash_node_get ((struct ash_node *) root, key);

  if (strncmp (value, "http://", strlen ("http://")) != 0)
    ash_findings_add (findings, node ? node->line : 0, key, "must be given and start with http://");
}

/* Checks that involve several options. */
static void
check_combinations (const struct ash_settings *settings,
                    struct ash_node *root,
                    struct ash_findings *findings)
{
  ash_settings_check_fleet_key (settings->fleet_key, findings);
  if (*settings->peer_listen)
    ash_settings_check_address (root, "peer_listen", settings->peer_listen, findings);
  if (settings->role == ASH_SETTINGS_ENTRY)
    {
      ash_settings_check_address (root, "http_listen", settings->http_listen, findings);
      check_url (root, "platform_url", settings->platform_url, findings);
    }
  else
    check_url (root, "engine_url", settings->engine_url, findings);
  if (settings->link_silence_ms < 2 * settings->heartbeat_ms)
    ash_findings_add (findings, 0, "link_silence_ms", "must be at least twice heartbeat_ms");
  if (settings->suspect_ms < 2 * settings->heartbeat_ms)
    ash_findings_add (findings, 0, "suspect_ms", "must be at least twice heartbeat_ms");
  if (settings->id_life_ms < 2 * settings->link_silence_ms)
    ash_findings_add (findings, 0, "id_life_ms", "must be at least twice link_silence_ms");
  if (settings->key_life_ms < settings->id_life_ms)
    ash_findings_add (findings, 0, "key_life_ms", "must be at least id_life_ms");
  if (settings->grace_ms && settings->grace_ms < GRACE_MIN_MS)
    ash_findings_add (findings, 0, "grace_ms", "must be 0 or at least 1000");
  if (settings->grace_ms && settings->role == ASH_SETTINGS_ENTRY &&
      settings->grace_ms <= settings->address_keep_ms)
    ash_findings_add (findings, 0, "grace_ms", "must be 0 or above address_keep_ms");
  if (settings->deadline_default_ms > settings->deadline_max_ms)
    ash_findings_add (findings, 0, "deadline_default_ms", "must not be above deadline_max_ms");
}

void
ash_settings_init (struct ash_settings *settings)
{
  struct ash_node empty = { .kind = ASH_NODE_TABLE };
  struct ash_findings ignored;

  /* Required keys are missing from the empty table; their findings are discarded. */
  ash_findings_init (&ignored, "defaults");
  *settings = (struct ash_settings){ 0 };
  ash_options_read (ash_settings_options, &empty, "", settings, &ignored);
  ash_findings_finish (&ignored);
}

void
ash_settings_read (struct ash_settings *settings,
                   const char *text,
                   size_t text_bytes,
                   struct ash_findings *findings)
{
  struct ash_node *root = ash_node_read_toml (text, text_bytes, findings);

  ash_settings_init (settings);
  if (!root)
    return;
  ash_options_read (ash_settings_options, root, "", settings, findings);
  settings->peer_count = ash_settings_read_addresses (root, "peers", settings->peers,
                                                      ASH_SETTINGS_PEERS_MAX, findings);
  ash_node_report_unused (root, "", findings);
  check_combinations (settings, root, findings);
  ash_node_free (root);
}

static void
read_text (void *target, const char *text, size_t text_bytes, struct ash_findings *findings)
{
  ash_settings_read (target, text, text_bytes, findings);
}

void
ash_settings_read_file (struct ash_settings *settings,
                        const char *path,
                        struct ash_findings *findings)
{
  ash_settings_file_read (path, read_text, settings, findings);
}
