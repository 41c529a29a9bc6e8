#include "options/settings_file.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define FILE_MAX_BYTES (1024 * 1024)
#define FLEET_KEY_CHARACTERS 64

bool
ash_address_parse (const char *text, char ip[16], uint16_t *port)
{
  const char *colon = strrchr (text, ':');
  struct in_addr address;
  char *end;
  long number;

  if (!colon || colon - text >= 16 || colon[1] < '0' || colon[1] > '9')
    return false;
  memcpy (ip, text, (size_t) (colon - text));
  ip[colon - text] = '\0';
  number = strtol (colon + 1, &end, 10);
  if (*end || number > UINT16_MAX || inet_pton (AF_INET, ip, &address) != 1)
    return false;
  *port = (uint16_t) number;
  return true;
}

void
ash_settings_check_address (struct ash_node *root,
                            const char *key,
                            const char *value,
                            struct ash_findings *findings)
{
  const struct ash_node *node = ash_node_get (root, key);
  char ip[16];
  uint16_t port;

  if (!ash_address_parse (value, ip, &port))
    ash_findings_add (findings, node ? node->line : 0, key, "'%s' is not IP:PORT", value);
}

void
ash_settings_check_fleet_key (const char *fleet_key, struct ash_findings *findings)
{
  if (*fleet_key && (strlen (fleet_key) != FLEET_KEY_CHARACTERS ||
                     strspn (fleet_key, "0123456789abcdefABCDEF") != FLEET_KEY_CHARACTERS))
    ash_findings_add (findings, 0, "fleet_key", "must be %d hex digits", FLEET_KEY_CHARACTERS);
}

uint32_t
ash_settings_read_addresses (struct ash_node *root,
                             const char *key,
                             char (*addresses)[ASH_OPTION_TEXT_BYTES],
                             uint32_t addresses_max,
                             struct ash_findings *findings)
{
  struct ash_node *node = ash_node_get (root, key);
  uint32_t count = 0;
  char ip[16];
  uint16_t port;

  if (node && node->kind != ASH_NODE_ARRAY)
    ash_findings_add (findings, node->line, key, "expected an array of \"IP:PORT\"");
  if (!node || node->kind != ASH_NODE_ARRAY)
    return 0;
  for (struct ash_node *item = node->children; item; item = item->next)
    {
      if (item->kind != ASH_NODE_STRING || !ash_address_parse (item->string, ip, &port))
        ash_findings_add (findings, item->line, key, "each must be a string IP:PORT");
      else if (count == addresses_max)
        ash_findings_add (findings, item->line, key, "more than %u", addresses_max);
      else
        strcpy (addresses[count++], item->string);
    }
  return count;
}

void
ash_settings_file_read (const char *path,
                        ash_settings_reader *reader,
                        void *target,
                        struct ash_findings *findings)
{
  FILE *file = fopen (path, "rb");
  char *text = NULL;
  size_t length;

  if (!file)
    {
      ash_findings_add (findings, 0, "file", "%s", strerror (errno));
      return;
    }
  text = malloc (FILE_MAX_BYTES);
  length = text ? fread (text, 1, FILE_MAX_BYTES, file) : 0;
  if (!text || ferror (file) || length == FILE_MAX_BYTES)
    ash_findings_add (findings, 0, "file", "can't be read, or is above %d bytes", FILE_MAX_BYTES);
  else
    reader (target, text, length, findings);
  free (text);
  fclose (file);
}
