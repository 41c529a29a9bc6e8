#include "filters/past.h"

#include <stdlib.h>
#include <string.h>

bool
ash_past_init (struct ash_past *past)
{
  past->next = 0;
  past->requests = calloc (ASH_PAST_MAX, sizeof *past->requests);
  return past->requests != NULL;
}

void
ash_past_finish (struct ash_past *past)
{
  free (past->requests);
  past->requests = NULL;
}

void
ash_past_add (struct ash_past *past,
              struct ash_time now,
              const struct ash_request *request,
              int outcome,
              int64_t took_ms)
{
  struct ash_past_request *entry;

  if (!past->requests)
    return;
  entry = &past->requests[past->next++ % ASH_PAST_MAX];
  *entry = (struct ash_past_request){
    .id = request->id,
    .ended = now,
    .tries = request->tries,
    .outcome = outcome,
    .reason = request->reason,
    .retry_ms = request->retry_ms,
    .wait_ms = request->wait_ms,
    .took_ms = took_ms,
  };
  strcpy (entry->account, request->account);
  strcpy (entry->class_name, request->class_name);
  strcpy (entry->box, request->box);
  if (request->submit)
    snprintf (entry->service, sizeof entry->service, "%s", request->submit->service);
}

const struct ash_past_request *
ash_past_find (const struct ash_past *past, struct ash_id id)
{
  for (uint32_t i = 1; past->requests && i <= ASH_PAST_MAX; i++)
    {
      const struct ash_past_request *entry =
          &past->requests[(past->next + ASH_PAST_MAX - i) % ASH_PAST_MAX];

      if (entry->ended.ms && ash_id_equal (entry->id, id))
        return entry;
    }
  return NULL;
}
