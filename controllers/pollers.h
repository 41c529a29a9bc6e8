/**
 * @file
 * Which routers ask the store: a few of each hall, which tell the others of their hall what is new;
 * and which of all routers ask often: a few, spread over halls, since what cuts a hall off cuts off
 * all routers in it. Nobody is appointed: each goes by who it sees, and those that see the same
 * choose the same.
 */
#ifndef ASH_POLLERS_H
#define ASH_POLLERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A router that may ask. Its texts are the caller's. */
struct ash_poller
{
  const char *box;
  const char *hall;
  uint32_t link_mbps; /**< what its box can send; 0: not known */
};

/**
 * The order in which routers take on what is done for all: the faster link first, then by name. A
 * map for 192 ranks is 3.5 MB, 0.7 s on the link of a small box and 0.14 s on that of a large one.
 */
bool ash_pollers_before (struct ash_poller a, struct ash_poller b);

/**
 * By place within the hall, then in the order above: the first of each hall, then the second
 * ones, and so on.
 * @param others all but this router; those that can't ask are left out.
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
