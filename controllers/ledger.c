#include "controllers/ledger.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define ANSWER_FIRST_BYTES 512

void
ash_ledger_init (struct ash_ledger *ledger)
{
  *ledger = (struct ash_ledger){ 0 };
}

static void
free_answer (struct ash_answer *answer)
{
  free (answer->bytes);
  answer->base += answer->length;
  answer->bytes = NULL;
  answer->length = 0;
  answer->capacity = 0;
}

static void
free_submit (struct ash_record *record)
{
  if (record->submit)
    ash__submit__free_unpacked (record->submit, NULL);
  record->submit = NULL;
}

static void
free_record (struct ash_ledger *ledger, struct ash_record *record)
{
  while (record->watchers)
    ash_record_unwatch (record, record->watchers);
  free_submit (record);
  free_answer (&record->answer);
  free (record->answer.content_type);
  HASH_DEL (ledger->records, record);
  ledger->count--;
  free (record);
}

void
ash_ledger_finish (struct ash_ledger *ledger)
{
  struct ash_record *record;
  struct ash_record *next;

  HASH_ITER (hh, ledger->records, record, next)
    free_record (ledger, record);
}

struct ash_record *
ash_ledger_find (const struct ash_ledger *ledger, struct ash_id id)
{
  struct ash_record *record;

  HASH_FIND (hh, ledger->records, &id, sizeof id, record);
  return record;
}

struct ash_record *
ash_ledger_find_run (const struct ash_ledger *ledger, uint64_t run)
{
  struct ash_record *record;

  /* The engine runs at most as many requests as it has slots: a few dozen. */
  DL_FOREACH (ledger->running, record)
    if (record->run == run)
      return record;
  return NULL;
}

struct ash_record *
ash_ledger_add (struct ash_ledger *ledger, struct ash_id id)
{
  struct ash_record *record = calloc (1, sizeof *record);

  if (!record)
    return NULL;
  record->id = id;
  record->orphan_since = ASH_TIME_NEVER;
  HASH_ADD (hh, ledger->records, id, sizeof record->id, record);
  ledger->count++;
  return record;
}

static int
compare_urgency (const struct ash_record *a, const struct ash_record *b)
{
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->deadline.ms != b->deadline.ms)
    return a->deadline.ms < b->deadline.ms ? -1 : 1;
  return 0;
}

void
ash_ledger_enqueue (struct ash_ledger *ledger, struct ash_record *record)
{
  struct ash_record *successor = ledger->queued;

  record->state = ASH_RECORD_QUEUED;
  while (successor && compare_urgency (successor, record) <= 0)
    successor = successor->next;
  if (successor)
    DL_PREPEND_ELEM (ledger->queued, successor, record);
  else
    DL_APPEND (ledger->queued, record);
  ledger->queued_count++;
}

void
ash_ledger_start (struct ash_ledger *ledger, struct ash_record *record)
{
  DL_DELETE (ledger->queued, record);
  ledger->queued_count--;
  record->state = ASH_RECORD_RUNNING;
  free_submit (record);
  DL_APPEND (ledger->running, record);
  ledger->running_count++;
}

void
ash_ledger_end (struct ash_ledger *ledger,
                struct ash_record *record,
                enum ash_record_state state,
                struct ash_time expires)
{
  switch (record->state)
    {
    case ASH_RECORD_QUEUED:
      DL_DELETE (ledger->queued, record);
      ledger->queued_count--;
      break;
    case ASH_RECORD_RUNNING:
      DL_DELETE (ledger->running, record);
      ledger->running_count--;
      break;
    case ASH_RECORD_NEW:
    case ASH_RECORD_FINISHED:
    case ASH_RECORD_REFUSED:
      break;
    }
  record->state = state;
  record->expires = expires;
  free_submit (record);
  ledger->kept_bytes += record->answer.length;
  if (record->keyed)
    DL_APPEND (ledger->ended_keyed, record);
  else
    DL_APPEND (ledger->ended, record);
}

static void
unlist_ended (struct ash_ledger *ledger, struct ash_record *record)
{
  if (record->keyed)
    DL_DELETE (ledger->ended_keyed, record);
  else
    DL_DELETE (ledger->ended, record);
  ledger->kept_bytes -= record->answer.length;
}

