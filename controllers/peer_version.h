/**
 * @file
 * Detects that this process lacks a configuration or endpoint list that peers have, by comparing
 * its version with the versions that peers report. Usually the source of this process delivers the
 * same version within milliseconds. If it does not, the source is stuck for this process, even if
 * its connection looks healthy.
 */
#ifndef ASH_PEER_VERSION_H
#define ASH_PEER_VERSION_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** State for one versioned object. Zeroed memory is a valid start. */
struct ash_peer_version
{
  uint64_t newest_version; /**< newest reported version with content that this process may lack */
  uint64_t equal_version;  /**< newest version known to have the same content as the own one */
  uint64_t own_version;    /**< version of this process at the last call */
  struct ash_time since;   /**< since when the version of this process has not advanced */
};

/** Handles a version reported by a peer. @param own version that this process has. */
void ash_peer_version_reported (struct ash_peer_version *tracker,
                                struct ash_time now,
                                uint64_t reported,
                                uint64_t own);

/** Handles a peer's report that its version has the same content as the version of this process.
 * This process then lacks no content up to the peer's version. */
void ash_peer_version_equal (struct ash_peer_version *tracker,
                             struct ash_time now,
                             uint64_t reported,
                             uint64_t own);

/** @return whether a newer version has been known for at least @p for_ms while the version of
 * this process did not advance. */
bool ash_peer_version_is_behind (struct ash_peer_version *tracker,
                                 struct ash_time now,
                                 uint64_t own,
                                 int64_t for_ms);

#endif
