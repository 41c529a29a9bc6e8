/**
 * @file
 * Settings of a daemon: its name and role, addresses, time-outs and limits. Read once at the start
 * of the process.
 */
#ifndef ASH_SETTINGS_H
#define ASH_SETTINGS_H

#include "options/option.h"
#include "options/settings_file.h"

/** Maximum number of `peers`: addresses of other boxes that a new process contacts first. */
#define ASH_SETTINGS_PEERS_MAX 16

enum ash_settings_role
{
  ASH_SETTINGS_ENTRY,
  ASH_SETTINGS_ENDPOINT,
};

/** How an entry chooses an endpoint. ASH_ROUTE_TWO_CHOICES is the default; the other policies are
 * only for comparison with it. */
enum ash_settings_route
{
  ASH_ROUTE_TWO_CHOICES,
  ASH_ROUTE_RANDOM,
  ASH_ROUTE_ROUND_ROBIN,
  ASH_ROUTE_LEAST_REPORTED,
};

/** Settings of a daemon. Each member has the name of its key. */
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

/** All options, for reading, help output and documentation. */
extern const struct ash_option ash_settings_options[];

/** Sets all members to their defaults. */
void ash_settings_init (struct ash_settings *settings);

/** Reads and checks settings in TOML; they are valid only if no finding was added. */
void ash_settings_read (struct ash_settings *settings,
                        const char *text,
                        size_t text_bytes,
                        struct ash_findings *findings);

/** Reads and checks a file; adds a finding if it can't be read. */
void ash_settings_read_file (struct ash_settings *settings,
                             const char *path,
                             struct ash_findings *findings);

#endif
