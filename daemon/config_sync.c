#include "daemon/config_sync.h"

#include "controllers/config_delta.h"

#include <stdlib.h>

static void
send_to (struct ash_daemon *daemon,
         const char *name,
         Ash__Event__KindCase kind,
         const void *message)
{
  struct Ash__Event event = ash_event_wrap (name, kind, message);

  ash_daemon_send (daemon, &event);
}

static void
send_whole (struct ash_daemon *daemon, const char *name)
{
  struct Ash__ConfigOffer offer = ASH__CONFIG_OFFER__INIT;

  offer.revision = ash_config_revision (daemon->config);
  offer.document.data = (uint8_t *) daemon->config->text;
  offer.document.len = daemon->config->text_bytes;
  send_to (daemon, name, ASH__EVENT__KIND_CONFIG_OFFER, &offer);
  ash_log_event (&daemon->log, ASH_EV_CONFIG_SENT, "box=%s revision=%llu bytes=%zu deltas=0", name,
                 (unsigned long long) offer.revision, offer.document.len);
}

/* @return false if there are no deltas from the peer's revision to the active one. */
static bool
send_deltas (struct ash_daemon *daemon, const struct ash_box *box)
{
  uint32_t first = 0;
  uint32_t count = ash_config_deltas (daemon->config, box->revision, &first);

  for (uint32_t i = first; i < first + count; i++)
    send_to (daemon, box->name, ASH__EVENT__KIND_CONFIG_DELTA, daemon->config->deltas[i]);
  if (count)
    ash_log_event (&daemon->log, ASH_EV_CONFIG_SENT, "box=%s revision=%llu deltas=%u", box->name,
                   (unsigned long long) ash_config_revision (daemon->config), count);
  return count > 0;
}

static bool
needs_offer (const struct ash_daemon *daemon, const struct ash_box *box)
{
  uint64_t revision = ash_config_revision (daemon->config);

  return box->linked && box->revision < revision && box->offered != revision;
}

void
ash_config_sync_peer (struct ash_daemon *daemon, const char *name)
{
  struct ash_box *box = ash_membership_find (daemon->membership, name);

  if (!box || !needs_offer (daemon, box))
    return;
  box->offered = ash_config_revision (daemon->config);
  if (!send_deltas (daemon, box))
    send_whole (daemon, name);
}

/* Whole documents are not sent here but after the peer's next heartbeat: many boxes get a new
 * configuration at about the same time, and by then the peer usually has it from one of them. */
void
ash_config_sync_push_deltas (struct ash_daemon *daemon)
{
  for (struct ash_box *box = daemon->membership->boxes; box; box = box->hh.next)
    if (needs_offer (daemon, box) && send_deltas (daemon, box))
      box->offered = ash_config_revision (daemon->config);
}

static void
handle_delta (struct ash_daemon *daemon, const char *peer, const struct Ash__ConfigDelta *delta)
{
  struct ash_config_text base = { ash_config_revision (daemon->config), daemon->config->text,
                                  daemon->config->text_bytes };
  struct Ash__ConfigWant want = ASH__CONFIG_WANT__INIT;
  size_t length;
  char *text;

  if (delta->revision <= base.revision)
    return;
  text = base.revision ? ash_config_delta_apply (&base, delta, &length) : NULL;
  if (!text)
    {
      send_to (daemon, peer, ASH__EVENT__KIND_CONFIG_WANT, &want);
      return;
    }
  ash_daemon_offer_config (daemon, delta->revision, text, length, peer);
  free (text);
}

bool
ash_config_sync_handle (struct ash_daemon *daemon, const struct Ash__Event *event)
{
  switch (event->kind_case)
    {
    case ASH__EVENT__KIND_CONFIG_OFFER:
      ash_daemon_offer_config (daemon, event->config_offer->revision,
                               (const char *) event->config_offer->document.data,
                               event->config_offer->document.len, event->peer);
      return true;
    case ASH__EVENT__KIND_CONFIG_DELTA:
      handle_delta (daemon, event->peer, event->config_delta);
      return true;
    case ASH__EVENT__KIND_CONFIG_WANT:
      if (daemon->config->ready)
        send_whole (daemon, event->peer);
      return true;
    default:
      return false;
    }
}
