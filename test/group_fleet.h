/**
 * @file
 * A group of expert-parallel ranks in lock-step, for tests and benchmarks: a stand-in of its
 * engines, a real agent for each rank, and an entry that sends the agents the configuration.
 */
#ifndef ASH_TEST_GROUP_FLEET_H
#define ASH_TEST_GROUP_FLEET_H

#include "test/fleet.h"

#define GROUP_RANKS 4

/** Reader key of the entry's operator API. */
#define GROUP_READER_KEY "reader"

/** The processes of the group, their ports and the folder of their settings and logs. */
struct group_fleet
{
  char folder[64];
  uint16_t
      ports[4 + GROUP_RANKS]; /**< platform, engines, entry's HTTP and peer, then each agent's */
  bool unfenced;              /**< the engines accept outdated orders */
  pid_t platform;
  pid_t engines;
  pid_t entry;
  pid_t agents[GROUP_RANKS];
};

/** Starts all processes and waits for the first step. The engines reject outdated orders. */
void group_fleet_start (struct group_fleet *group);

/** Like group_fleet_start(), but the engines accept outdated orders, so that the agents must reject
 * them. */
void group_fleet_start_unfenced (struct group_fleet *group);

void group_fleet_stop (struct group_fleet *group);

/** Starts a rank's agent, or restarts it after it has ended. */
void group_fleet_start_agent (struct group_fleet *group, int rank);

/** Makes the engines report eight times as many tokens for one expert as for each other expert. */
void group_fleet_make_hot (const struct group_fleet *group, int expert);

/** Publishes an event that is in its lead time, whose profile has eight times the load of the
 * others for one expert. */
void group_fleet_declare_event (const struct group_fleet *group, int expert);

/** Makes the engines drop all orders of a kind (RankOrder.Kind in proto/ash.proto; 0: none). */
void group_fleet_drop_orders (const struct group_fleet *group, int kind);

/** Waits until the ranks begin no more steps, for example as they are armed and wait for the
 * commit.
 * @return false after 10 s */
bool group_fleet_wait_stalled (const struct group_fleet *group);

/** @return a counter of the engines' stand-in (test/standin_group.c): steps, differences, changes
 * or longest_wait_ms. */
int64_t group_fleet_read_counter (const struct group_fleet *group, const char *what);

/** Waits until a counter of the engines' stand-in is @p least or more. @return false after 10 s.
 */
bool group_fleet_wait (const struct group_fleet *group, const char *what, int64_t least);

#endif
