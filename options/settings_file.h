/**
 * @file
 * Common parts of the settings of all programs: reading the file, and checks of addresses and of
 * the fleet key.
 */
#ifndef ASH_SETTINGS_FILE_H
#define ASH_SETTINGS_FILE_H

#include "options/option.h"

/** Parses the text of a settings file into @p target. */
typedef void ash_settings_reader (void *target,
                                  const char *text,
                                  size_t text_bytes,
                                  struct ash_findings *findings);

/** Reads a file of less than 1 MiB and passes its text to @p reader; adds a finding if it can't be
 * read. */
void ash_settings_file_read (const char *path,
                             ash_settings_reader *reader,
                             void *target,
                             struct ash_findings *findings);

/**
 * Parses `IP:PORT`.
 * @return false if @p text is not an IPv4 address in digits and a port from 0 to 65535.
 */
bool ash_address_parse (const char *text, char ip[16], uint16_t *port);

/** Adds a finding unless @p value, given for @p key in the file, is `IP:PORT`. */
void ash_settings_check_address (struct ash_node *root,
                                 const char *key,
                                 const char *value,
                                 struct ash_findings *findings);

/** Adds a finding unless the key is 64 hex digits. An empty key is skipped: a missing required key
 * already has a finding. */
void ash_settings_check_fleet_key (const char *fleet_key, struct ash_findings *findings);

/** Reads an array of addresses; adds a finding for each invalid or surplus address.
 * @return the number of addresses read. */
uint32_t ash_settings_read_addresses (struct ash_node *root,
                                      const char *key,
                                      char (*addresses)[ASH_OPTION_TEXT_BYTES],
                                      uint32_t addresses_max,
                                      struct ash_findings *findings);

#endif
