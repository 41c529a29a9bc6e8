#include "controllers/direct.h"

#include "common/id.h"

#include <stdlib.h>
#include <string.h>

/* An endpoint that failed is passed over for this long, doubled with each failure
 * in a row up to the longest: short, since most troubles last seconds, and each try
 * costs a request at most. */
#define PASS_FIRST_MS 250
#define PASS_LONGEST_MS 4000

/* Failures in a row before it is passed over, by what was seen: an answer that says
 * it failed may be the request's own fault, silence hardly. */
#define FAILED_ALLOWED 2

/* Nothing listens there: most likely it has ended, and the list will say so. */
#define MISSING_MS 1500

/* It is full: others may have room, and it will have room soon. One that turns requests away again
 * and again has the least work of all, and would be sent the most: it is passed over for twice as
 * long each time, up to the longest. */
#define FULL_FIRST_MS 120
#define FULL_LONGEST_MS 2000
#define FULL_COUNT_MAX 5

/* Part of the newest pause in the mean: a dozen of them, a pass or two of some streams. */
#define PAUSE_NEWEST 0.1

/* Pauses seen so long ago tell nothing any more. */
#define PAUSE_OLD_MS 1500

/* An endpoint that told so long ago that it is slow counts as usual again: it is asked, and peers
 * are told, several times as often while it is. */
#define PACE_OLD_MS 1500

/* Below that nothing is gained by sparing an endpoint. */
#define PACE_SLOW 1.2

/* An endpoint in another hall is taken only if it has more than so many requests less: bytes
 * between halls have a price. With a wider margin ranks of a group become uneven. */
#define HALL_WORK 2.0

/* Any odd number with bits all over, and a shift to its upper ones. */
#define MIX_FACTOR UINT64_C (0x9e3779b97f4a7c15)
#define MIX_SHIFT 33

/* Part of an endpoint's places that a router of another hall leaves, where there are so many that
 * loads are told to other halls less often. If all took the last places of ranks whose load they
 * know late, ranks would have far more streams than their cap. */
#define FAR_LEFT_PART 0.5

/* The cap is for passes that take this part of the longest good pause: passes vary, and one
 * that is too long spoils a stream. */
#define PAUSE_PART 0.75

/* A cap falls to this part at most: then waiting longer costs more than it helps. */
#define CAP_LEAST_PART 0.5

void
ash_direct_init (struct ash_direct_set *set, uint64_t seed)
{
  *set = (struct ash_direct_set){ 0 };
  ash_random_init (&set->random, seed);
}

static void
drop (struct ash_direct_set *set, struct ash_direct_endpoint *endpoint)
{
  if (set->leaving)
    set->leaving (set->data, endpoint);
  HASH_DEL (set->endpoints, endpoint);
  HASH_DELETE (by_hash, set->by_hash, endpoint);
  free (endpoint);
}

void
ash_direct_finish (struct ash_direct_set *set)
{
  struct ash_direct_endpoint *endpoint;
  struct ash_direct_endpoint *next;

  HASH_ITER (hh, set->endpoints, endpoint, next)
    drop (set, endpoint);
}

struct ash_direct_endpoint *
ash_direct_find (const struct ash_direct_set *set, const char *id)
{
  struct ash_direct_endpoint *endpoint;

  HASH_FIND_STR (set->endpoints, id, endpoint);
  return endpoint;
}

struct ash_direct_endpoint *
ash_direct_find_hash (const struct ash_direct_set *set, uint64_t hash)
{
  struct ash_direct_endpoint *endpoint;

  HASH_FIND (by_hash, set->by_hash, &hash, sizeof hash, endpoint);
  return endpoint;
}

/* Whether another one that is listed has its address: nothing else can listen there. */
static bool
is_replaced (const struct ash_direct_set *set, const struct ash_direct_endpoint *endpoint)
{
  for (const struct ash_direct_endpoint *other = set->endpoints; other; other = other->hh.next)
    if (other != endpoint && other->presence == ASH_DIRECT_LISTED && *other->facts.address &&
        strcmp (other->facts.address, endpoint->facts.address) == 0)
      return true;
  return false;
}

/* Those that may just have lapsed, and whose address a new one has, have ended. Of the requests
 * that go to either life half would be turned away, and after two such a request is refused. */
static void
replace_lapsed (struct ash_direct_set *set)
{
  for (struct ash_direct_endpoint *endpoint = set->endpoints; endpoint;
       endpoint = endpoint->hh.next)
    if (endpoint->presence == ASH_DIRECT_LAPSED && is_replaced (set, endpoint))
      endpoint->presence = ASH_DIRECT_GONE;
}

/* The list tells of another life. */
static bool
is_reborn (const struct ash_direct_endpoint *endpoint, const struct ash_direct_facts *facts)
{
  bool moved = strcmp (endpoint->facts.address, facts->address) != 0;

  return moved ||
         (facts->born_ms && endpoint->facts.born_ms && facts->born_ms != endpoint->facts.born_ms);
}

