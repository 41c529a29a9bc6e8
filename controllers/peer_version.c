#include "controllers/peer_version.h"

/* A new version of this process shows that its source works, so the waiting time restarts. */
static void
note_own (struct ash_peer_version *tracker, struct ash_time now, uint64_t own)
{
  if (tracker->own == own && tracker->newest > own)
    return;
  tracker->own = own;
  tracker->since = now;
}

void
ash_peer_version_reported (struct ash_peer_version *tracker,
                           struct ash_time now,
                           uint64_t reported,
                           uint64_t own)
{
  note_own (tracker, now, own);
  if (reported > tracker->newest && reported > tracker->same)
    tracker->newest = reported;
}

void
ash_peer_version_equal (struct ash_peer_version *tracker,
                        struct ash_time now,
                        uint64_t reported,
                        uint64_t own)
{
  if (reported > tracker->same)
    tracker->same = reported;
  if (tracker->newest <= tracker->same)
    tracker->newest = own;
  note_own (tracker, now, own);
}

bool
ash_peer_version_is_behind (struct ash_peer_version *tracker,
                            struct ash_time now,
                            uint64_t own,
                            int64_t for_ms)
{
  note_own (tracker, now, own);
  return tracker->newest > own && ash_time_diff (tracker->since, now) >= for_ms;
}
