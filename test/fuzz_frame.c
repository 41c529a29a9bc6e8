/**
 * @file
 * Fuzzes what peers can send, before and after they have authenticated: no crash, no leak, and no
 * event of a kind that is local to a process is accepted.
 */
#include "controllers/config_delta.h"
#include "net/frame.h"
#include "net/handshake.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t length);

/* The base digest is set to the matching one, so that only the pieces decide whether the delta
 * applies. */
static void
apply_delta (struct Ash__ConfigDelta *delta)
{
  static const char text[] = "[[hall]]\nname = \"h\"\n[[hall]]\nname = \"i\"\n";
  const struct ash_config_text base = { 1, text, sizeof text - 1 };
  size_t length;

  delta->base_revision = base.revision;
  delta->base_digest = ash_config_digest (&base);
  free (ash_config_delta_apply (&base, delta, &length));
}

static void
read_all (const uint8_t *bytes, size_t length)
{
  static const uint8_t fleet_key[ASH_FRAME_KEY_BYTES] = { 1 };
  struct ash_nonces nonces = { { 1 }, { 2 } };
  struct ash_frame_key key = { 0 };
  struct ash_buffer buffer = { 0 };
  struct Ash__Event *event;
  uint8_t *at = ash_buffer_reserve (&buffer, length + 1);

  memcpy (at, bytes, length);
  buffer.length = length;
  while (ash_frame_read (&buffer, &key, &event) == ASH_FRAME_COMPLETE)
    {
      if ((int) event->kind_case >= ASH_EVENT_LOCAL_FIRST)
        abort ();
      if (event->kind_case == ASH__EVENT__KIND_HELLO &&
          ash_handshake_check (fleet_key, &nonces, ASH_SIDE_DIAL, event->hello))
        abort ();
      if (event->kind_case == ASH__EVENT__KIND_CONFIG_DELTA)
        apply_delta (event->config_delta);
      ash__event__free_unpacked (event, NULL);
    }
  ash_buffer_finish (&buffer);
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t length)
{
  char *text = malloc (length + 1);
  const char *error;
  struct Ash__Event *event;

  read_all (bytes, length);
  /* Also parse the input as the text form of an event, which golden sessions use. */
  memcpy (text, bytes, length);
  text[length] = '\0';
  event = ash_event_parse (text, &error);
  if (event)
    ash__event__free_unpacked (event, NULL);
  free (text);
  return 0;
}
