#include "controllers/quarantine.h"

#include <stdlib.h>
#include <string.h>

/* Duration of a quarantine, counted from the last process exit during a run of the request. Callers
 * repeat a request within seconds or minutes, and a request that was quarantined wrongly is not
 * blocked for the day. */
#define QUARANTINE_MS (10 * 60 * 1000)

/* After the quarantine the request may run again, and one more exit quarantines it again. Its
 * evidence is dropped if there is no exit for this long: by then the endpoints probably run newer
 * software. */
#define FORGET_MS (60 * 60 * 1000)

/* Number of process exits after which a request counts as their confirmed cause if no answer had
 * begun in any of its runs; otherwise the number is ASH_QUARANTINE_RUNS. For most requests that
 * are not the cause, the answer has begun when the process exits, and their next run clears them.
 * A third exit would stop a group of ranks for seconds more. */
#define EXITS_WITHOUT_ANSWER 2

/* How long before the evidence of an exit a connection may have broken because of that exit. A
 * probe that starts right after the break gives its result within 0.5 s; a restarted process is
 * listed once it is up, some seconds later. */
#define CONNECT_REFUSED_MS 1000
#define RESTARTED_MS 8000

/* Tolerance in ms when two runs are checked for overlap. A retry is sent in the same millisecond in
 * which the previous run ends, and times reported by peers are off by some milliseconds; runs that
 * really were concurrent overlap by more. */
#define OVERLAP_MS 20

static struct ash_quarantine_suspect *
find (const struct ash_quarantine *quarantine, struct ash_id request)
{
  struct ash_quarantine_suspect *suspect;

  HASH_FIND (hh, quarantine->suspects, &request, sizeof request, suspect);
  return suspect;
}

static void
drop (struct ash_quarantine *quarantine, struct ash_quarantine_suspect *suspect)
{
  HASH_DEL (quarantine->suspects, suspect);
  free (suspect);
}

void
ash_quarantine_finish (struct ash_quarantine *quarantine)
{
  struct ash_quarantine_suspect *suspect;
  struct ash_quarantine_suspect *next;

  HASH_ITER (hh, quarantine->suspects, suspect, next)
    drop (quarantine, suspect);
}

static const struct ash_quarantine_run *
newest_of (const struct ash_quarantine_suspect *suspect)
{
  return &suspect->runs[suspect->count - 1];
}

static bool
is_confirmed (const struct ash_quarantine_suspect *suspect)
{
  bool any_answer_begun = false;

  for (uint32_t i = 0; i < suspect->count; i++)
    any_answer_begun = any_answer_begun || suspect->runs[i].spoke;
  return suspect->count >= (any_answer_begun ? ASH_QUARANTINE_RUNS : EXITS_WITHOUT_ANSWER);
}

/* Makes room for one more suspect: removes the unconfirmed one with the oldest evidence, or the
 * oldest of all if all are confirmed. */
static void
make_room (struct ash_quarantine *quarantine)
{
  struct ash_quarantine_suspect *suspect = quarantine->suspects;

  if (HASH_COUNT (quarantine->suspects) < ASH_QUARANTINE_SUSPECTS_MAX)
    return;
  while (suspect && is_confirmed (suspect))
    suspect = suspect->hh.next;
  drop (quarantine, suspect ? suspect : quarantine->suspects);
}

void
ash_quarantine_note_disconnect (struct ash_quarantine *quarantine,
                                const struct ash_quarantine_run *run)
{
  quarantine->disconnects[quarantine->disconnect_count++ % ASH_QUARANTINE_DISCONNECTS] = *run;
}

static uint32_t
kept_disconnects (const struct ash_quarantine *quarantine)
{
  return quarantine->disconnect_count < ASH_QUARANTINE_DISCONNECTS ? quarantine->disconnect_count
                                                                   : ASH_QUARANTINE_DISCONNECTS;
}

/* Makes a run evidence if it ended recently enough. @return whether it is new evidence. */
static bool
take_disconnect (struct ash_quarantine *quarantine,
                 struct ash_quarantine_run *run,
                 struct ash_time since,
                 struct ash_quarantine_run *found)
{
  if (ash_time_before (run->ended, since))
    return false;
  *found = *run;
  /* Each disconnect is evidence once only. */
  run->endpoint = 0;
  run->address = 0;
  return ash_quarantine_add_run (quarantine, found);
}

