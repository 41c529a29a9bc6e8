/**
 * @file
 * Settings of a router: an entry that sends requests directly to endpoints. Read at the start of
 * the process, and again when a signal requests a reload.
 */
#ifndef ASH_ROUTER_SETTINGS_H
#define ASH_ROUTER_SETTINGS_H

#include "options/option.h"

/** Maximum number of seeds: addresses of other routers that a new process contacts first. */
#define ASH_ROUTER_SEEDS_MAX 16

/** Settings of a router. Each member has the name of its key; `_ms` members of keys in seconds
 * (`_s`) are converted to milliseconds. */
struct ash_router_settings
{
  char box[ASH_OPTION_TEXT_BYTES];
  char hall[ASH_OPTION_TEXT_BYTES];
  char frontend_listen[ASH_OPTION_TEXT_BYTES];
  char readiness_listen[ASH_OPTION_TEXT_BYTES];
  char directory_listen[ASH_OPTION_TEXT_BYTES];
  char peer_listen[ASH_OPTION_TEXT_BYTES];
  char metrics_listen[ASH_OPTION_TEXT_BYTES];
  char store_address[ASH_OPTION_TEXT_BYTES];
  char fleet_key[ASH_OPTION_TEXT_BYTES];
  int log_format;
  int log_level;
  uint32_t log_lines_s;
  uint32_t heartbeat_ms;
  uint32_t link_silence_ms;
  uint32_t dial_retry_ms;
  uint32_t load_period_ms;
  uint32_t store_wait_ms;
  uint32_t list_wait_ms;
  uint32_t short_wait_ms;
  uint32_t address_keep_ms;
  uint32_t grace_ms;
  uint32_t connections_max;
  uint32_t wait_ms;
  uint32_t rank_streams;
  uint32_t plain_queue;
  uint32_t map_period_ms;
  uint32_t map_layer_moves;
  uint32_t map_rank_moves;
  uint32_t count_samples;
  double map_decay;
  double map_alike;
  double map_least_gain;
  double priority_reserve;
  double outlier_part;
  double resend_ratio;
  uint32_t resend_window_ms;
  double resend_slack;
  uint32_t memory_mb;
  double cold_overrun;
  double cold_slack;
  double link_mbps;
  char seeds[ASH_ROUTER_SEEDS_MAX][ASH_OPTION_TEXT_BYTES];
  uint32_t seed_count;
};

/** All options, for reading, help output and documentation. */
extern const struct ash_option ash_router_options[];

/** Reads and checks a file; adds a finding if it can't be read. */
void ash_router_settings_read_file (struct ash_router_settings *settings,
                                    const char *path,
                                    struct ash_findings *findings);

/** Reads and checks settings in TOML; they are valid only if no finding was added. */
void ash_router_settings_read (struct ash_router_settings *settings,
                               const char *text,
                               size_t text_bytes,
                               struct ash_findings *findings);

#endif
