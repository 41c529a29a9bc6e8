#include "net/frame.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

static void
compute_mac (const struct ash_frame_key *key,
             const uint8_t *payload,
             size_t length,
             uint8_t mac[ASH_FRAME_MAC_BYTES])
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, key->key, sizeof key->key, ASH_FRAME_MAC_BYTES);
  crypto_generichash_update (&state, (const uint8_t *) &key->number, sizeof key->number);
  crypto_generichash_update (&state, payload, length);
  crypto_generichash_final (&state, mac, ASH_FRAME_MAC_BYTES);
}

bool
ash_frame_write (struct ash_buffer *out, struct ash_frame_key *key, const struct Ash__Event *event)
{
  size_t length = ash__event__get_packed_size (event);
  size_t mac_bytes = key->on ? ASH_FRAME_MAC_BYTES : 0;
  uint32_t header = htonl ((uint32_t) length);
  uint8_t *at;

  if (length > ASH_FRAME_MAX_BYTES)
    return false;
  at = ash_buffer_reserve (out, ASH_FRAME_HEADER_BYTES + length + mac_bytes);
  if (!at)
    return false;
  memcpy (at, &header, sizeof header);
  ash__event__pack (event, at + ASH_FRAME_HEADER_BYTES);
  if (key->on)
    {
      compute_mac (key, at + ASH_FRAME_HEADER_BYTES, length, at + ASH_FRAME_HEADER_BYTES + length);
      key->number++;
    }
  out->length += ASH_FRAME_HEADER_BYTES + length + mac_bytes;
  return true;
}

enum ash_frame_result
ash_frame_read (struct ash_buffer *in, struct ash_frame_key *key, struct Ash__Event **event)
{
  size_t limit = key->on ? ASH_FRAME_MAX_BYTES : ASH_FRAME_HELLO_MAX_BYTES;
  size_t mac_bytes = key->on ? ASH_FRAME_MAC_BYTES : 0;
  const uint8_t *at = in->bytes + in->start;
  uint8_t mac[ASH_FRAME_MAC_BYTES];
  uint32_t header;
  size_t length;

  if (in->length < ASH_FRAME_HEADER_BYTES)
    return ASH_FRAME_INCOMPLETE;
  memcpy (&header, at, sizeof header);
  length = ntohl (header);
  if (length > limit)
    return ASH_FRAME_INVALID;
  if (in->length < ASH_FRAME_HEADER_BYTES + length + mac_bytes)
    return ASH_FRAME_INCOMPLETE;
  at += ASH_FRAME_HEADER_BYTES;
  if (key->on)
    {
      compute_mac (key, at, length, mac);
      if (sodium_memcmp (mac, at + length, sizeof mac) != 0)
        return ASH_FRAME_INVALID;
      key->number++;
    }
  *event = ash__event__unpack (NULL, length, at);
  ash_buffer_consume (in, ASH_FRAME_HEADER_BYTES + length + mac_bytes);
  /* A peer never sends an event without a kind, or of a kind that only occurs within a process. */
  if (*event && ((*event)->kind_case == ASH__EVENT__KIND__NOT_SET ||
                 (int) (*event)->kind_case >= ASH_EVENT_LOCAL_FIRST))
    {
      ash__event__free_unpacked (*event, NULL);
      return ASH_FRAME_INVALID;
    }
  return *event ? ASH_FRAME_COMPLETE : ASH_FRAME_INVALID;
}
