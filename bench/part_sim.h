/**
 * @file
 * Simulation of a fleet of routers in front of groups of endpoints, some of which exit as they
 * begin an answer to a prompt with a certain part: the real controllers/part_quarantine in several
 * routers that report to each other. Time advances in steps of 1 ms without real waiting. The same
 * setup and seed give the same run.
 */
#ifndef ASH_BENCH_PART_SIM_H
#define ASH_BENCH_PART_SIM_H

#include <stdbool.h>
#include <stdint.h>

#define PART_SIM_BAD_MAX 2
#define PART_SIM_KILLS_MAX 8

/** Where in the prompt a bad part stands. */
enum part_sim_place
{
  PART_SIM_MIDDLE, /**< after the part that all requests of the route share */
  PART_SIM_FIRST,  /**< in place of it */
  PART_SIM_ANY,    /**< at another place each time */
};

/** Endpoints that exit for another reason. */
struct part_sim_kill
{
  uint32_t at_ms;
  uint32_t endpoints; /**< how many, at the same moment */
};

/** Parameters of a run. Times are in ms from its start. */
struct part_sim_setup
{
  uint64_t seed;
  uint32_t duration_ms;
  uint32_t routers;
  uint32_t groups;
  uint32_t group_size;
  uint32_t routes;   /**< each with a first part that all its requests share */
  uint32_t subjects; /**< of each route; a sound request has one as its second part */
  double requests_per_s;
  uint32_t bad_parts; /**< number of bad parts, one of each route; the last route has the rest */
  double bad_per_s;   /**< requests with a bad part */
  uint32_t bad_start_ms;
  uint32_t bad_end_ms; /**< endpoints no longer exit on the bad part from then on */
  bool bad_was_sound;  /**< before bad_start_ms, the bad part is a common subject */
  enum part_sim_place bad_place;
  bool bad_has_companion; /**< another part always stands beside the bad one */
  bool heads_come_late;   /**< the head of an answer comes with its first event */
  struct part_sim_kill kills[PART_SIM_KILLS_MAX];
  uint32_t kill_count;
  uint32_t restart_at_ms;  /**< when all routers start anew; 0: never */
  uint32_t replaced_at_ms; /**< when one router is replaced by a new one; 0: never */
  uint32_t cut_start_ms;   /**< when the first router is cut off from the others */
  uint32_t cut_end_ms;     /**< 0: it is never cut off */
};

/** Results of a run: numbers of requests unless noted. */
struct part_sim_result
{
  uint32_t exits;        /**< endpoints that exited on a bad part */
  uint32_t sent_after_3; /**< requests with a bad part that reached an endpoint after the third
                            exit on it */
  uint32_t sent_after_4;
  uint32_t sent_after_5;
  uint32_t sent_in_breach; /**< those that came more than 3 s after the fifth exit on it, from
                              routers that are linked */
  uint32_t sound;          /**< sound requests */
  uint32_t sound_begun;    /**< those answered by the first endpoint that they reached */
  uint32_t sound_refused;  /**< because of a quarantined part */
  uint32_t sound_late;     /**< sound requests later than 6 s after the first quarantine */
  uint32_t sound_late_refused;
  uint32_t quarantined; /**< times that some router quarantined a part that is not bad */
  int32_t known_ms;     /**< from the first quarantine of the first bad part to that by the last
                           linked router; -1: not all quarantined it */
  bool free_at_end;     /**< no router quarantines anything at the end */
  uint64_t messages;    /**< runs and parts told, times the routers told */
};

void part_sim_run (const struct part_sim_setup *setup, struct part_sim_result *result);

#endif
