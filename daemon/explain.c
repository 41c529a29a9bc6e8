#include "daemon/explain.h"

#include "daemon/operator.h"

#include <stdlib.h>
#include <string.h>

#define GROUP_PATH "/v1/explain/group/"
#define REQUEST_PATH "/v1/explain/request/"

/* Boxes that have not answered within this time are listed as silent in the answer. */
#define QUERY_TIMEOUT_MS 800

void
ash_explain_init (struct ash_explain *explain, struct ash_api *api)
{
  *explain = (struct ash_explain){ .api = api };
}

static void
free_query (struct ash_explain_pending *pending)
{
  json_decref (pending->unanswered);
  json_decref (pending->answers);
  free (pending->query.name);
  *pending = (struct ash_explain_pending){ 0 };
}

void
ash_explain_finish (struct ash_explain *explain)
{
  for (uint32_t i = 0; i < ASH_EXPLAIN_PENDING_MAX; i++)
    if (explain->pending[i].number)
      free_query (&explain->pending[i]);
}

/* ---- this entry's own records ---- */

json_t *
ash_explain_request (const struct ash_entry *entry, const struct Ash__Query *query)
{
  struct ash_id id = { query->id_hi, query->id_lo };
  const struct ash_ended_request *record = ash_request_history_find (&entry->request_history, id);

  if (query->kind != ASH__QUERY__KIND__REQUEST || !record)
    return NULL;
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:I, s:I}", "role", "entry",
      "account", record->account, "class", record->class_name, "service", record->service,
      "endpoint", record->box, "outcome", ash_entry_outcome_name (record->outcome), "reason",
      ash_entry_reason_name (record->reason), "text", ash_entry_reason_text (record->reason),
      "tries", (int) record->tries, "retry_after_ms", (int) record->retry_ms, "wait_ms",
      (int) record->wait_ms, "took_ms", (json_int_t) record->took_ms, "ended_ms_ago",
      (json_int_t) ash_time_diff (record->ended, ash_clock_now ()));
}

/* ---- queries ---- */

static struct ash_explain_pending *
add_query (struct ash_explain *explain, uint64_t request, const struct Ash__Query *query)
{
  for (uint32_t i = 0; i < ASH_EXPLAIN_PENDING_MAX; i++)
    {
      struct ash_explain_pending *pending = &explain->pending[i];

      if (pending->number)
        continue;
      pending->query = *query;
      pending->query.name = strdup (query->name);
      if (!pending->query.name)
        return NULL;
      pending->number = ++explain->last_number;
      pending->query.number = pending->number;
      pending->request = request;
      pending->until = ash_time_add (ash_clock_now (), QUERY_TIMEOUT_MS);
      pending->unanswered = json_object ();
      pending->answers = json_object ();
      return pending;
    }
  return NULL;
}

static void
finish_query (struct ash_explain *explain, struct ash_explain_pending *pending)
{
  json_t *unanswered = json_array ();
  const char *box;
  json_t *value;

  json_object_foreach (pending->unanswered, box, value)
    json_array_append_new (unanswered, json_string (box));
  ash_operator_reply (explain->api, pending->request, MHD_HTTP_OK,
                      json_pack ("{s:O, s:o}", "answers", pending->answers, "silent", unanswered));
  free_query (pending);
}

static void
send_query (struct ash_explain *explain, const struct ash_explain_pending *pending, const char *box)
{
  struct Ash__Event event = ash_event_wrap (box, ASH__EVENT__KIND_QUERY, &pending->query);

  ash_daemon_send (explain->api->daemon, &event);
}

static void
query_box (struct ash_explain *explain, struct ash_explain_pending *pending, const char *name)
{
  const struct ash_box *box = ash_membership_find (&explain->api->entry->membership, name);

  json_object_set_new (pending->unanswered, name, json_true ());
  if (box && box->linked)
    send_query (explain, pending, name);
}

static void
query_boxes (struct ash_explain *explain, struct ash_explain_pending *pending)
{
  const struct ash_document *document = &explain->api->entry->config.document;
  const char *self = explain->api->daemon->settings->box;
  const struct Ash__Query *query = &pending->query;
  bool is_group = query->kind == ASH__QUERY__KIND__GROUP;
  json_t *own = ash_explain_request (explain->api->entry, query);

  if (own)
    json_object_set_new (pending->answers, self, own);
  for (uint32_t i = 0; i < document->endpoint_count; i++)
    if (!is_group || strcmp (document->endpoints[i].group, query->name) == 0)
      query_box (explain, pending, document->endpoints[i].name);
  for (uint32_t i = 0; !is_group && i < document->entry_count; i++)
    if (strcmp (document->entries[i].name, self) != 0)
      query_box (explain, pending, document->entries[i].name);
}