/* What the former life did says nothing of this one. Requests under way there end by themselves. */
static void
forget_evidence (struct ash_direct_endpoint *endpoint)
{
  endpoint->failures = 0;
  endpoint->fulls = 0;
  endpoint->passed_until = (struct ash_time){ 0 };
  endpoint->pause_ms = 0;
  endpoint->pace = 0;
  endpoint->said_leaving = false;
  endpoint->limit = (struct ash_rate_limit){ 0 };
  endpoint->rests_until = (struct ash_time){ 0 };
}

bool
ash_direct_listed (struct ash_direct_set *set, const struct ash_direct_facts *facts)
{
  struct ash_direct_endpoint *endpoint = ash_direct_find (set, facts->id);
  bool is_new = !endpoint;
  bool reborn = endpoint && is_reborn (endpoint, facts);
  bool changed;

  if (is_new)
    {
      endpoint = calloc (1, sizeof *endpoint);
      if (!endpoint)
        return false;
      memcpy (endpoint->facts.id, facts->id, sizeof facts->id);
      endpoint->hash = ash_hash_text (facts->id);
      HASH_ADD_STR (set->endpoints, facts.id, endpoint);
      HASH_ADD (by_hash, set->by_hash, hash, sizeof endpoint->hash, endpoint);
    }
  changed = is_new || reborn || endpoint->presence != ASH_DIRECT_LISTED ||
            endpoint->facts.draining != facts->draining;
  endpoint->facts = *facts;
  endpoint->presence = ASH_DIRECT_LISTED;
  if (is_new)
    replace_lapsed (set);
  if (reborn)
    {
      forget_evidence (endpoint);
      if (set->reborn)
        set->reborn (set->data, endpoint);
    }
  return changed;
}

static bool
is_leaving (const struct ash_direct_endpoint *endpoint)
{
  return endpoint->facts.draining || endpoint->said_leaving;
}

bool
ash_direct_removed (struct ash_direct_set *set, const char *id, bool trusted, struct ash_time until)
{
  struct ash_direct_endpoint *endpoint = ash_direct_find (set, id);

  if (!endpoint || endpoint->presence == ASH_DIRECT_GONE)
    return false;
  if (endpoint->presence == ASH_DIRECT_LAPSED && !trusted)
    return false;
  /* One that said it was leaving has left. */
  if (trusted || is_leaving (endpoint) || is_replaced (set, endpoint))
    endpoint->presence = ASH_DIRECT_GONE;
  else
    {
      endpoint->presence = ASH_DIRECT_LAPSED;
      endpoint->lapsed_until = until;
    }
  return true;
}

void
ash_direct_tick (struct ash_direct_set *set, struct ash_time now)
{
  struct ash_direct_endpoint *endpoint;
  struct ash_direct_endpoint *next;

  HASH_ITER (hh, set->endpoints, endpoint, next)
    {
      if (endpoint->presence == ASH_DIRECT_LAPSED && ash_time_before (endpoint->lapsed_until, now))
        endpoint->presence = ASH_DIRECT_GONE;
      if (endpoint->presence == ASH_DIRECT_GONE && !endpoint->in_flight)
        drop (set, endpoint);
    }
}

static void
pass_over (struct ash_direct_endpoint *endpoint, struct ash_time now, int64_t ms)
{
  struct ash_time until = ash_time_add (now, ms);

  if (ash_time_before (endpoint->passed_until, until))
    endpoint->passed_until = until;
}

static void
count_failure (struct ash_direct_endpoint *endpoint, struct ash_time now, uint32_t allowed)
{
  int64_t ms = PASS_FIRST_MS;

  endpoint->failures++;
  if (endpoint->failures <= allowed)
    return;
  for (uint32_t i = allowed + 1; i < endpoint->failures && ms < PASS_LONGEST_MS; i++)
    ms *= 2;
  pass_over (endpoint, now, ms);
}

/* Those that were sent before it was passed over tell nothing more. */
static void
count_full (struct ash_direct_endpoint *endpoint, struct ash_time now)
{
  int64_t ms;

  if (ash_time_before (now, endpoint->passed_until))
    return;
  ms = FULL_FIRST_MS << endpoint->fulls;
  pass_over (endpoint, now, ms < FULL_LONGEST_MS ? ms : FULL_LONGEST_MS);
  if (endpoint->fulls < FULL_COUNT_MAX)
    endpoint->fulls++;
}

void
ash_direct_sent (struct ash_direct_endpoint *endpoint, struct ash_time now)
{
  endpoint->in_flight++;
  ash_rate_limit_spend (&endpoint->limit, now);
}