void
ash_ledger_reopen (struct ash_ledger *ledger, struct ash_record *record)
{
  unlist_ended (ledger, record);
  record->state = ASH_RECORD_NEW;
  record->reason = 0;
  record->outcome = 0;
}

static void
expire_list (struct ash_ledger *ledger, struct ash_record **list, struct ash_time now)
{
  while (*list && ash_time_before ((*list)->expires, now))
    {
      struct ash_record *record = *list;

      unlist_ended (ledger, record);
      free_record (ledger, record);
    }
}

/* Frees the bytes of the oldest answers in a list; the records stay, so that it remains known that
 * the requests ran. */
static void
trim_list (struct ash_ledger *ledger, struct ash_record *list, uint64_t keep_bytes)
{
  for (struct ash_record *record = list; record && ledger->kept_bytes > keep_bytes;
       record = record->next)
    {
      ledger->kept_bytes -= record->answer.length;
      free_answer (&record->answer);
    }
}

void
ash_ledger_expire (struct ash_ledger *ledger, struct ash_time now, uint64_t keep_bytes)
{
  expire_list (ledger, &ledger->ended, now);
  expire_list (ledger, &ledger->ended_keyed, now);
  if (ledger->kept_bytes <= keep_bytes)
    return;
  trim_list (ledger, ledger->ended, keep_bytes);
  trim_list (ledger, ledger->ended_keyed, keep_bytes);
}

static bool
make_room (struct ash_answer *answer, size_t length)
{
  size_t capacity = answer->capacity ? answer->capacity : ANSWER_FIRST_BYTES;
  uint8_t *grown;

  while (capacity < answer->length + length)
    capacity *= 2;
  if (capacity == answer->capacity)
    return true;
  grown = realloc (answer->bytes, capacity);
  if (!grown)
    return false;
  answer->bytes = grown;
  answer->capacity = capacity;
  return true;
}

bool
ash_answer_append (struct ash_answer *answer,
                   const uint8_t *bytes,
                   size_t length,
                   size_t keep_bytes)
{
  size_t excess;

  if (!make_room (answer, length))
    return false;
  memcpy (answer->bytes + answer->length, bytes, length);
  answer->length += length;
  /* Trims only at twice the bound, so that the kept bytes are moved only once per keep_bytes
   * received. */
  if (answer->length <= 2 * keep_bytes)
    return true;
  excess = answer->length - keep_bytes;
  memmove (answer->bytes, answer->bytes + excess, keep_bytes);
  answer->base += excess;
  answer->length = keep_bytes;
  return true;
}

struct ash_watcher *
ash_record_watcher (const struct ash_record *record, const char *peer, uint64_t attempt)
{
  struct ash_watcher *watcher;

  LL_FOREACH (record->watchers, watcher)
    if (watcher->attempt == attempt && strcmp (watcher->peer, peer) == 0)
      return watcher;
  return NULL;
}

bool
ash_record_watch (struct ash_record *record, const char *peer, uint64_t attempt)
{
  struct ash_watcher *watcher = ash_record_watcher (record, peer, attempt);

  record->orphan_since = ASH_TIME_NEVER;
  if (watcher)
    return true;
  watcher = calloc (1, sizeof *watcher);
  if (!watcher)
    return false;
  snprintf (watcher->peer, sizeof watcher->peer, "%s", peer);
  watcher->attempt = attempt;
  LL_PREPEND (record->watchers, watcher);
  return true;
}

void
ash_record_unwatch (struct ash_record *record, struct ash_watcher *watcher)
{
  LL_DELETE (record->watchers, watcher);
  free (watcher);
}

bool
ash_record_unwatch_box (struct ash_record *record, const char *peer)
{
  struct ash_watcher *watcher;
  struct ash_watcher *next;
  bool found = false;

  LL_FOREACH_SAFE (record->watchers, watcher, next)
    {
      if (strcmp (watcher->peer, peer) != 0)
        continue;
      ash_record_unwatch (record, watcher);
      found = true;
    }
  return found;
}
