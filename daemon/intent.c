#include "daemon/intent.h"

#include "daemon/operator.h"
#include "options/intent.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#define HOME_SAMPLES 1000
#define DIGEST_BYTES 17

static void
format_digest (const char *text, char digest[DIGEST_BYTES])
{
  snprintf (digest, DIGEST_BYTES, "%016" PRIx64, (uint64_t) XXH3_64bits (text, strlen (text)));
}

/* ---- plan ---- */

/* For each service, the fraction of idempotency keys that get another home, from HOME_SAMPLES
 * keys. */
static json_t *
moved_homes (const struct ash_document *before, const struct ash_document *after)
{
  json_t *moved = json_object ();

  for (uint32_t s = 0; s < after->service_count; s++)
    {
      const char *service = after->services[s].name;
      uint32_t count = 0;

      for (uint32_t i = 0; i < HOME_SAMPLES; i++)
        {
          struct ash_id id = { i, i };
          const struct ash_endpoint *old = ash_document_home (before, service, id);
          const struct ash_endpoint *new = ash_document_home (after, service, id);

          count += old && (!new || strcmp (old->name, new->name) != 0);
        }
      if (count)
        json_object_set_new (moved, service, json_real ((double) count / HOME_SAMPLES));
    }
  return moved;
}

/* Number of accounts that get other entries; their callers have to fetch addresses again. */
static uint32_t
moved_accounts (const struct ash_document *before, const struct ash_document *after)
{
  uint32_t count = 0;

  for (uint32_t a = 0; a < after->account_count; a++)
    {
      const struct ash_account *old = ash_document_account (before, after->accounts[a].name);
      bool moved = false;

      for (uint32_t e = 0; old && e < after->entry_count; e++)
        {
          const char *entry = after->entries[e].name;

          moved |= (ash_document_entry_rank (before, old, entry) < 0) !=
                   (ash_document_entry_rank (after, &after->accounts[a], entry) < 0);
        }
      count += moved;
    }
  return count;
}

static json_t *
findings_json (const struct ash_findings *findings)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; findings->items && i < findings->count && i < ASH_FINDINGS_MAX; i++)
    json_array_append_new (
        list, json_pack ("{s:i, s:s, s:s}", "line", (int) findings->items[i].line, "place",
                         findings->items[i].key_path, "text", findings->items[i].text));
  return list;
}

static json_t *
plan_json (const struct ash_config *config,
           const struct ash_plan *plan,
           const char *text,
           struct ash_findings *findings)
{
  const struct ash_document *base = &config->document;
  struct ash_document document;
  char digest[DIGEST_BYTES];
  json_t *effects;

  ash_document_init (&document, base->revision + 1, text, strlen (text), findings);
  format_digest (text, digest);
  effects = findings->count
                ? json_object ()
                : json_pack ("{s:o, s:i}", "keys_with_new_home", moved_homes (base, &document),
                             "accounts_with_new_entries", (int) moved_accounts (base, &document));
  ash_document_finish (&document);
  return json_pack ("{s:I, s:I, s:s, s:O, s:o, s:o, s:s}", "base_revision",
                    (json_int_t) base->revision, "revision", (json_int_t) base->revision + 1,
                    "digest", digest, "changes", plan->changes, "effects", effects, "not_met",
                    findings_json (findings), "document", text);
}

/* Checks the operator's key and that there is a configuration; answers the request if not. */
static bool
is_allowed (struct ash_api *api, const struct ash_http_request *request, enum ash_operator required)
{
  if (!ash_operator_check (api, request, required))
    return false;
  if (api->entry->config.ready)
    return true;
  ash_operator_refuse (api, request->number, MHD_HTTP_SERVICE_UNAVAILABLE, "not_ready",
                       "no configuration yet", NULL);
  return false;
}

