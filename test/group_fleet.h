/**
 * @file
 * A group in lock-step with real agents, for tests and measurements: a stand-in
 * of the engines, an agent for each rank, and an entry that brings them the
 * configuration.
 */
#ifndef ASH_TEST_GROUP_FLEET_H
#define ASH_TEST_GROUP_FLEET_H

#include "test/fleet.h"

#define GROUP_RANKS 4

/** The key that may ask the entry. */
#define GROUP_READER_KEY "reader"

/** The group. */
struct group_fleet
{
  char folder[64];
  uint16_t ports[4 + GROUP_RANKS]; /**< platform, engines, entry's two, agents' */
  bool unfenced;                   /**< the engines check no fence */
  pid_t platform;
  pid_t engines;
  pid_t entry;
  pid_t agents[GROUP_RANKS];
};

/** Starts everything and waits for the first step; engines check the fence. */
void group_fleet_start (struct group_fleet *group);

/** The same with engines that check no fence. */
void group_fleet_start_unfenced (struct group_fleet *group);

void group_fleet_stop (struct group_fleet *group);

/** Starts a rank's agent (again). */
void group_fleet_start_agent (struct group_fleet *group, int rank);

/** Makes one expert get as many tokens as all others together. */
void group_fleet_make_hot (const struct group_fleet *group, int expert);

/** Declares an event that begins soon, in which one expert will be as hot as that. */
void group_fleet_declare_event (const struct group_fleet *group, int expert);

/** Loses all orders of a kind (enum of RankOrder; 0: none) from now on. */
void group_fleet_drop_orders (const struct group_fleet *group, int kind);

/** Waits until the group stands still, between arm and commit. @return false after 10 s. */
bool group_fleet_wait_stalled (const struct group_fleet *group);

/** @return a number of the stand-in's record: steps, differences, changes, longest_wait_ms. */
int64_t group_fleet_read_counter (const struct group_fleet *group, const char *what);

/** Waits until that number is so large. @return false after 10 s. */
bool group_fleet_wait (const struct group_fleet *group, const char *what, int64_t least);

#endif
