#include "controllers/config.h"

#include "controllers/config_delta.h"

#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000

/* Deltas are sent if they take at most 1 / DELTAS_SIZE_DIVISOR of the document's size. */
#define DELTAS_SIZE_DIVISOR 2

void
ash_config_init (struct ash_config *config)
{
  *config = (struct ash_config){ 0 };
}

static void
drop_deltas (struct ash_config *config)
{
  for (uint32_t i = 0; i < config->delta_count; i++)
    ash__config_delta__free_unpacked (config->deltas[i], NULL);
  config->delta_count = 0;
}

void
ash_config_finish (struct ash_config *config)
{
  drop_deltas (config);
  for (uint32_t i = 0; i < config->previous_count; i++)
    ash_document_finish (&config->previous[i].document);
  ash_document_finish (&config->document);
  free (config->text);
  *config = (struct ash_config){ 0 };
}

uint64_t
ash_config_revision (const struct ash_config *config)
{
  return config->ready ? config->document.revision : 0;
}

static void
drop_oldest (struct ash_config *config)
{
  ash_document_finish (&config->previous[0].document);
  config->previous_count--;
  memmove (&config->previous[0], &config->previous[1],
           config->previous_count * sizeof config->previous[0]);
}

static bool
same_endpoints (const struct ash_document *a, const struct ash_document *b)
{
  if (a->endpoint_count != b->endpoint_count)
    return false;
  for (uint32_t i = 0; i < a->endpoint_count; i++)
    if (strcmp (a->endpoints[i].name, b->endpoints[i].name) != 0 ||
        strcmp (a->endpoints[i].service, b->endpoints[i].service) != 0)
      return false;
  return true;
}

/* Accounts make up most of a document, and those of previous documents are not needed. */
static void
free_accounts (struct ash_document *document)
{
  free (document->accounts);
  free (document->account_slots);
  document->accounts = NULL;
  document->account_slots = NULL;
  document->account_count = 0;
}

/* Adds the active document to the previous ones. */
static void
remember_active (struct ash_config *config, struct ash_time now, int64_t keep_ms)
{
  struct ash_config_previous *previous;

  while (config->previous_count && ash_time_diff (config->previous[0].until, now) > keep_ms)
    drop_oldest (config);
  if (config->previous_count == ASH_CONFIG_HISTORY_MAX)
    {
      /* The history is full: homes from before the oldest document's end are no longer known. */
      config->known_since = config->previous[0].until;
      drop_oldest (config);
    }
  previous = &config->previous[config->previous_count++];
  previous->document = config->document;
  previous->until = now;
  free_accounts (&previous->document);
}

/* Keeps the delta from the active text to the one that replaces it. */
static void
keep_delta (struct ash_config *config, uint64_t revision, const char *text, size_t text_bytes)
{
  struct ash_config_text base = { config->document.revision, config->text, config->text_bytes };
  struct ash_config_text after = { revision, text, text_bytes };
  struct Ash__ConfigDelta *delta = ash_config_delta_make (&base, &after);

  if (!delta)
    {
      drop_deltas (config);
      return;
    }
  if (config->delta_count == ASH_CONFIG_DELTAS_MAX)
    {
      ash__config_delta__free_unpacked (config->deltas[0], NULL);
      config->delta_count--;
      memmove (&config->deltas[0], &config->deltas[1],
               config->delta_count * sizeof (struct Ash__ConfigDelta *));
    }
  config->deltas[config->delta_count++] = delta;
}

uint32_t
ash_config_deltas (const struct ash_config *config, uint64_t revision, uint32_t *first)
{
  size_t bytes = 0;

  for (uint32_t i = config->delta_count; i > 0; i--)
    {
      bytes += ash__config_delta__get_packed_size (config->deltas[i - 1]);
      if (bytes > config->text_bytes / DELTAS_SIZE_DIVISOR)
        return 0;
      if (config->deltas[i - 1]->base_revision != revision)
        continue;
      *first = i - 1;
      return config->delta_count - *first;
    }
  return 0;
}

enum ash_config_result
ash_config_offer (struct ash_config *config,
                  struct ash_time now,
                  uint64_t revision,
                  const char *text,
                  size_t text_bytes,
                  int64_t keep_ms,
                  struct ash_findings *findings)
{
  struct ash_document document;
  char *copy;

  if (config->ready && revision < config->document.revision)
    return ASH_CONFIG_OLDER;
  if (config->ready && revision == config->document.revision)
    return ASH_CONFIG_SAME;
  if (revision == config->refused_revision)
    return ASH_CONFIG_SAME;
  ash_document_init (&document, revision, text, text_bytes, findings);
  copy = findings->count == 0 ? malloc (text_bytes + 1) : NULL;
  if (!copy)
    {
      ash_document_finish (&document);
      config->refused_revision = revision;
      return ASH_CONFIG_REFUSED;
    }
  memcpy (copy, text, text_bytes);
  copy[text_bytes] = '\0';
  if (config->ready)
    keep_delta (config, revision, copy, text_bytes);
  free (config->text);
  config->text = copy;
  config->text_bytes = text_bytes;
  if (!config->ready)
    config->known_since = now;
  else if (same_endpoints (&config->document, &document))
    ash_document_finish (&config->document);
  else
    remember_active (config, now, keep_ms);
  config->document = document;
  config->ready = true;
  return ASH_CONFIG_ACCEPTED;
}

bool
ash_config_homes_are_known (const struct ash_config *config,
                            const char *service_name,
                            struct ash_time now,
                            int64_t unix_s,
                            int64_t life_ms)
{
  /* The oldest known document states since when its homes have been valid. */
  const struct ash_document *oldest =
      config->previous_count ? &config->previous[0].document : &config->document;
  const struct ash_service *service = ash_document_service (oldest, service_name);

  if (ash_time_diff (config->known_since, now) >= life_ms)
    return true;
  if (!service || !service->homes_since_s)
    return false;
  return (unix_s - (int64_t) service->homes_since_s) * MS_PER_S >= life_ms;
}

uint32_t
ash_config_previous_homes (const struct ash_config *config,
                           const char *service,
                           struct ash_id id,
                           struct ash_time now,
                           int64_t life_ms,
                           const char *homes[ASH_CONFIG_HISTORY_MAX])
{
  const struct ash_endpoint *present = ash_document_home (&config->document, service, id);
  uint32_t count = 0;

  for (uint32_t i = config->previous_count; i > 0; i--)
    {
      const struct ash_config_previous *previous = &config->previous[i - 1];
      const struct ash_endpoint *home = ash_document_home (&previous->document, service, id);
      bool known = !home || (present && strcmp (home->name, present->name) == 0);

      if (ash_time_diff (previous->until, now) > life_ms)
        break;
      for (uint32_t j = 0; !known && j < count; j++)
        known = strcmp (homes[j], home->name) == 0;
      if (!known)
        homes[count++] = home->name;
    }
  return count;
}