void
ash_intent_plan (struct ash_api *api, const struct ash_http_request *request)
{
  const struct ash_config *config = &api->entry->config;
  struct ash_findings findings;
  struct ash_plan plan;
  char *text;

  if (!is_allowed (api, request, ASH_OPERATOR_READER))
    return;
  ash_findings_init (&findings, "intent");
  ash_plan_init (&plan, config->text, config->text_bytes, (const char *) request->body,
                 request->body_bytes, (int64_t) time (NULL), &findings);
  text = json_dumps (plan.document, JSON_INDENT (1));
  ash_operator_reply (api, request->number, MHD_HTTP_OK,
                      plan_json (config, &plan, text ? text : "", &findings));
  free (text);
  ash_plan_finish (&plan);
  ash_findings_finish (&findings);
}

/* ---- diff ---- */

void
ash_intent_diff (struct ash_api *api, const struct ash_http_request *request)
{
  const struct ash_config *config = &api->entry->config;
  struct ash_findings findings;
  json_t *changes;

  if (!is_allowed (api, request, ASH_OPERATOR_READER))
    return;
  ash_findings_init (&findings, "document");
  changes = ash_plan_diff (config->text, config->text_bytes, (const char *) request->body,
                           request->body_bytes, &findings);
  if (changes)
    ash_operator_reply (api, request->number, MHD_HTTP_OK,
                        json_pack ("{s:I, s:o}", "in_force", (json_int_t) config->document.revision,
                                   "changes", changes));
  else
    ash_operator_refuse (api, request->number, MHD_HTTP_BAD_REQUEST, "bad_document",
                         "the document can't be read", findings_json (&findings));
  ash_findings_finish (&findings);
}

/* ---- confirm ---- */

/* @return why the plan can't be confirmed, or NULL. */
static const char *
check_plan (const struct ash_api *api, const json_t *plan, const char **code)
{
  const struct ash_config *config = &api->entry->config;
  const char *text = json_string_value (json_object_get (plan, "document"));
  const char *digest = json_string_value (json_object_get (plan, "digest"));
  json_int_t base = json_integer_value (json_object_get (plan, "base_revision"));
  char actual[DIGEST_BYTES];

  *code = "bad_plan";
  if (!text || !digest)
    return "this is no plan";
  format_digest (text, actual);
  if (strcmp (actual, digest) != 0)
    return "the plan's document is not the one that its digest names";
  if (json_array_size (json_object_get (plan, "not_met")))
    return "the plan has parts that can't be met";
  *code = "cut_off";
  if (!api->platform_answers (api->platform_data))
    return "this box does not hear the platform; confirm at another";
  *code = "behind";
  if (ash_membership_has_newer_config (&api->entry->membership, config->document.revision))
    return "this box is behind others; confirm again in a moment";
  *code = "base_moved";
  if (base != (json_int_t) config->document.revision)
    return "another configuration came into force since the plan was made; plan again";
  return NULL;
}

/* The differences between the document of the plan and the active configuration. */
static json_t *
changed_meanwhile (const struct ash_config *config, const json_t *plan)
{
  const char *text = json_string_value (json_object_get (plan, "document"));
  struct ash_findings findings;
  json_t *changes;

  ash_findings_init (&findings, "plan");
  changes = ash_plan_diff (text, strlen (text), config->text, config->text_bytes, &findings);
  ash_findings_finish (&findings);
  return changes;
}

void
ash_intent_confirm (struct ash_api *api, const struct ash_http_request *request)
{
  json_t *plan;
  json_t *more = NULL;
  const char *code;
  const char *problem;

  if (!is_allowed (api, request, ASH_OPERATOR_FULL))
    return;
  plan = json_loadb ((const char *) request->body, request->body_bytes, 0, NULL);
  problem = check_plan (api, plan, &code);
  if (problem && strcmp (code, "base_moved") == 0)
    more = changed_meanwhile (&api->entry->config, plan);
  if (problem)
    ash_operator_refuse (api, request->number,
                         strcmp (code, "bad_plan") == 0 ? MHD_HTTP_BAD_REQUEST : MHD_HTTP_CONFLICT,
                         code, problem, more);
  else
    ash_operator_reply (api, request->number, MHD_HTTP_OK,
                        json_pack ("{s:O, s:O, s:O}", "revision",
                                   json_object_get (plan, "revision"), "digest",
                                   json_object_get (plan, "digest"), "document",
                                   json_object_get (plan, "document")));
  json_decref (plan);
}
