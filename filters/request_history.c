#include "filters/request_history.h"

#include <stdlib.h>
#include <string.h>

bool
ash_request_history_init (struct ash_request_history *ring)
{
  ring->next = 0;
  ring->requests = calloc (ASH_REQUEST_HISTORY_MAX, sizeof *ring->requests);
  return ring->requests != NULL;
}

void
ash_request_history_finish (struct ash_request_history *ring)
{
  free (ring->requests);
  ring->requests = NULL;
}

void
ash_request_history_add (struct ash_request_history *ring,
                         struct ash_time now,
                         const struct ash_request *request,
                         int outcome,
                         int64_t took_ms)
{
  struct ash_ended_request *record;

  if (!ring->requests)
    return;
  record = &ring->requests[ring->next++ % ASH_REQUEST_HISTORY_MAX];
  *record = (struct ash_ended_request){
    .id = request->id,
    .ended = now,
    .tries = request->tries,
    .outcome = outcome,
    .reason = request->reason,
    .retry_ms = request->retry_ms,
    .wait_ms = request->wait_ms,
    .took_ms = took_ms,
  };
  strcpy (record->account, request->account);
  strcpy (record->class_name, request->class_name);
  strcpy (record->box, request->box);
  if (request->submit)
    snprintf (record->service, sizeof record->service, "%s", request->submit->service);
}

const struct ash_ended_request *
ash_request_history_find (const struct ash_request_history *ring, struct ash_id id)
{
  for (uint32_t i = 1; ring->requests && i <= ASH_REQUEST_HISTORY_MAX; i++)
    {
      const struct ash_ended_request *record =
          &ring->requests[(ring->next + ASH_REQUEST_HISTORY_MAX - i) % ASH_REQUEST_HISTORY_MAX];

      if (record->ended.ms && ash_id_equal (record->id, id))
        return record;
    }
  return NULL;
}
