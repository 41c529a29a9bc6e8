#include "test/session.h"

#include <stdlib.h>
#include <string.h>

void
session_settings (struct ash_settings *settings, const char *box, bool is_entry)
{
  ash_settings_init (settings);
  snprintf (settings->box, sizeof settings->box, "%s", box);
  memset (settings->fleet_key, 'a', 64);
  settings->role = is_entry ? ASH_SETTINGS_ENTRY : ASH_SETTINGS_ENDPOINT;
}

static void
write_event (struct session *session, char direction, const struct Ash__Event *event)
{
  if (!session->transcript)
    return;
  fprintf (session->transcript, "%lld %c ", (long long) session->now.ms, direction);
  ash_event_print (event, session->transcript);
  fputc ('\n', session->transcript);
}

static void
on_emit (void *data, const struct Ash__Event *event)
{
  struct session *session = data;

  write_event (session, '>', event);
  if (session->emitted)
    session->emitted (session->data, session, event);
}

void
session_init (struct session *session, uint64_t seed, struct ash_time now)
{
  struct ash_sink sink = { on_emit, session };

  session->now = now;
  switch (session->core)
    {
    case SESSION_ENTRY:
      if (!ash_entry_init (&session->entry, &session->settings, seed, sink))
        abort ();
      break;
    case SESSION_AGENT:
      ash_agent_init (&session->agent, &session->settings, seed, now, sink);
      break;
    case SESSION_RANK:
      ash_expert_rank_init (&session->rank, "g", 0, seed, 1);
      break;
    }
}

void
session_finish (struct session *session)
{
  if (session->core == SESSION_ENTRY)
    ash_entry_finish (&session->entry);
  else if (session->core == SESSION_AGENT)
    ash_agent_finish (&session->agent);
}

/* Delivers an order to the rank; on a tick the rank begins its next step if it may. */
static void
deliver_to_rank (struct session *session, const struct Ash__Event *event)
{
  struct ash_sink sink = { on_emit, session };

  if (event->kind_case == ASH__EVENT__KIND_RANK_ORDER)
    ash_expert_rank_handle_order (&session->rank, event->rank_order, event->peer, &sink);
  else if (event->kind_case == ASH__EVENT__KIND_TICK && ash_expert_rank_may_begin (&session->rank))
    {
      uint64_t map = ash_expert_rank_begin (&session->rank);

      if (session->transcript)
        fprintf (session->transcript, "%lld > begins step %llu with map %llu\n",
                 (long long) session->now.ms, (unsigned long long) session->rank.begun,
                 (unsigned long long) map);
    }
}

void
session_deliver (struct session *session, struct ash_time now, const struct Ash__Event *event)
{
  session->now = now;
  write_event (session, '<', event);
  switch (session->core)
    {
    case SESSION_ENTRY:
      ash_entry_handle (&session->entry, now, event);
      break;
    case SESSION_AGENT:
      ash_agent_handle (&session->agent, now, event);
      break;
    case SESSION_RANK:
      deliver_to_rank (session, event);
      break;
    }
}

void
session_deliver_message (struct session *session,
                         struct ash_time now,
                         const char *peer,
                         Ash__Event__KindCase kind,
                         const void *message)
{
  struct Ash__Event event = ash_event_wrap (peer, kind, message);

  session_deliver (session, now, &event);
}

enum ash_config_result
session_offer_config (struct session *session,
                      struct ash_time now,
                      uint64_t revision,
                      const char *text,
                      size_t text_bytes)
{
  struct ash_config *config =
      session->core == SESSION_ENTRY ? &session->entry.config : &session->agent.config;
  struct ash_findings findings;
  enum ash_config_result result;

  session->now = now;
  ash_findings_init (&findings, "published");
  result = ash_config_offer (config, now, revision, text, text_bytes, session->settings.key_life_ms,
                             &findings);
  if (findings.count)
    ash_findings_print (&findings, stderr);
  ash_findings_finish (&findings);
  return result;
}

struct Ash__Event *
session_copy_event (const struct Ash__Event *event)
{
  size_t size = ash__event__get_packed_size (event);
  uint8_t *packed = malloc (size ? size : 1);
  struct Ash__Event *copy;

  ash__event__pack (event, packed);
  copy = ash__event__unpack (NULL, size, packed);
  free (packed);
  return copy;
}
