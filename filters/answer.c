#include "filters/answer.h"

#include "filters/attempt.h"
#include "filters/request_end.h"

#include <stdlib.h>
#include <string.h>

#define BODY_MIN_CAPACITY_BYTES 1024

static bool
is_from_current_attempt (const struct ash_request *request,
                         const char *peer,
                         uint64_t incarnation,
                         struct ash_id id)
{
  /* Attempt numbers start at 1 in each incarnation of an entry, and an agent may still send answers
   * for attempts of an earlier one. So box, incarnation and request id have to match, too. */
  return request &&
         (request->state == ASH_REQUEST_SENT || request->state == ASH_REQUEST_DISCONNECTED) &&
         request->incarnation == incarnation && ash_id_equal (request->id, id) &&
         strcmp (request->box, peer) == 0;
}

void
ash_answer_refused (struct ash_entry *entry,
                    struct ash_time now,
                    const char *peer,
                    const struct Ash__Refused *refused)
{
  struct ash_request *request = ash_attempt_find (entry, refused->attempt);
  int outcome = (int) refused->outcome;
  struct ash_id id = { refused->id_hi, refused->id_lo };

  if (!request || request->state == ASH_REQUEST_DISOWNING || strcmp (request->box, peer) != 0 ||
      !ash_id_equal (request->id, id))
    return;
  /* Another incarnation doesn't know whether the addressed one ran the request. */
  if (request->incarnation != refused->incarnation)
    outcome = ASH__OUTCOME__UNKNOWN;
  if (request->received)
    outcome = ASH__OUTCOME__RAN;
  /* This endpoint's "not run" covers the whole request only if no other endpoint may run it.
   * Otherwise earlier attempts and submissions count, too. */
  else if (outcome == ASH__OUTCOME__NOT_RUN && !request->home_only)
    outcome = ash_request_unsent_outcome (request);
  ash_request_retry_or_fail (entry, now, request, (int) refused->reason, outcome,
                             refused->retry_ms);
}

void
ash_answer_head (struct ash_entry *entry, const char *peer, const struct Ash__Head *head)
{
  struct ash_request *request = ash_attempt_find (entry, head->attempt);
  struct Ash__Reply reply = ASH__REPLY__INIT;

  if (!is_from_current_attempt (request, peer, head->incarnation,
                                (struct ash_id){ head->id_hi, head->id_lo }) ||
      request->status)
    return;
  request->status = head->status;
  request->wait_ms = head->wait_ms;
  free (request->content_type);
  request->content_type = strdup (head->content_type);
  if (!request->stream)
    return;
  request->head_sent = true;
  reply.call = request->call;
  reply.id_hi = request->id.hi;
  reply.id_lo = request->id.lo;
  reply.status = head->status;
  reply.outcome = ASH__OUTCOME__RAN;
  reply.content_type = request->content_type ? request->content_type : ash_proto_text ("");
  reply.box = request->box;
  reply.wait_ms = request->wait_ms;
  ash_emit (&entry->sink, "", ASH__EVENT__KIND_REPLY, &reply);
}

/* Appends to the buffered body of an answer that is not streamed.
 * @return false if it exceeds answer_max_bytes or memory runs out. */
static bool
append_body (struct ash_entry *entry,
             struct ash_request *request,
             const uint8_t *bytes,
             size_t length)
{
  size_t capacity = request->body_capacity ? request->body_capacity : BODY_MIN_CAPACITY_BYTES;
  uint8_t *grown;

  if (request->received + length > entry->settings->answer_max_bytes)
    return false;
  while (capacity < request->received + length)
    capacity *= 2;
  if (capacity != request->body_capacity)
    {
      grown = realloc (request->body, capacity);
      if (!grown)
        return false;
      request->body = grown;
      request->body_capacity = capacity;
    }
  memcpy (request->body + request->received, bytes, length);
  return true;
}

void
ash_answer_data (struct ash_entry *entry,
                 struct ash_time now,
                 const char *peer,
                 const struct Ash__Data *data)
{
  struct ash_request *request = ash_attempt_find (entry, data->attempt);
  struct Ash__ReplyData reply = ASH__REPLY_DATA__INIT;
  uint64_t skip;

  if (!is_from_current_attempt (request, peer, data->incarnation,
                                (struct ash_id){ data->id_hi, data->id_lo }) ||
      !request->status)
    return;
  if (data->offset > request->received)
    {
      /* A part is missing: request the answer again from there, this part included. */
      ash_attempt_resume (entry, now, request);
      return;
    }
  skip = request->received - data->offset;
  if (skip >= data->bytes.len)
    return;
  reply.call = request->call;
  reply.bytes.data = data->bytes.data + skip;
  reply.bytes.len = data->bytes.len - skip;
  if (request->stream)
    ash_emit (&entry->sink, "", ASH__EVENT__KIND_REPLY_DATA, &reply);
  else if (!append_body (entry, request, reply.bytes.data, reply.bytes.len))
    {
      ash_attempt_cancel (entry, request);
      ash_request_fail (entry, now, request, ASH__REASON__ANSWER_TOO_LARGE, ASH__OUTCOME__RAN, 0);
      return;
    }
  request->received += reply.bytes.len;
}

