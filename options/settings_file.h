/**
 * @file
 * What the settings of all programs share: reading the file, and checks of
 * addresses and keys.
 */
#ifndef ASH_SETTINGS_FILE_H
#define ASH_SETTINGS_FILE_H

#include "options/option.h"

/** Reads a text of settings into its target. */
typedef void ash_settings_reader (void *target,
                                  const char *text,
                                  size_t text_bytes,
                                  struct ash_findings *findings);

/** Gives a file's text to @p reader; a file that can't be read is a finding. */
void ash_settings_file_read (const char *path,
                             ash_settings_reader *reader,
                             void *target,
                             struct ash_findings *findings);

/**
 * Splits `IP:PORT`.
 * @return false if it is not an IPv4 number and a port from 0 to 65535.
 */
bool ash_address_parse (const char *text, char ip[16], uint16_t *port);

/** Adds a finding unless the value of that key is an address. */
void ash_settings_check_address (struct ash_node *root,
                                 const char *key,
                                 const char *value,
                                 struct ash_findings *findings);

/** Adds a finding unless the key is 64 hex digits; one that is missing has its finding already. */
void ash_settings_check_fleet_key (const char *fleet_key, struct ash_findings *findings);

/** Reads an array of addresses. @return how many. */
uint32_t ash_settings_read_addresses (struct ash_node *root,
                                      const char *key,
                                      char (*addresses)[ASH_OPTION_TEXT_BYTES],
                                      uint32_t addresses_max,
                                      struct ash_findings *findings);

#endif