size_t
ash_quarantine_note_exit (struct ash_quarantine *quarantine,
                          uint64_t endpoint,
                          enum ash_quarantine_evidence evidence,
                          struct ash_time now,
                          struct ash_quarantine_run *found)
{
  struct ash_time since = ash_time_add (
      now, evidence == ASH_QUARANTINE_CONNECT_REFUSED ? -CONNECT_REFUSED_MS : -RESTARTED_MS);
  uint32_t first = quarantine->disconnect_count - kept_disconnects (quarantine);
  size_t count = 0;

  for (uint32_t i = first; i != quarantine->disconnect_count; i++)
    {
      struct ash_quarantine_run *run = &quarantine->disconnects[i % ASH_QUARANTINE_DISCONNECTS];

      if (run->endpoint == endpoint)
        count += take_disconnect (quarantine, run, since, &found[count]);
    }
  return count;
}

size_t
ash_quarantine_note_address_reused (struct ash_quarantine *quarantine,
                                    uint64_t address,
                                    uint64_t endpoint,
                                    struct ash_time now,
                                    struct ash_quarantine_run *found)
{
  struct ash_time since = ash_time_add (now, -RESTARTED_MS);
  uint32_t first = quarantine->disconnect_count - kept_disconnects (quarantine);
  size_t count = 0;

  for (uint32_t i = first; i != quarantine->disconnect_count; i++)
    {
      struct ash_quarantine_run *run = &quarantine->disconnects[i % ASH_QUARANTINE_DISCONNECTS];

      if (run->address == address && run->endpoint != endpoint)
        count += take_disconnect (quarantine, run, since, &found[count]);
    }
  return count;
}

bool
ash_quarantine_add_run (struct ash_quarantine *quarantine, const struct ash_quarantine_run *run)
{
  struct ash_quarantine_suspect *suspect = find (quarantine, run->request);

  /* Concurrent runs of a request end together when many endpoints exit at once for another reason,
   * so only one of them counts. Otherwise the loss of a rack would quarantine a frequent request.
   */
  if (suspect && ash_time_before (ash_time_add (run->sent, OVERLAP_MS), newest_of (suspect)->ended))
    return false;
  if (suspect)
    HASH_DEL (quarantine->suspects, suspect);
  else
    {
      make_room (quarantine);
      suspect = calloc (1, sizeof *suspect);
      if (!suspect)
        return false;
      suspect->request = run->request;
    }
  if (suspect->count == ASH_QUARANTINE_RUNS)
    memmove (suspect->runs, suspect->runs + 1, --suspect->count * sizeof *run);
  suspect->runs[suspect->count++] = *run;
  HASH_ADD (hh, quarantine->suspects, request, sizeof suspect->request, suspect);
  return true;
}

uint32_t
ash_quarantine_exits (const struct ash_quarantine *quarantine, struct ash_id request)
{
  const struct ash_quarantine_suspect *suspect = find (quarantine, request);

  return suspect ? suspect->count : 0;
}

int64_t
ash_quarantine_left_ms (const struct ash_quarantine *quarantine,
                        struct ash_id request,
                        struct ash_time now)
{
  const struct ash_quarantine_suspect *suspect = find (quarantine, request);
  int64_t left_ms;

  if (!suspect || !is_confirmed (suspect))
    return 0;
  left_ms = ash_time_diff (now, newest_of (suspect)->ended) + QUARANTINE_MS;
  return left_ms > 0 ? left_ms : 0;
}

bool
ash_quarantine_clear (struct ash_quarantine *quarantine, struct ash_id request)
{
  struct ash_quarantine_suspect *suspect = find (quarantine, request);

  if (suspect)
    drop (quarantine, suspect);
  return suspect != NULL;
}

void
ash_quarantine_tick (struct ash_quarantine *quarantine, struct ash_time now)
{
  struct ash_quarantine_suspect *suspect;
  struct ash_quarantine_suspect *next;

  HASH_ITER (hh, quarantine->suspects, suspect, next)
    {
      /* The list is sorted by age of evidence: all further suspects are newer. */
      if (ash_time_diff (newest_of (suspect)->ended, now) < FORGET_MS)
        break;
      drop (quarantine, suspect);
    }
}
