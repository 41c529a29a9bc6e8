#include "controllers/quarantine.h"

#include <stdlib.h>
#include <string.h>

/* How long a request is kept away after the last end under it. A caller that repeats it does so
 * within seconds or minutes; one that was kept away wrongly is not lost for the day. */
#define QUARANTINE_MS (10 * 60 * 1000)

/* Afterwards it may run again, and one more end keeps it away as before. Forgotten after so long
 * without one: by then the endpoints' software is likely another. */
#define FORGET_MS (60 * 60 * 1000)

/* So many ends prove it where no part of the answer had come: requests that only happened to be
 * there have mostly begun to answer, and are cleared by their next run. The third end would stop a
 * group of ranks for seconds to prove what two have shown. */
#define EXITS_WITHOUT_ANSWER 2

/* How long before a proof a connection may have ended for the same reason. Who is asked at once
 * answers within a tenth of a second; the list hears of a new life once it has started, some
 * seconds later. */
#define CONNECT_REFUSED_MS 1000
#define RESTARTED_MS 8000

/* A run is sent on in the millisecond in which the one before is seen to end, and peers' word of
 * an end is some milliseconds old. Runs that were under way side by side overlap by more. */
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
  bool spoke = false;

  for (uint32_t i = 0; i < suspect->count; i++)
    spoke = spoke || suspect->runs[i].spoke;
  return suspect->count >= (spoke ? ASH_QUARANTINE_RUNS : EXITS_WITHOUT_ANSWER);
}

/* Room for one more: of those that are not proved the one with the oldest evidence goes, else the
 * oldest of all. */
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

size_t
ash_quarantine_note_exit (struct ash_quarantine *quarantine,
                          uint64_t endpoint,
                          enum ash_quarantine_evidence proof,
                          struct ash_time now,
                          struct ash_quarantine_run *found)
{
  struct ash_time since = ash_time_add (
      now, proof == ASH_QUARANTINE_CONNECT_REFUSED ? -CONNECT_REFUSED_MS : -RESTARTED_MS);
  uint32_t kept = quarantine->disconnect_count < ASH_QUARANTINE_DISCONNECTS
                      ? quarantine->disconnect_count
                      : ASH_QUARANTINE_DISCONNECTS;
  size_t count = 0;

  for (uint32_t i = quarantine->disconnect_count - kept; i != quarantine->disconnect_count; i++)
    {
      struct ash_quarantine_run *run = &quarantine->disconnects[i % ASH_QUARANTINE_DISCONNECTS];

      if (run->endpoint != endpoint || ash_time_before (run->ended, since))
        continue;
      if (ash_quarantine_add_run (quarantine, run))
        found[count++] = *run;
      /* Told once. */
      run->endpoint = 0;
    }
  return count;
}

bool
ash_quarantine_add_run (struct ash_quarantine *quarantine, const struct ash_quarantine_run *run)
{
  struct ash_quarantine_suspect *suspect = find (quarantine, run->request);

  /* Runs side by side end together where many endpoints end at once, whoever caused that: of these
   * one counts. A request that is asked often would be kept away by one lost rack otherwise. */
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
      /* All that follow have newer evidence. */
      if (ash_time_diff (newest_of (suspect)->ended, now) < FORGET_MS)
        break;
      drop (quarantine, suspect);
    }
}
