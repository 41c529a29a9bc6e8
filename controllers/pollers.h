/**
 * @file
 * Selects the routers that poll the store. A few in each hall poll it and forward changes to the
 * others of their hall. A few of all routers, spread over the halls because a network partition
 * affects all routers of a hall, poll at a short period. There is no election: each router decides
 * from the set of routers known to it, and routers that know the same set decide alike.
 */
#ifndef ASH_POLLERS_H
#define ASH_POLLERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A router that can poll the store. The strings are not owned. */
struct ash_poller
{
  const char *box;
  const char *hall;
  uint32_t link_mbps; /**< bandwidth of its box in Mbit/s; 0: not known */
};

/**
 * Order in which routers take on tasks for the fleet: faster link first, then by name. An expert
 * map for 192 ranks is 3.5 MB, which takes 0.7 s on the link of a small box and 0.14 s on that of a
 * large one.
 * @return whether @p a is before @p b.
 */
bool ash_pollers_before (struct ash_poller a, struct ash_poller b);

/**
 * Orders all routers by their position within their hall, then by ash_pollers_before(): the first
 * of each hall, then the second of each, and so on.
 * @param others all other routers that can poll.
 * @return whether this router is one of the first @p wanted.
 */
bool ash_pollers_is_chosen (struct ash_poller own,
                            const struct ash_poller *others,
                            size_t count,
                            uint32_t wanted);

/** @return whether this router is one of the first @p wanted of its hall. */
bool ash_pollers_is_chosen_in_hall (struct ash_poller own,
                                    const struct ash_poller *others,
                                    size_t count,
                                    uint32_t wanted);

#endif
