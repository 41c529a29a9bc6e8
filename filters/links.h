/**
 * @file
 * Handles link events, heartbeats and timers of an entry: requests at boxes that are disconnected,
 * stalled or silent wait, resume, are retried elsewhere or end. Part of the entry's core.
 */
#ifndef ASH_LINKS_H
#define ASH_LINKS_H

#include "filters/entry.h"

/** A link went down: its requests wait for it to return; ash_links_tick() may retry them
 * elsewhere. */
void ash_links_down (struct ash_entry *entry, struct ash_time now, const char *peer);

/** A link came up: requests sent to the same incarnation are resumed; those sent to an earlier one
 * are retried elsewhere or end. */
void ash_links_up (struct ash_entry *entry,
                   struct ash_time now,
                   const char *peer,
                   const struct Ash__LinkUp *up);

/** A heartbeat arrived: updates the state of the sender and of boxes that it reports as leaving. */
void ash_links_heartbeat (struct ash_entry *entry,
                          struct ash_time now,
                          const char *peer,
                          const struct Ash__Heartbeat *heartbeat);

/** Runs the timers: deadlines of requests, and boxes that have sent nothing for too long. */
void ash_links_tick (struct ash_entry *entry, struct ash_time now);

#endif
