#include "common/random.h"

/* gsl_rng is not used: even its smallest generator allocates memory, and the schedule tests
 * initialize several hundred thousand generators. */
void
ash_random_init (struct ash_random *random, uint64_t seed)
{
  random->state = seed;
}

uint64_t
ash_random_next (struct ash_random *random)
{
  uint64_t z;

  random->state += UINT64_C (0x9e3779b97f4a7c15);
  z = random->state;
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

uint32_t
ash_random_below (struct ash_random *random, uint32_t bound)
{
  /* Multiply and shift: the bias is below bound / 2^32, small enough for random choices. */
  return (uint32_t) (((ash_random_next (random) >> 32) * bound) >> 32);
}
