/**
 * @file
 * What links and time do to the requests of an entry. Part of the entry's core.
 */
#ifndef ASH_LINKS_H
#define ASH_LINKS_H

#include "filters/entry.h"

/** A link is down: its requests wait for it, or go elsewhere later. */
void ash_links_down (struct ash_entry *entry, struct ash_time now, const char *peer);

/** A link is up, to the same life or to another. */
void ash_links_up (struct ash_entry *entry,
                   struct ash_time now,
                   const char *peer,
                   const struct Ash__LinkUp *up);

/** A heartbeat: what it says of the box, and of others. */
void ash_links_heartbeat (struct ash_entry *entry,
                          struct ash_time now,
                          const char *peer,
                          const struct Ash__Heartbeat *heartbeat);

/** Time goes on: deadlines, and boxes that are silent. */
void ash_links_tick (struct ash_entry *entry, struct ash_time now);

#endif
