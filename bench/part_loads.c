#include "bench/part_loads.h"

#include <stdlib.h>
#include <string.h>

/* Two groups of eight ranks behind seven routers; one request in 25 has a bad part. */
#define FLEET_FOR(ms)                                                                              \
  .duration_ms = (ms), .routers = 7, .groups = 2, .group_size = 8, .routes = 3, .subjects = 60,    \
  .requests_per_s = 75

#define FLEET FLEET_FOR (40000)

#define BAD .bad_parts = 1, .bad_per_s = 3, .bad_start_ms = 8000, .bad_end_ms = 40000

const struct part_load part_loads[] = {
  { "a quiet time", { FLEET } },
  { "a bad part in the middle", { FLEET, BAD } },
  { "a bad first part", { FLEET, BAD, .bad_place = PART_SIM_FIRST } },
  { "a bad part at any place", { FLEET, BAD, .bad_place = PART_SIM_ANY } },
  { "a bad part in a burst",
    { FLEET, .bad_parts = 1, .bad_per_s = 40, .bad_start_ms = 8000, .bad_end_ms = 40000 } },
  { "two bad parts of two routes",
    { FLEET, .bad_parts = 2, .bad_per_s = 6, .bad_start_ms = 8000, .bad_end_ms = 40000 } },
  { "a bad part with a companion", { FLEET, BAD, .bad_has_companion = true } },
  { "a part that becomes bad", { FLEET, BAD, .bad_was_sound = true } },
  { "a bad part that becomes sound",
    { FLEET_FOR (200000), .bad_parts = 1, .bad_per_s = 3, .bad_start_ms = 8000,
      .bad_end_ms = 60000 } },
  { "heads that come late", { FLEET, BAD, .heads_come_late = true } },
  { "a bad part beside kills",
    { FLEET, BAD, .kill_count = 3, .kills = { { 8300, 2 }, { 14000, 5 }, { 20000, 1 } } } },
  { "all routers start anew", { FLEET, BAD, .restart_at_ms = 8400 } },
  { "a router is replaced", { FLEET, BAD, .replaced_at_ms = 15000 } },
  { "a router is cut off", { FLEET, BAD, .cut_start_ms = 7000, .cut_end_ms = 20000 } },
  { "a fleet of 300",
    { .duration_ms = 20000,
      .routers = 300,
      .groups = 4,
      .group_size = 24,
      .routes = 5,
      .subjects = 400,
      .requests_per_s = 900,
      .bad_parts = 1,
      .bad_per_s = 30,
      .bad_start_ms = 8000,
      .bad_end_ms = 20000 } },
  { "kills of one endpoint after the other",
    { FLEET, .kill_count = 8,
      .kills = { { 3000, 1 },
                 { 8000, 1 },
                 { 8400, 2 },
                 { 13000, 1 },
                 { 14000, 3 },
                 { 20000, 2 },
                 { 25000, 1 },
                 { 30000, 2 } } } },
  { "kills of a whole hall",
    { FLEET, .kill_count = 4,
      .kills = { { 6000, 8 }, { 12000, 16 }, { 18000, 8 }, { 24000, 16 } } } },
  { "kills right after a start",
    { FLEET, .restart_at_ms = 8000, .kill_count = 3,
      .kills = { { 8100, 8 }, { 12200, 8 }, { 16300, 8 } } } },
  { NULL, { 0 } },
};

struct part_sim_setup
part_load_setup (const char *name)
{
  for (const struct part_load *load = part_loads; load->name; load++)
    if (strcmp (load->name, name) == 0)
      return load->setup;
  abort ();
}
