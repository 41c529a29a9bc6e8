#include "filters/request_history.h"

#include <stdlib.h>
#include <string.h>

bool
ash_request_history_init (struct ash_request_history *past)
{
  past->next = 0;
  past->requests = calloc (ASH_REQUEST_HISTORY_MAX, sizeof *past->requests);
  return past->requests != NULL;
}

void
ash_request_history_finish (struct ash_request_history *past)
{
  free (past->requests);
  past->requests = NULL;
}

void
ash_request_history_add (struct ash_request_history *past,
                         struct ash_time now,
                         const struct ash_request *request,
                         int outcome,
                         int64_t took_ms)
{
  struct ash_ended_request *record;

  if (!past->requests)
    return;
  record = &past->requests[past->next++ % ASH_REQUEST_HISTORY_MAX];
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
ash_request_history_find (const struct ash_request_history *past, struct ash_id id)
{
  for (uint32_t i = 1; past->requests && i <= ASH_REQUEST_HISTORY_MAX; i++)
    {
      const struct ash_ended_request *record =
          &past->requests[(past->next + ASH_REQUEST_HISTORY_MAX - i) % ASH_REQUEST_HISTORY_MAX];

      if (record->ended.ms && ash_id_equal (record->id, id))
        return record;
    }
  return NULL;
}
