/**
 * @file
 * Stand-in of a group of expert-parallel engines in lock-step. One process has all ranks, each with
 * its own fence, which rejects outdated orders. It records the expert map of every rank at every
 * step and counts steps that ranks run with different maps; there must be none.
 *
 * GET  /rank/N/state           the rank's state
 * POST /rank/N/order           applies an order; answers with the rank's state
 * GET  /rank/N/loads           tokens of each expert in the last interval
 * POST /replace?rank=N         replaces rank N by one without state; with &other=M rank M, too
 * POST /control?lose=K         drops orders of kind K from now on (0: drops none)
 * POST /control?unchecked=1    accepts outdated orders from now on
 * POST /control?hot=E          expert E gets EXPERTS / 2 times as many tokens as each other expert
 * GET  /check                  steps begun, steps with different maps, changes of the map in use,
 *                              longest time between two steps in ms
 */
#include "controllers/expert_policy.h"
#include "controllers/expert_rank.h"
#include "proto/json.h"
#include "test/standin.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RANKS_MAX 64
#define STEP_HISTORY 4096
#define MAPS_MAX 256
#define TOKENS 1000

struct known_map
{
  uint64_t digest;
  uint8_t placement[2 * ASH_EXPERT_SLOTS_MAX];
  size_t length;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct ash_expert_rank ranks[RANKS_MAX];
static uint64_t step_maps[RANKS_MAX][STEP_HISTORY];
static struct known_map maps[MAPS_MAX]; /* a ring buffer of the newest maps */
static unsigned map_count;
static uint32_t rank_count;
static uint32_t expert_count;
static int64_t hot_expert = -1;
static int64_t dropped_kind;
static int64_t unfenced;
static uint64_t last_incarnation = 1;
static unsigned differences;
static unsigned changes;
static int64_t last_step_ms;
static int64_t longest_wait_ms;

static const struct known_map *
find_map (uint64_t digest)
{
  for (unsigned i = 0; i < MAPS_MAX; i++)
    if (maps[i].digest == digest)
      return &maps[i];
  return NULL;
}

static void
add_known_map (uint64_t digest, const ProtobufCBinaryData *placement)
{
  struct known_map *map;

  if (!digest || find_map (digest) || placement->len > sizeof maps[0].placement)
    return;
  map = &maps[map_count++ % MAPS_MAX];
  map->digest = digest;
  map->length = placement->len;
  memcpy (map->placement, placement->data, placement->len);
}

/* ---- lock-step ---- */

static bool
no_rank_is_behind (uint32_t r)
{
  for (uint32_t q = 0; q < rank_count; q++)
    if (ranks[q].blank || ranks[q].begun < ranks[r].begun)
      return false;
  return true;
}

static void
begin_step (uint32_t r)
{
  uint64_t before = step_maps[r][ranks[r].begun % STEP_HISTORY];
  uint64_t map = ash_expert_rank_begin (&ranks[r]);
  uint64_t step = ranks[r].begun;

  step_maps[r][step % STEP_HISTORY] = map;
  if (r == 0 && before && before != map)
    changes++;
  for (uint32_t q = 0; q < rank_count; q++)
    if (ranks[q].begun == step && step_maps[q][step % STEP_HISTORY] != map)
      {
        differences++;
        fprintf (stderr, "stand-in group: step %llu: ranks %u and %u have different maps\n",
                 (unsigned long long) step, r, q);
      }
  if (last_step_ms && standin_now_ms () - last_step_ms > longest_wait_ms)
    longest_wait_ms = standin_now_ms () - last_step_ms;
  last_step_ms = standin_now_ms ();
}

static void *
run_steps (void *data)
{
  int64_t step_ms = *(int64_t *) data;

  for (;;)
    {
      standin_sleep_ms (step_ms);
      pthread_mutex_lock (&lock);
      for (uint32_t r = 0; r < rank_count; r++)
        if (ash_expert_rank_may_begin (&ranks[r]) && no_rank_is_behind (r))
          begin_step (r);
      pthread_mutex_unlock (&lock);
    }
  return NULL;
}

/* ---- HTTP ---- */

static enum MHD_Result
reply_json (struct standin_request *request, json_t *object)
{
  char *text = json_dumps (object, JSON_COMPACT);
  enum MHD_Result result =
      standin_reply (request, MHD_HTTP_OK, "application/json", text, strlen (text));

  free (text);
  json_decref (object);
  return result;
}

static void
on_state (void *data, const struct Ash__Event *event)
{
  json_t **object = data;
  struct Ash__RankState state = *event->rank_state;
  const struct known_map *map = find_map (state.map);

  if (map)
    {
      state.placement.data = (uint8_t *) (uintptr_t) map->placement;
      state.placement.len = map->length;
    }
  *object = ash_proto_to_json (&state.base);
}

/* Applies an order to a rank. @return the rank's state as JSON. An order of kind NONE with the
 * rank's present ballot and sequence only reads the state. */
static json_t *
submit_order (uint32_t r, struct Ash__RankOrder *order)
{
  json_t *object = NULL;
  struct ash_sink sink = { on_state, &object };

  add_known_map (order->map, &order->placement);
  ash_expert_rank_handle_order (&ranks[r], order, "", &sink);
  return object;
}

static json_t *
loads_json (void)
{
  json_t *tokens = json_array ();

  for (uint32_t e = 0; e < expert_count; e++)
    json_array_append_new (
        tokens, json_integer (e == hot_expert ? (json_int_t) TOKENS * expert_count / 2 : TOKENS));
  return json_pack ("{s:o}", "tokens", tokens);
}

static enum MHD_Result
handle_rank (struct standin_request *request, uint32_t r, const char *what)
{
  struct Ash__RankOrder query = ASH__RANK_ORDER__INIT;
  struct Ash__RankOrder *order = NULL;
  json_t *body;
  json_t *answer;
  bool dropped;

  if (strcmp (what, "loads") == 0)
    return reply_json (request, loads_json ());
  pthread_mutex_lock (&lock);
  if (strcmp (what, "order") == 0)
    {
      body = json_loadb (request->body, request->body_bytes, 0, NULL);
      order = (struct Ash__RankOrder *) (void *) ash_proto_from_json (&ash__rank_order__descriptor,
                                                                      body);
      json_decref (body);
    }
  query.ballot = ranks[r].fence.promised;
  query.sequence = ranks[r].fence.sequence;
  query.life = ranks[r].incarnation;
  dropped = order && dropped_kind && order->kind == dropped_kind;
  if (order && unfenced)
    {
      ranks[r].fence.promised = 0;
      ranks[r].fence.sequence = 0;
      order->life = ranks[r].incarnation;
    }
  answer = dropped ? NULL : submit_order (r, order ? order : &query);
  pthread_mutex_unlock (&lock);
  if (order)
    ash__rank_order__free_unpacked (order, NULL);
  if (dropped)
    return standin_reply (request, MHD_HTTP_SERVICE_UNAVAILABLE, "text/plain", "lost\n", 5);
  return reply_json (request, answer);
}

static void
replace_rank (unsigned r)
{
  ash_expert_rank_init_blank (&ranks[r], "g", r, ++last_incarnation);
  memset (step_maps[r], 0, sizeof step_maps[r]);
}

static enum MHD_Result
handle (struct standin_request *request)
{
  unsigned r;
  char what[16];
  json_t *answer;

  if (sscanf (request->path, "/rank/%u/%15s", &r, what) == 2 && r < rank_count)
    return handle_rank (request, r, what);
  pthread_mutex_lock (&lock);
  if (strcmp (request->path, "/replace") == 0)
    {
      replace_rank ((unsigned) standin_query_number (request, "rank", 0) % rank_count);
      if (standin_query_number (request, "other", -1) >= 0)
        replace_rank ((unsigned) standin_query_number (request, "other", 0) % rank_count);
    }
  hot_expert = standin_query_number (request, "hot", hot_expert);
  dropped_kind = standin_query_number (request, "lose", dropped_kind);
  unfenced = standin_query_number (request, "unchecked", unfenced);
  answer = json_pack ("{s:I, s:i, s:i, s:I}", "steps", (json_int_t) ranks[0].begun, "differences",
                      (int) differences, "changes", (int) changes, "longest_wait_ms",
                      (json_int_t) longest_wait_ms);
  pthread_mutex_unlock (&lock);
  return reply_json (request, answer);
}

int
standin_group (int argc, char **argv)
{
  static int64_t step_ms = 5;
  struct ash_expert_placement placement = { 0 };
  double even[ASH_EXPERTS_MAX];
  ProtobufCBinaryData first;
  pthread_t thread;

  if (argc < 5)
    return 2;
  rank_count = (uint32_t) atoi (argv[2]);
  expert_count = (uint32_t) atoi (argv[3]);
  placement.rank_count = rank_count;
  placement.expert_count = expert_count;
  placement.rank_slots = (uint32_t) atoi (argv[4]);
  for (uint32_t e = 0; e < expert_count; e++)
    even[e] = 1;
  ash_expert_repack (&placement, even);
  first.data = (uint8_t *) placement.slots;
  first.len = (size_t) 2 * rank_count * placement.rank_slots;
  add_known_map (1, &first);
  for (uint32_t r = 0; r < rank_count; r++)
    ash_expert_rank_init (&ranks[r], "g", r, ++last_incarnation, 1);
  pthread_create (&thread, NULL, run_steps, &step_ms);
  return standin_serve ((uint16_t) atoi (argv[1]), handle);
}
