#include "options/router_settings.h"

#include "options/settings_file.h"

#define HOUR_MS 3600000
#define HOUR_S 3600

static const char *const log_formats[] = { "text", "json", NULL };
static const char *const log_levels[] = { "debug", "info", "warn", "error", NULL };

#define FIELD_OFFSET(field) offsetof (struct ash_router_settings, field)
/* clang-format off */
#define TEXT(name, default_value, help) \
  { #name, ASH_OPTION_TEXT, FIELD_OFFSET (name), default_value, 0, ASH_OPTION_TEXT_BYTES, \
    NULL, NULL, help }
#define CHOICE(name, default_value, list, help) \
  { #name, ASH_OPTION_CHOICE, FIELD_OFFSET (name), default_value, 0, 0, list, NULL, help }
#define MS(name, default_value, min, max, help) \
  { #name, ASH_OPTION_UINT, FIELD_OFFSET (name), default_value, min, max, NULL, "ms", help }
#define SECONDS(name, default_value, min, max, help) \
  { #name "_s", ASH_OPTION_SECONDS, FIELD_OFFSET (name##_ms), default_value, min, max, NULL, "s", \
    help }
#define COUNT(name, default_value, min, max, unit, help) \
  { #name, ASH_OPTION_UINT, FIELD_OFFSET (name), default_value, min, max, NULL, unit, help }
#define NUMBER(name, default_value, min, max, unit, help) \
  { #name, ASH_OPTION_NUMBER, FIELD_OFFSET (name), default_value, min, max, NULL, unit, help }
/* clang-format on */

const struct ash_option ash_router_options[] = {
  TEXT (box, NULL, "name of this box"),
  TEXT (hall, NULL, "failure domain of this box"),
  TEXT (frontend_listen, NULL, "IP:PORT for callers"),
  TEXT (readiness_listen, NULL, "IP:PORT of the readiness check"),
  TEXT (directory_listen, NULL, "IP:PORT where callers query the addresses to use"),
  TEXT (peer_listen, NULL, "IP:PORT for peer links"),
  TEXT (metrics_listen, NULL, "IP:PORT of the metrics page"),
  TEXT (store_address, NULL, "IP:PORT of the platform's store"),
  TEXT (fleet_key, NULL, "64 hex digits; the secret with which peers authenticate each other"),
  CHOICE (log_format, "text", log_formats, "format of a log line"),
  CHOICE (log_level, "info", log_levels, "lowest level that is logged"),
  COUNT (log_lines_s,
         "500",
         0,
         1000000,
         "lines",
         "logged in a second at most, warnings and errors exempt; 0: no limit"),
  MS (heartbeat_ms, "300", 10, 60000, "period of heartbeats on a peer link"),
  MS (link_silence_ms,
      "1000",
      50,
      600000,
      "a link is closed after no frame was received for this time"),
  MS (dial_retry_ms, "300", 10, 60000, "mean delay before a link is connected again"),
  MS (load_period_ms,
      "50",
      10,
      10000,
      "minimum interval between two reports of changed loads to peers"),
  MS (store_wait_ms,
      "20000",
      100,
      30000,
      "how long the store may hold a long poll for a new configuration"),
  MS (list_wait_ms,
      "3000",
      100,
      30000,
      "the same for the list of endpoints; shorter than the expiry time of an endpoint's entry"),
  MS (short_wait_ms,
      "1500",
      100,
      30000,
      "the same for both polls at the few routers that poll often for the whole fleet: a change "
      "whose answer is lost stays unknown to the fleet for at most this time plus 0.7 s"),
  MS (address_keep_ms,
      "2000",
      100,
      HOUR_MS,
      "how long callers may cache an answer of the directory"),
  SECONDS (grace, "8", 0.1, HOUR_S, "longest time from the stop signal to the exit of the process"),
  COUNT (
      connections_max,
      "2500",
      1,
      1000000,
      "connections",
      "from callers at the same time; a small box has 4,100 descriptors, and endpoints need some"),
  MS (wait_ms, "0", 0, 10000, "how long a request may wait until an endpoint has room"),
  COUNT (rank_streams,
         "16",
         1,
         10000,
         "streams",
         "at the same time at one rank of an engine at most, from all entries; fewer if the engine "
         "has fewer slots"),
  COUNT (plain_queue,
         "6",
         0,
         10000,
         "requests",
         "that may queue at a plain endpoint beyond its slots, from all entries"),
  MS (map_period_ms, "2500", 50, HOUR_MS, "time between two decisions on expert maps"),
  COUNT (map_layer_moves, "2", 0, 32, "experts", "that one change may add to a rank in a layer"),
  COUNT (map_rank_moves,
         "2",
         0,
         512,
         "experts",
         "that one change may add to a rank in a group of up to 12 ranks; more in larger groups"),
  COUNT (count_samples, "2", 1, 1024, "ranks", "that are polled for their expert counts each time"),
  NUMBER (map_decay, "0.5", 0, 1, "", "weight of former expert counts against similar new counts"),
  NUMBER (map_alike,
          "0.9",
          0,
          1,
          "",
          "cosine similarity from which two reports of a layer count as similar"),
  NUMBER (
      map_least_gain,
      "0.03",
      0,
      10,
      "mean loads",
      "least load that a move must take off its layer in a group of up to 12 ranks; less in larger "
      "groups"),
  NUMBER (priority_reserve,
          "0.6",
          0,
          1,
          "of the room",
          "that a request leaves free if all other demand is more urgent and room is short, at "
          "services whose routes differ in priority; it is room for a burst of urgent requests; 0: "
          "priorities don't matter"),
  NUMBER (outlier_part,
          "0",
          0,
          1,
          "of a service's endpoints",
          "that may be left out at once because routers of two halls saw requests fail there; 0: "
          "none"),
  NUMBER (resend_ratio, "0.1", 0, 1, "of requests", "that the fleet may resend in a window"),
  SECONDS (resend_window, "10", 0.1, HOUR_S, "length of the window for resends"),
  NUMBER (resend_slack,
          "20",
          0,
          100000,
          "requests",
          "that the fleet may resend in a window in addition to resend_ratio"),
  COUNT (memory_mb,
         "0",
         0,
         1000000,
         "MB",
         "memory of this box; answers that callers have not read may use a quarter of it, request "
         "bodies an eighth; 0: unknown, 48 MB for either"),
  NUMBER (
      cold_overrun,
      "1",
      1,
      100,
      "",
      "factor by which the requests that the fleet sends a cold endpoint in a second may exceed "
      "the rate that its service declares"),
  NUMBER (cold_slack,
          "0",
          0,
          100000,
          "requests",
          "that the fleet may send a cold endpoint in a second in addition"),
  NUMBER (link_mbps,
          "0",
          0,
          1000000,
          "Mbit/s",
          "send rate of this box; the routers with the fastest links do the work for the whole "
          "fleet; 0: unknown"),
  { 0 },
};

static void
check_combinations (const struct ash_router_settings *settings,
                    struct ash_node *root,
                    struct ash_findings *findings)
{
  const struct
  {
    const char *key;
    const char *value;
  } addresses[] = {
    { "frontend_listen", settings->frontend_listen },
    { "readiness_listen", settings->readiness_listen },
    { "directory_listen", settings->directory_listen },
    { "peer_listen", settings->peer_listen },
    { "metrics_listen", settings->metrics_listen },
    { "store_address", settings->store_address },
  };

  /* A missing address already has a finding. */
  for (size_t i = 0; i < sizeof addresses / sizeof addresses[0]; i++)
    if (*addresses[i].value)
      ash_settings_check_address (root, addresses[i].key, addresses[i].value, findings);
  ash_settings_check_fleet_key (settings->fleet_key, findings);
  if (settings->link_silence_ms < 2 * settings->heartbeat_ms)
    ash_findings_add (findings, 0, "link_silence_ms", "must be at least twice heartbeat_ms");
}

void
ash_router_settings_read (struct ash_router_settings *settings,
                          const char *text,
                          size_t text_bytes,
                          struct ash_findings *findings)
{
  struct ash_node *root = ash_node_read_toml (text, text_bytes, findings);

  *settings = (struct ash_router_settings){ 0 };
  if (!root)
    return;
  ash_options_read (ash_router_options, root, "", settings, findings);
  settings->seed_count =
      ash_settings_read_addresses (root, "seeds", settings->seeds, ASH_ROUTER_SEEDS_MAX, findings);
  ash_node_report_unused (root, "", findings);
  check_combinations (settings, root, findings);
  ash_node_free (root);
}

static void
read_text (void *target, const char *text, size_t text_bytes, struct ash_findings *findings)
{
  ash_router_settings_read (target, text, text_bytes, findings);
}

void
ash_router_settings_read_file (struct ash_router_settings *settings,
                               const char *path,
                               struct ash_findings *findings)
{
  ash_settings_file_read (path, read_text, settings, findings);
}
