#include "controllers/declared.h"

#include <string.h>

enum ash_declared_state
ash_declared_state (const struct ash_declared_event *event, int64_t unix_s)
{
  if (unix_s < (int64_t) event->start_s - event->lead_s)
    return ASH_DECLARED_COMING;
  if (unix_s < event->start_s)
    return ASH_DECLARED_LEAD;
  return unix_s < (int64_t) event->start_s + event->length_s ? ASH_DECLARED_ON : ASH_DECLARED_OVER;
}

const char *
ash_declared_state_name (enum ash_declared_state state)
{
  static const char *const names[] = { "coming", "lead", "on", "over" };

  return names[state];
}

static bool
is_active (const struct ash_document *document, const char *name, int64_t unix_s)
{
  const struct ash_declared_event *event = ash_document_event (document, name);
  enum ash_declared_state state = event ? ash_declared_state (event, unix_s) : ASH_DECLARED_OVER;

  return state == ASH_DECLARED_LEAD || state == ASH_DECLARED_ON;
}

const struct ash_reservation *
ash_declared_reservation (const struct ash_document *document,
                          int64_t unix_s,
                          const char *account,
                          const char *service)
{
  for (uint32_t i = 0; i < document->reservation_count; i++)
    {
      const struct ash_reservation *reservation = &document->reservations[i];

      if (strcmp (reservation->account, account) == 0 &&
          strcmp (reservation->service, service) == 0 &&
          is_active (document, reservation->event, unix_s))
        return reservation;
    }
  return NULL;
}

const struct ash_profile *
ash_declared_profile (const struct ash_document *document, int64_t unix_s, const char *group)
{
  for (uint32_t i = 0; i < document->profile_count; i++)
    if (strcmp (document->profiles[i].group, group) == 0 &&
        is_active (document, document->profiles[i].event, unix_s))
      return &document->profiles[i];
  return NULL;
}