void
ash_direct_rests (struct ash_direct_endpoint *endpoint, struct ash_time now, int64_t ms)
{
  struct ash_time until = ash_time_add (now, ms);

  if (ash_time_before (endpoint->rests_until, until))
    endpoint->rests_until = until;
}

int64_t
ash_direct_rests_ms (const struct ash_direct_endpoint *endpoint, struct ash_time now)
{
  int64_t ms = ash_time_diff (now, endpoint->rests_until);

  return ms > 0 ? ms : 0;
}

void
ash_direct_saw (struct ash_direct_endpoint *endpoint,
                struct ash_time now,
                enum ash_direct_evidence evidence)
{
  switch (evidence)
    {
    case ASH_DIRECT_ANSWERED:
      endpoint->failures = 0;
      endpoint->fulls -= endpoint->fulls > 0;
      break;
    case ASH_DIRECT_FULL:
      count_full (endpoint, now);
      break;
    case ASH_DIRECT_FAILED:
      count_failure (endpoint, now, FAILED_ALLOWED);
      break;
    case ASH_DIRECT_CUT:
    case ASH_DIRECT_SILENT:
      count_failure (endpoint, now, 0);
      break;
    case ASH_DIRECT_MISSING:
      pass_over (endpoint, now, MISSING_MS);
      break;
    }
}

static bool
knows_pause (const struct ash_direct_endpoint *endpoint, struct ash_time now)
{
  return endpoint->pause_ms > 0 && ash_time_diff (endpoint->pause_seen, now) < PAUSE_OLD_MS;
}

void
ash_direct_paused (struct ash_direct_endpoint *endpoint, struct ash_time now, int64_t pause_ms)
{
  double pause = (double) pause_ms;

  if (knows_pause (endpoint, now))
    endpoint->pause_ms += PAUSE_NEWEST * (pause - endpoint->pause_ms);
  else
    endpoint->pause_ms = pause;
  endpoint->pause_seen = now;
}

void
ash_direct_slow (struct ash_direct_endpoint *endpoint, struct ash_time now, double pace)
{
  endpoint->pace = pace > PACE_SLOW ? pace : 1;
  endpoint->pace_seen = now;
}

double
ash_direct_pace (const struct ash_direct_endpoint *endpoint, struct ash_time now)
{
  if (endpoint->pace <= 1 || ash_time_diff (endpoint->pace_seen, now) >= PACE_OLD_MS)
    return 1;
  return endpoint->pace;
}

bool
ash_direct_usable (const struct ash_direct_endpoint *endpoint)
{
  return endpoint->presence != ASH_DIRECT_GONE && !is_leaving (endpoint);
}

uint32_t
ash_direct_count (const struct ash_direct_set *set, const char *service)
{
  uint32_t count = 0;

  for (const struct ash_direct_endpoint *endpoint = set->endpoints; endpoint;
       endpoint = endpoint->hh.next)
    count += ash_direct_usable (endpoint) && strcmp (endpoint->facts.service, service) == 0;
  return count;
}

static bool
was_tried (const struct ash_direct_wish *wish, uint64_t hash)
{
  for (uint32_t i = 0; i < wish->tried_count; i++)
    if (wish->tried[i] == hash)
      return true;
  return false;
}

/* How many requests it may have now: fewer where streams flow too slowly, or the endpoint itself is
 * slow, since all ranks wait for the slowest. Not more where
 * they flow fast: what is asked for may shift at any moment, and then passes take twice as
 * long until the map has followed. */
static uint32_t
cap_now (const struct ash_direct_endpoint *endpoint,
         const struct ash_direct_wish *wish,
         struct ash_time now)
{
  double pace = ash_direct_pace (endpoint, now);
  double cap = wish->cap;

  if (!wish->pause_aim_ms)
    return wish->cap;
  if (pace > 1)
    return cap > pace ? (uint32_t) (cap / pace) : 1;
  if (!knows_pause (endpoint, now))
    return wish->cap;
  cap *= PAUSE_PART * wish->pause_aim_ms / endpoint->pause_ms;
  if (cap < CAP_LEAST_PART * wish->cap)
    cap = CAP_LEAST_PART * wish->cap;
  return cap > wish->cap ? wish->cap : (uint32_t) (cap + 0.5);
}

/* What a choice goes by; the first difference decides. */
struct rank
{
  bool passed;
  double work; /* the next request's part of what the endpoint does */
};

static int
compare (struct rank a, struct rank b)
{
  if (a.passed != b.passed)
    return a.passed ? 1 : -1;
  if (a.work != b.work)
    return a.work > b.work ? 1 : -1;
  return 0;
}

static bool
is_far (const struct ash_direct_endpoint *endpoint, const struct ash_direct_wish *wish)
{
  return wish->hall && strcmp (endpoint->facts.hall, wish->hall) != 0;
}

