/**
 * @file
 * What peers say that they have and this process lacks: a newer configuration, or a newer
 * list of endpoints. Usually its own source brings the same within milliseconds; when it
 * does not, the source is silent here, whatever it looks like.
 */
#ifndef ASH_PEER_VERSION_H
#define ASH_PEER_VERSION_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** One thing that has versions. Zeroed memory is a valid start. */
struct ash_peer_version
{
  uint64_t newest;       /**< that a peer has reported, with something that may be lacking here */
  uint64_t same;         /**< newest that says no more than the own one */
  uint64_t own;          /**< what this process had when it was last looked at */
  struct ash_time since; /**< since when it has had no more than that, with newer ones reported */
};

/** A peer tells which version it has. */
void ash_peer_version_reported (struct ash_peer_version *tracker,
                                struct ash_time now,
                                uint64_t reported,
                                uint64_t own);

/** A peer tells that its version says the same as the own one: nothing up to it is lacking. */
void ash_peer_version_equal (struct ash_peer_version *tracker,
                             struct ash_time now,
                             uint64_t reported,
                             uint64_t own);

/** @return whether a newer version has been known for so long without any coming. */
bool ash_peer_version_is_behind (struct ash_peer_version *tracker,
                                 struct ash_time now,
                                 uint64_t own,
                                 int64_t for_ms);

#endif