void
ash_explain_link_up (struct ash_explain *explain, const char *box)
{
  for (uint32_t i = 0; i < ASH_EXPLAIN_PENDING_MAX; i++)
    {
      const struct ash_explain_pending *pending = &explain->pending[i];

      if (pending->number && json_object_get (pending->unanswered, box))
        send_query (explain, pending, box);
    }
}

/* Parses the path of a request into a query. @return an error message, or NULL. */
static const char *
parse_query (const struct ash_explain *explain, const char *path, struct Ash__Query *query)
{
  const struct ash_document *document = &explain->api->entry->config.document;
  struct ash_id id;

  if (strncmp (path, GROUP_PATH, strlen (GROUP_PATH)) == 0)
    {
      query->kind = ASH__QUERY__KIND__GROUP;
      query->name = ash_proto_text (path + strlen (GROUP_PATH));
      return ash_document_group (document, query->name) ? NULL : "no such group";
    }
  if (strncmp (path, REQUEST_PATH, strlen (REQUEST_PATH)) != 0)
    return "ask for group/NAME or request/ID";
  query->kind = ASH__QUERY__KIND__REQUEST;
  if (!ash_id_parse (path + strlen (REQUEST_PATH), &id))
    return "a request's id is 32 hex digits, as Ash-Request-Id has it";
  query->id_hi = id.hi;
  query->id_lo = id.lo;
  return NULL;
}

void
ash_explain_handle_request (struct ash_explain *explain, const struct ash_http_request *request)
{
  struct Ash__Query query = ASH__QUERY__INIT;
  struct ash_explain_pending *pending;
  const char *problem;

  if (!ash_operator_check (explain->api, request, ASH_OPERATOR_READER))
    return;
  problem = parse_query (explain, request->path, &query);
  if (problem)
    {
      ash_operator_refuse (explain->api, request->number, MHD_HTTP_NOT_FOUND, "bad_question",
                           problem, NULL);
      return;
    }
  pending = add_query (explain, request->number, &query);
  if (!pending)
    {
      ash_operator_refuse (explain->api, request->number, MHD_HTTP_SERVICE_UNAVAILABLE, "busy",
                           "too many questions are open; ask again in a second", NULL);
      return;
    }
  query_boxes (explain, pending);
  if (json_object_size (pending->unanswered) == 0)
    finish_query (explain, pending);
}

void
ash_explain_handle_answer (struct ash_explain *explain,
                           const char *box,
                           const struct Ash__QueryAnswer *answer)
{
  for (uint32_t i = 0; i < ASH_EXPLAIN_PENDING_MAX; i++)
    {
      struct ash_explain_pending *pending = &explain->pending[i];
      json_t *value;

      if (!answer->number || pending->number != answer->number)
        continue;
      if (json_object_del (pending->unanswered, box) != 0)
        return;
      value = json_loads (answer->text, 0, NULL);
      if (value)
        json_object_set_new (pending->answers, box, value);
      if (json_object_size (pending->unanswered) == 0)
        finish_query (explain, pending);
      return;
    }
}

void
ash_explain_disconnected (struct ash_explain *explain, uint64_t request)
{
  for (uint32_t i = 0; i < ASH_EXPLAIN_PENDING_MAX; i++)
    if (explain->pending[i].number && explain->pending[i].request == request)
      free_query (&explain->pending[i]);
}

void
ash_explain_tick (struct ash_explain *explain)
{
  struct ash_time now = ash_clock_now ();

  for (uint32_t i = 0; i < ASH_EXPLAIN_PENDING_MAX; i++)
    if (explain->pending[i].number && !ash_time_before (now, explain->pending[i].until))
      finish_query (explain, &explain->pending[i]);
}

/* ---- drain ---- */

void
ash_explain_drain (struct ash_explain *explain, const struct ash_http_request *request)
{
  struct ash_api *api = explain->api;
  const char *name = ash_http_query (request, "box");
  struct ash_box *box = name ? ash_membership_find (&api->entry->membership, name) : NULL;
  struct Ash__Drain drain = ASH__DRAIN__INIT;
  struct Ash__Event event = ash_event_wrap (name ? name : "", ASH__EVENT__KIND_DRAIN, &drain);

  if (!ash_operator_check (api, request, ASH_OPERATOR_FULL))
    return;
  if (!box || !box->linked)
    {
      ash_operator_refuse (api, request->number, MHD_HTTP_NOT_FOUND, "no_such_box",
                           "this entry has no link to such a box", NULL);
      return;
    }
  drain.incarnation = box->incarnation;
  ash_daemon_send (api->daemon, &event);
  ash_operator_reply (api, request->number, MHD_HTTP_OK,
                      json_pack ("{s:s, s:s}", "box", name, "state", "draining"));
}