static void
complete_answer (struct ash_entry *entry, struct ash_time now, struct ash_request *request)
{
  struct Ash__Reply reply = ASH__REPLY__INIT;

  ash_retry_budget_earn (&entry->budget);
  if (request->head_sent)
    {
      ash_request_end_stream (entry, now, request, true, ASH__REASON__REASON_NONE);
      return;
    }
  reply.call = request->call;
  reply.id_hi = request->id.hi;
  reply.id_lo = request->id.lo;
  reply.status = request->status;
  reply.outcome = ASH__OUTCOME__RAN;
  reply.content_type = request->content_type ? request->content_type : ash_proto_text ("");
  reply.box = request->box;
  reply.wait_ms = request->wait_ms;
  reply.body.data = request->body;
  reply.body.len = request->received;
  reply.final = true;
  ash_emit (&entry->sink, "", ASH__EVENT__KIND_REPLY, &reply);
  ash_request_record_end (entry, now, request, ASH__OUTCOME__RAN);
  ash_request_remove (entry, request);
}

void
ash_answer_end (struct ash_entry *entry,
                struct ash_time now,
                const char *peer,
                const struct Ash__End *end)
{
  struct ash_request *request = ash_attempt_find (entry, end->attempt);

  if (!is_from_current_attempt (request, peer, end->incarnation,
                                (struct ash_id){ end->id_hi, end->id_lo }))
    return;
  if (!end->whole)
    {
      /* If a head arrived, the request ran at least partly. Otherwise it is not known whether the
       * engine began, so only a request that may be repeated is retried. */
      ash_request_retry_or_fail (entry, now, request, (int) end->reason,
                                 request->status || end->reason == ASH__REASON__ANSWER_GONE
                                     ? ASH__OUTCOME__RAN
                                     : ASH__OUTCOME__UNKNOWN,
                                 0);
    }
  else if (request->status && end->length == request->received)
    complete_answer (entry, now, request);
  else
    ash_attempt_resume (entry, now, request);
}

void
ash_answer_disowned (struct ash_entry *entry,
                     struct ash_time now,
                     const char *peer,
                     const struct Ash__Disowned *disowned)
{
  struct ash_request *request = ash_attempt_find (entry, disowned->attempt);
  uint32_t i = 0;

  if (!request || request->state != ASH_REQUEST_DISOWNING ||
      !ash_id_equal (request->id, (struct ash_id){ disowned->id_hi, disowned->id_lo }))
    return;
  while (i < request->pending_home_count && strcmp (request->pending_homes[i], peer) != 0)
    i++;
  if (i == request->pending_home_count)
    return;
  if (disowned->has_it)
    {
      ash_attempt_unbind (entry, request);
      strcpy (request->box, peer);
      request->incarnation = disowned->incarnation;
      request->moved = true;
      ash_attempt_submit (entry, now, request);
      return;
    }
  if (disowned->guarded || (disowned->unsure && request->caller_attempt != 1))
    {
      ash_request_fail (entry, now, request, ASH__REASON__NOT_HOME,
                        ash_request_unsent_outcome (request), 0);
      return;
    }
  /* A submission that the earlier home has refused must not run at the new home. */
  if (disowned->refused_upto &&
      (!request->caller_attempt || request->caller_attempt <= disowned->refused_upto))
    {
      ash_request_fail (entry, now, request, ASH__REASON__REFUSED_BEFORE,
                        ash_request_unsent_outcome (request), 0);
      return;
    }
  request->pending_home_count--;
  memmove (request->pending_homes[i], request->pending_homes[request->pending_home_count],
           ASH_NAME_BYTES);
  if (request->pending_home_count)
    return;
  ash_attempt_unbind (entry, request);
  if (ash_entry_has_link (entry, request->box))
    ash_attempt_submit (entry, now, request);
  else
    ash_request_fail (entry, now, request, ASH__REASON__NO_ENDPOINT,
                      ash_request_unsent_outcome (request), 0);
}
