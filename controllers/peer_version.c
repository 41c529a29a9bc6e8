#include "controllers/peer_version.h"

/* A new version of this process shows that its source works, so the waiting time restarts. */
static void
note_own (struct ash_peer_version *tracker, struct ash_time now, uint64_t own)
{
  if (tracker->own_version == own && tracker->newest_version > own)
    return;
  tracker->own_version = own;
  tracker->since = now;
}

void
ash_peer_version_reported (struct ash_peer_version *tracker,
                           struct ash_time now,
                           uint64_t reported,
                           uint64_t own)
{
  note_own (tracker, now, own);
  if (reported > tracker->newest_version && reported > tracker->equal_version)
    tracker->newest_version = reported;
}

void
ash_peer_version_equal (struct ash_peer_version *tracker,
                        struct ash_time now,
                        uint64_t reported,
                        uint64_t own)
{
  if (reported > tracker->equal_version)
    tracker->equal_version = reported;
  if (tracker->newest_version <= tracker->equal_version)
    tracker->newest_version = own;
  note_own (tracker, now, own);
}

bool
ash_peer_version_is_behind (struct ash_peer_version *tracker,
                            struct ash_time now,
                            uint64_t own,
                            int64_t for_ms)
{
  note_own (tracker, now, own);
  return tracker->newest_version > own && ash_time_diff (tracker->since, now) >= for_ms;
}
