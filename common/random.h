/**
 * @file
 * Seeded pseudo-random numbers: the same seed gives the same decisions, so that recorded sessions
 * can be replayed. Not for keys; libsodium generates those.
 */
#ifndef ASH_RANDOM_H
#define ASH_RANDOM_H

#include <stdint.h>

/** State of a SplitMix64 generator (Steele, Lea, Flood; OOPSLA 2014). */
struct ash_random
{
  uint64_t state;
};

void ash_random_init (struct ash_random *random, uint64_t seed);

/** @return 64 random bits. */
uint64_t ash_random_next (struct ash_random *random);

/** @return a random number in [0, @p bound); 0 if @p bound is 0. */
uint32_t ash_random_below (struct ash_random *random, uint32_t bound);

#endif