/* Other routers have other parts, and a part stays the same whoever comes and goes. */
static bool
is_in_part (const struct ash_direct_endpoint *endpoint, const struct ash_direct_wish *wish)
{
  uint64_t mixed = (endpoint->hash ^ wish->own) * MIX_FACTOR;

  return wish->far_parts <= 1 || (mixed >> MIX_SHIFT) % wish->far_parts == 0;
}

static bool
is_open (const struct ash_direct_endpoint *endpoint, const struct ash_direct_wish *wish)
{
  return ash_direct_usable (endpoint) && strcmp (endpoint->facts.service, wish->service) == 0 &&
         !was_tried (wish, endpoint->hash);
}

/* Where loads of other halls are old, some places there are left for what is not known yet. */
static bool
has_room (const struct ash_direct_endpoint *endpoint,
          const struct ash_direct_wish *wish,
          struct ash_time now)
{
  uint32_t load = endpoint->in_flight + endpoint->elsewhere;

  if (wish->far_parts > 1 && is_far (endpoint, wish))
    load += (uint32_t) (FAR_LEFT_PART * wish->cap + 0.5);
  return load < cap_now (endpoint, wish, now);
}

/* In how many ms the endpoint takes a request by its own word; below 0: not from this router. */
static int64_t
opens_ms (const struct ash_direct_endpoint *endpoint, struct ash_time now)
{
  int64_t rests_ms = ash_direct_rests_ms (endpoint, now);
  int64_t rate_ms = ash_rate_limit_opens_ms (&endpoint->limit, now);

  return rate_ms < 0 || rate_ms > rests_ms ? rate_ms : rests_ms;
}

static struct rank
rank_of (const struct ash_direct_endpoint *endpoint,
         const struct ash_direct_wish *wish,
         struct ash_time now)
{
  uint32_t load = endpoint->in_flight + endpoint->elsewhere;
  struct rank rank = { ash_time_before (now, endpoint->passed_until), load + 1.0 };

  if (is_far (endpoint, wish))
    rank.work += HALL_WORK;
  if (wish->pause_aim_ms)
    rank.work *=
        ash_direct_pace (endpoint, now) *
        (knows_pause (endpoint, now) ? endpoint->pause_ms : PAUSE_PART * wish->pause_aim_ms);
  return rank;
}

/* Looks at the endpoints that the wish leaves. */
static enum ash_direct_choice
search (struct ash_direct_set *set,
        struct ash_time now,
        const struct ash_direct_wish *wish,
        struct ash_direct_endpoint **chosen)
{
  struct rank best = { true, 0 };
  uint32_t equals = 0;
  enum ash_direct_choice otherwise = ASH_DIRECT_NONE;

  *chosen = NULL;
  for (struct ash_direct_endpoint *endpoint = set->endpoints; endpoint;
       endpoint = endpoint->hh.next)
    {
      struct rank rank;
      int order;

      if (!is_open (endpoint, wish) || (is_far (endpoint, wish) && !is_in_part (endpoint, wish)))
        continue;
      if (otherwise == ASH_DIRECT_NONE)
        otherwise = ASH_DIRECT_ALL_FULL;
      if (!has_room (endpoint, wish, now))
        continue;
      otherwise = ASH_DIRECT_HELD_BACK;
      if (opens_ms (endpoint, now))
        continue;
      rank = rank_of (endpoint, wish, now);
      order = *chosen ? compare (rank, best) : -1;
      equals = order < 0 ? 1 : equals + (order == 0);
      if (order < 0 || (order == 0 && ash_random_below (&set->random, equals) == 0))
        {
          best = rank;
          *chosen = endpoint;
        }
    }
  return *chosen ? ASH_DIRECT_CHOSEN : otherwise;
}

enum ash_direct_choice
ash_direct_choose (struct ash_direct_set *set,
                   struct ash_time now,
                   const struct ash_direct_wish *wish,
                   struct ash_direct_endpoint **chosen)
{
  enum ash_direct_choice choice = search (set, now, wish, chosen);
  struct ash_direct_wish all = *wish;

  if (choice == ASH_DIRECT_CHOSEN || choice == ASH_DIRECT_ALL_FULL || wish->far_parts <= 1)
    return choice;
  all.far_parts = 1;
  return search (set, now, &all, chosen);
}

int64_t
ash_direct_opens_ms (const struct ash_direct_set *set,
                     struct ash_time now,
                     const struct ash_direct_wish *wish)
{
  int64_t least_ms = -1;

  for (const struct ash_direct_endpoint *endpoint = set->endpoints; endpoint;
       endpoint = endpoint->hh.next)
    if (is_open (endpoint, wish) && has_room (endpoint, wish, now))
      {
        int64_t ms = opens_ms (endpoint, now);

        if (ms >= 0 && (least_ms < 0 || ms < least_ms))
          least_ms = ms;
      }
  return least_ms;
}
