#include "filters/attempt.h"

#include <string.h>

struct ash_request *
ash_attempt_find (const struct ash_entry *entry, uint64_t attempt)
{
  struct ash_request *request;

  HASH_FIND (hh_attempt, entry->by_attempt, &attempt, sizeof attempt, request);
  return request;
}

void
ash_attempt_unbind (struct ash_entry *entry, struct ash_request *request)
{
  struct ash_box *box;

  if (!request->attempt)
    return;
  HASH_DELETE (hh_attempt, entry->by_attempt, request);
  request->attempt = 0;
  box = ash_membership_find (&entry->membership, request->box);
  if (box && box->in_flight)
    box->in_flight--;
}

void
ash_attempt_bind (struct ash_entry *entry, struct ash_request *request)
{
  struct ash_box *box = ash_membership_find (&entry->membership, request->box);

  request->attempt = ++entry->last_attempt;
  HASH_ADD (hh_attempt, entry->by_attempt, attempt, sizeof request->attempt, request);
  if (box)
    box->in_flight++;
}

bool
ash_entry_has_link (const struct ash_entry *entry, const char *name)
{
  const struct ash_box *box = ash_membership_find (&entry->membership, name);

  return box && box->linked;
}

void
ash_attempt_cancel (struct ash_entry *entry, const struct ash_request *request)
{
  struct Ash__Cancel cancel = ASH__CANCEL__INIT;

  if (request->state != ASH_REQUEST_SENT || !ash_entry_has_link (entry, request->box))
    return;
  cancel.id_hi = request->id.hi;
  cancel.id_lo = request->id.lo;
  cancel.incarnation = request->incarnation;
  cancel.attempt = request->attempt;
  ash_emit (&entry->sink, request->box, ASH__EVENT__KIND_CANCEL, &cancel);
}

void
ash_attempt_submit (struct ash_entry *entry, struct ash_time now, struct ash_request *request)
{
  struct Ash__Submit *submit = request->submit;
  int64_t left_ms = ash_time_diff (now, ash_planned_stop_cap (&entry->stop, request->deadline));
  char id[ASH_ID_TEXT_BYTES];

  /* The deadline may have passed already; the next tick then ends the request. */
  if (left_ms < 0)
    left_ms = 0;
  if (request->tries < ASH_REQUEST_TRIES_MAX)
    {
      strcpy (request->tried[request->tries], request->box);
      request->tried_incarnations[request->tries] = request->incarnation;
    }
  request->tries++;
  ash_attempt_bind (entry, request);
  request->state = ASH_REQUEST_SENT;
  request->sent = now;
  submit->id_hi = request->id.hi;
  submit->id_lo = request->id.lo;
  submit->incarnation = request->incarnation;
  submit->attempt = request->attempt;
  submit->caller_attempt = request->caller_attempt;
  submit->keyed = request->keyed;
  submit->minted = request->minted;
  submit->no_repeat = request->no_repeat;
  submit->stream = request->stream;
  submit->moved = request->moved;
  submit->priority = request->priority;
  submit->revision = entry->config.document.revision;
  submit->budget_ms =
      (uint32_t) (left_ms > 2 * ASH_ENTRY_MARGIN_MS ? left_ms - ASH_ENTRY_MARGIN_MS : left_ms / 2);
  ash_emit (&entry->sink, request->box, ASH__EVENT__KIND_SUBMIT, submit);
  ash_id_format (request->id, id);
  ash_log_event (&entry->log, ASH_EV_REQUEST_SENT, "id=%s endpoint=%s attempt=%llu", id,
                 request->box, (unsigned long long) request->attempt);
}

void
ash_attempt_resume (struct ash_entry *entry, struct ash_time now, const struct ash_request *request)
{
  struct Ash__Resume resume = ASH__RESUME__INIT;
  char id[ASH_ID_TEXT_BYTES];

  resume.id_hi = request->id.hi;
  resume.id_lo = request->id.lo;
  resume.incarnation = request->incarnation;
  resume.attempt = request->attempt;
  resume.offset = request->received;
  resume.age_ms = (uint32_t) ash_time_diff (request->sent, now);
  resume.caller_attempt = request->caller_attempt;
  resume.keyed = request->keyed;
  resume.minted = request->minted;
  resume.no_repeat = request->no_repeat;
  ash_emit (&entry->sink, request->box, ASH__EVENT__KIND_RESUME, &resume);
  ash_id_format (request->id, id);
  ash_log_event (&entry->log, ASH_EV_REQUEST_RESUMED, "id=%s endpoint=%s offset=%llu", id,
                 request->box, (unsigned long long) request->received);
}
