/**
 * @file
 * The settings of one daemon: who it is, where it listens, whom it asks, and
 * its time-outs. Read once at the start.
 */
#ifndef ASH_SETTINGS_H
#define ASH_SETTINGS_H

#include "options/option.h"
#include "options/settings_file.h"

/** Addresses of other boxes that a new process may ask first. */
#define ASH_SETTINGS_PEERS_MAX 16

/** What a daemon does on its box. */
enum ash_settings_role
{
  ASH_SETTINGS_ENTRY,
  ASH_SETTINGS_ENDPOINT,
};

/** How an entry chooses an endpoint. All but the first are for comparison. */
enum ash_settings_route
{
  ASH_ROUTE_TWO_CHOICES,
  ASH_ROUTE_RANDOM,
  ASH_ROUTE_ROUND_ROBIN,
  ASH_ROUTE_LEAST_REPORTED,
};

/** The settings of a daemon; times in milliseconds. */
struct ash_settings
{
  char box[ASH_OPTION_TEXT_BYTES];
  int role;
  char hall[ASH_OPTION_TEXT_BYTES];
  char fleet_key[ASH_OPTION_TEXT_BYTES];
  char peer_listen[ASH_OPTION_TEXT_BYTES];
  char http_listen[ASH_OPTION_TEXT_BYTES];
  char platform_url[ASH_OPTION_TEXT_BYTES];
  char engine_url[ASH_OPTION_TEXT_BYTES];
  char operator_key_hash[ASH_OPTION_TEXT_BYTES];
  char reader_key_hash[ASH_OPTION_TEXT_BYTES];
  int route;
  int log_format;
  int log_level;
  uint32_t platform_readers;
  uint32_t heartbeat_ms;
  uint32_t link_silence_ms;
  uint32_t dial_retry_ms;
  uint32_t deadline_default_ms;
  uint32_t deadline_max_ms;
  uint32_t address_keep_ms;
  uint32_t grace_ms;
  uint32_t ready_wait_ms;
  uint32_t retry_after_ms;
  uint32_t resume_ms;
  uint32_t stall_ms;
  uint32_t stall_hold_ms;
  uint32_t suspect_ms;
  uint32_t prefix_bytes;
  uint32_t affinity_milli;
  uint32_t key_life_ms;
  uint32_t guard_ms;
  uint32_t id_life_ms;
  uint32_t orphan_ms;
  uint32_t keyed_orphan_ms;
  uint32_t pause_ms;
  uint32_t wake_ms;
  uint32_t slots;
  uint32_t queue_max;
  uint32_t ledger_max;
  uint32_t answer_keep_bytes;
  uint32_t answers_keep_bytes;
  uint32_t answer_max_bytes;
  uint32_t body_max_bytes;
  uint32_t connections_max;
  uint32_t idle_ms;
  uint32_t upload_ms;
  char peers[ASH_SETTINGS_PEERS_MAX][ASH_OPTION_TEXT_BYTES];
  uint32_t peer_count;
};

/** The table of all options, for help and docs. */
extern const struct ash_option ash_settings_options[];

/** Fills @p settings with the defaults, as an empty file would. */
void ash_settings_init (struct ash_settings *settings);

/** Reads and checks a TOML text; the settings count only without findings. */
void ash_settings_read (struct ash_settings *settings,
                        const char *text,
                        size_t text_bytes,
                        struct ash_findings *findings);

/** Reads a file; a file that can't be read is a finding too. */
void ash_settings_read_file (struct ash_settings *settings,
                             const char *path,
                             struct ash_findings *findings);

#endif
