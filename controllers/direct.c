#include "controllers/direct.h"

#include "common/id.h"

#include <stdlib.h>
#include <string.h>

/* A failed endpoint is ejected (other endpoints are preferred) for this long, doubled with each
 * consecutive failure up to the maximum. The maximum is short because most faults last seconds and
 * a probe costs at most one request. */
#define EJECT_FIRST_MS 250
#define EJECT_MAX_MS 4000

/* Consecutive error answers that an endpoint may give before it is ejected, since an error answer
 * may be caused by the request itself. A timeout or a broken connection ejects at once. */
#define FAILURES_ALLOWED 2

/* Ejection after a failed connect. The process has most likely ended; the endpoint list will drop
 * it soon. */
#define UNREACHABLE_EJECT_MS 1500

/* Ejection of an endpoint that rejected a request for lack of capacity, doubled with each rejection
 * up to the maximum. Without the doubling, an endpoint that rejects everything would have the least
 * load and so be sent the most requests. */
#define REJECT_EJECT_FIRST_MS 120
#define REJECT_EJECT_MAX_MS 2000
#define REJECTIONS_MAX 5

/* Weight of the newest pause in the moving average, which therefore covers about a dozen pauses:
 * one or two engine passes of a few streams. */
#define PAUSE_WEIGHT 0.1

/* The average is ignored if the last pause was measured longer ago than this. */
#define PAUSE_MAX_AGE_MS 1500

/* A reported pace expires after this time. A slow endpoint is polled, and its pace sent to peers,
 * several times in that period. */
#define PACE_MAX_AGE_MS 1500

/* Paces up to this count as normal speed: sending such an endpoint fewer requests gains nothing. */
#define PACE_SLOW_MIN 1.2

/* Requests added to the load of an endpoint in another hall when loads are compared, since traffic
 * between halls has a cost. With a higher value, the load of a group's ranks becomes uneven. */
#define OTHER_HALL_WORK 2.0

/* Multiplicative hashing: the product's upper bits are used. */
#define MIX_FACTOR UINT64_C (0x9e3779b97f4a7c15)
#define MIX_SHIFT 33

/* Steps in which a fraction of a request is rounded differently by endpoint. */
#define ROUNDING_STEPS 1024

/* Fraction of an endpoint's cap that routers of other halls leave unused where there are so many
 * routers that loads are sent to other halls less often. If all of them took the last free slots of
 * ranks whose load they learn late, the ranks would get far more streams than their cap. */
#define REMOTE_RESERVE_FRACTION 0.5

/* Caps are set so that an engine pass takes this fraction of the target pause. Passes vary in
 * length, and a single one that exceeds the target makes a stream miss it. */
#define PAUSE_FRACTION 0.75

/* Lower bound of a reduced cap, as a fraction of the full one. Below it, requests lose more by
 * waiting than streams gain. */
#define CAP_MIN_FRACTION 0.5

void
ash_direct_init (struct ash_direct_set *set, uint64_t seed)
{
  *set = (struct ash_direct_set){ 0 };
  ash_random_init (&set->random, seed);
}

static void
drop (struct ash_direct_set *set, struct ash_direct_endpoint *endpoint)
{
  if (set->before_free)
    set->before_free (set->data, endpoint);
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

/* Whether another listed endpoint has the same address, so that this one can no longer listen
 * there. */
static bool
is_replaced (const struct ash_direct_set *set, const struct ash_direct_endpoint *endpoint)
{
  for (const struct ash_direct_endpoint *other = set->endpoints; other; other = other->hh.next)
    if (other != endpoint && other->presence == ASH_DIRECT_LISTED && *other->facts.address &&
        strcmp (other->facts.address, endpoint->facts.address) == 0)
      return true;
  return false;
}

/* Removes lapsed endpoints whose address a new endpoint has taken over: their processes have ended.
 * If both stayed in use, half of the requests sent to that address would be rejected for naming the
 * wrong endpoint, and a request is refused after two rejections. */
static void
remove_replaced (struct ash_direct_set *set)
{
  for (struct ash_direct_endpoint *endpoint = set->endpoints; endpoint;
       endpoint = endpoint->hh.next)
    if (endpoint->presence == ASH_DIRECT_LAPSED && is_replaced (set, endpoint))
      endpoint->presence = ASH_DIRECT_REMOVED;
}

/* Whether the endpoint has restarted: the list's entry is of another incarnation than the known
 * one. */
static bool
is_restarted (const struct ash_direct_endpoint *endpoint, const struct ash_direct_facts *facts)
{
  bool moved = strcmp (endpoint->facts.address, facts->address) != 0;

  return moved ||
         (facts->born_ms && endpoint->facts.born_ms && facts->born_ms != endpoint->facts.born_ms);
}

/* Discards what was learned from the previous incarnation. Its requests in flight end when their
 * connections close. */
static void
reset_state (struct ash_direct_endpoint *endpoint)
{
  endpoint->failures = 0;
  endpoint->rejections = 0;
  endpoint->ejected_until = (struct ash_time){ 0 };
  ash_outlier_clear (&endpoint->outlier);
  endpoint->pause_ms = 0;
  endpoint->pace = 0;
  endpoint->announced_leaving = false;
  endpoint->stalled_until = (struct ash_time){ 0 };
  endpoint->cold = (struct ash_cold_start){ 0 };
  endpoint->limit = (struct ash_rate_limit){ 0 };
  endpoint->backoff_until = (struct ash_time){ 0 };
}

bool
ash_direct_update (struct ash_direct_set *set, const struct ash_direct_facts *facts)
{
  struct ash_direct_endpoint *endpoint = ash_direct_find (set, facts->id);
  bool is_new = !endpoint;
  bool restarted = endpoint && is_restarted (endpoint, facts);
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
  changed = is_new || restarted || endpoint->presence != ASH_DIRECT_LISTED ||
            endpoint->facts.draining != facts->draining ||
            strcmp (endpoint->facts.hall, facts->hall) != 0;
  endpoint->facts = *facts;
  endpoint->presence = ASH_DIRECT_LISTED;
  endpoint->evacuated = ash_evacuations_include (&set->evacuations, facts->hall);
  if (is_new)
    {
      remove_replaced (set);
      if (set->added)
        set->added (set->data, endpoint);
    }
  if (restarted)
    {
      reset_state (endpoint);
      if (set->restarted)
        set->restarted (set->data, endpoint);
    }
  return changed;
}

static bool
is_leaving (const struct ash_direct_endpoint *endpoint)
{
  return endpoint->facts.draining || endpoint->announced_leaving;
}

bool
ash_direct_remove (struct ash_direct_set *set, const char *id, bool trusted, struct ash_time until)
{
  struct ash_direct_endpoint *endpoint = ash_direct_find (set, id);

  if (!endpoint || endpoint->presence == ASH_DIRECT_REMOVED)
    return false;
  if (endpoint->presence == ASH_DIRECT_LAPSED && !trusted)
    return false;
  /* An endpoint that announced its shutdown has now shut down, also if the list is not trusted. */
  if (trusted || is_leaving (endpoint) || is_replaced (set, endpoint))
    endpoint->presence = ASH_DIRECT_REMOVED;
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
        endpoint->presence = ASH_DIRECT_REMOVED;
      if (endpoint->presence == ASH_DIRECT_REMOVED && !endpoint->in_flight)
        drop (set, endpoint);
    }
}

static void
eject (struct ash_direct_endpoint *endpoint, struct ash_time now, int64_t ms)
{
  struct ash_time until = ash_time_add (now, ms);

  if (ash_time_before (endpoint->ejected_until, until))
    endpoint->ejected_until = until;
}

static void
count_failure (struct ash_direct_endpoint *endpoint, struct ash_time now, uint32_t allowed)
{
  int64_t ms = EJECT_FIRST_MS;

  endpoint->failures++;
  if (endpoint->failures <= allowed)
    return;
  for (uint32_t i = allowed + 1; i < endpoint->failures && ms < EJECT_MAX_MS; i++)
    ms *= 2;
  eject (endpoint, now, ms);
}

/* Requests that were sent before the ejection add no information if they are rejected too. */
static void
count_rejection (struct ash_direct_endpoint *endpoint, struct ash_time now)
{
  int64_t ms;

  if (ash_time_before (now, endpoint->ejected_until))
    return;
  ms = REJECT_EJECT_FIRST_MS << endpoint->rejections;
  eject (endpoint, now, ms < REJECT_EJECT_MAX_MS ? ms : REJECT_EJECT_MAX_MS);
  if (endpoint->rejections < REJECTIONS_MAX)
    endpoint->rejections++;
}

void
ash_direct_note_sent (struct ash_direct_endpoint *endpoint, struct ash_time now)
{
  endpoint->in_flight++;
  ash_rate_limit_spend (&endpoint->limit, now);
  ash_cold_start_spend (&endpoint->cold, now);
}

void
ash_direct_back_off (struct ash_direct_endpoint *endpoint, struct ash_time now, int64_t ms)
{
  struct ash_time until = ash_time_add (now, ms);

  if (ash_time_before (endpoint->backoff_until, until))
    endpoint->backoff_until = until;
}

int64_t
ash_direct_backoff_ms (const struct ash_direct_endpoint *endpoint, struct ash_time now)
{
  int64_t ms = ash_time_diff (now, endpoint->backoff_until);

  return ms > 0 ? ms : 0;
}

void
ash_direct_set_stalled (struct ash_direct_endpoint *endpoint, struct ash_time now, int64_t ms)
{
  endpoint->stalled_until = ms ? ash_time_add (now, ms) : (struct ash_time){ 0 };
}

void
ash_direct_note_result (struct ash_direct_endpoint *endpoint,
                        struct ash_time now,
                        enum ash_direct_result result)
{
  switch (result)
    {
    case ASH_DIRECT_ANSWERED:
      endpoint->failures = 0;
      endpoint->answered_at = now;
      ash_outlier_clear (&endpoint->outlier);
      endpoint->rejections -= endpoint->rejections > 0;
      break;
    case ASH_DIRECT_FULL:
      count_rejection (endpoint, now);
      break;
    case ASH_DIRECT_FAILED:
      count_failure (endpoint, now, FAILURES_ALLOWED);
      break;
    case ASH_DIRECT_BROKEN:
    case ASH_DIRECT_TIMED_OUT:
      count_failure (endpoint, now, 0);
      break;
    case ASH_DIRECT_UNREACHABLE:
      eject (endpoint, now, UNREACHABLE_EJECT_MS);
      break;
    }
}

bool
ash_direct_may_leave_out (const struct ash_direct_set *set,
                          const struct ash_direct_endpoint *endpoint,
                          double part)
{
  uint32_t left_out = 0;

  for (const struct ash_direct_endpoint *other = set->endpoints; other; other = other->hh.next)
    left_out += other != endpoint && other->outlier.on_probation && ash_direct_usable (other) &&
                strcmp (other->facts.service, endpoint->facts.service) == 0;
  return ash_outlier_may_leave_out (left_out, ash_direct_count (set, endpoint->facts.service),
                                    part);
}

void
ash_direct_restore (struct ash_direct_endpoint *endpoint)
{
  endpoint->failures = 0;
  endpoint->ejected_until = (struct ash_time){ 0 };
  ash_outlier_clear (&endpoint->outlier);
}

static bool
pause_is_known (const struct ash_direct_endpoint *endpoint, struct ash_time now)
{
  return endpoint->pause_ms > 0 &&
         ash_time_diff (endpoint->pause_measured_at, now) < PAUSE_MAX_AGE_MS;
}

void
ash_direct_note_pause (struct ash_direct_endpoint *endpoint, struct ash_time now, int64_t pause_ms)
{
  double pause = (double) pause_ms;

  if (pause_is_known (endpoint, now))
    endpoint->pause_ms += PAUSE_WEIGHT * (pause - endpoint->pause_ms);
  else
    endpoint->pause_ms = pause;
  endpoint->pause_measured_at = now;
}

void
ash_direct_set_pace (struct ash_direct_endpoint *endpoint, struct ash_time now, double pace)
{
  endpoint->pace = pace > PACE_SLOW_MIN ? pace : 1;
  endpoint->pace_reported_at = now;
}

double
ash_direct_pace (const struct ash_direct_endpoint *endpoint, struct ash_time now)
{
  if (endpoint->pace <= 1 || ash_time_diff (endpoint->pace_reported_at, now) >= PACE_MAX_AGE_MS)
    return 1;
  return endpoint->pace;
}

void
ash_direct_apply_evacuations (struct ash_direct_set *set)
{
  for (struct ash_direct_endpoint *endpoint = set->endpoints; endpoint;
       endpoint = endpoint->hh.next)
    endpoint->evacuated = ash_evacuations_include (&set->evacuations, endpoint->facts.hall);
}

bool
ash_direct_usable (const struct ash_direct_endpoint *endpoint)
{
  return endpoint->presence != ASH_DIRECT_REMOVED && !is_leaving (endpoint) && !endpoint->evacuated;
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

bool
ash_direct_has_evacuated (const struct ash_direct_set *set, const char *service)
{
  for (const struct ash_direct_endpoint *endpoint = set->endpoints; endpoint;
       endpoint = endpoint->hh.next)
    if (endpoint->evacuated && endpoint->presence != ASH_DIRECT_REMOVED && !is_leaving (endpoint) &&
        strcmp (endpoint->facts.service, service) == 0)
      return true;
  return false;
}

static bool
was_tried (const struct ash_direct_criteria *criteria, uint64_t hash)
{
  for (uint32_t i = 0; i < criteria->tried_count; i++)
    if (criteria->tried[i] == hash)
      return true;
  return false;
}

/* The number of requests that the endpoint may have now. It is reduced where the pauses of streams
 * are too long, or the endpoint reports that it is slow, since all ranks of a group wait for the
 * slowest. It is not raised where pauses are short: the mix of prompts may change at any moment,
 * and engine passes then take twice as long until the expert map is adapted. */
static uint32_t
effective_cap (const struct ash_direct_endpoint *endpoint,
               const struct ash_direct_criteria *criteria,
               struct ash_time now)
{
  double pace = ash_direct_pace (endpoint, now);
  double cap = criteria->cap;

  if (!criteria->pause_target_ms)
    return criteria->cap;
  if (pace > 1)
    return cap > pace ? (uint32_t) (cap / pace) : 1;
  if (!pause_is_known (endpoint, now))
    return criteria->cap;
  cap *= PAUSE_FRACTION * criteria->pause_target_ms / endpoint->pause_ms;
  if (cap < CAP_MIN_FRACTION * criteria->cap)
    cap = CAP_MIN_FRACTION * criteria->cap;
  return cap > criteria->cap ? criteria->cap : (uint32_t) (cap + 0.5);
}

/* Sort key of a candidate: lower is better, members compared in this order. */
struct sort_key
{
  bool passed_over;
  double work; /* load with the next request, weighted by hall and speed */
};

static int
compare_sort_keys (struct sort_key a, struct sort_key b)
{
  if (a.passed_over != b.passed_over)
    return a.passed_over ? 1 : -1;
  if (a.work != b.work)
    return a.work > b.work ? 1 : -1;
  return 0;
}

static bool
is_remote (const struct ash_direct_endpoint *endpoint, const struct ash_direct_criteria *criteria)
{
  return criteria->hall && strcmp (endpoint->facts.hall, criteria->hall) != 0;
}

/* Whether the endpoint is in the part of the remote endpoints that this router uses. Each router
 * hashes to its own part, which does not change when routers join or leave. */
static bool
is_in_own_part (const struct ash_direct_endpoint *endpoint,
                const struct ash_direct_criteria *criteria)
{
  uint64_t mixed = (endpoint->hash ^ criteria->router_id) * MIX_FACTOR;

  return criteria->remote_parts <= 1 || (mixed >> MIX_SHIFT) % criteria->remote_parts == 0;
}

static bool
is_eligible (const struct ash_direct_endpoint *endpoint, const struct ash_direct_criteria *criteria)
{
  return ash_direct_usable (endpoint) && strcmp (endpoint->facts.service, criteria->service) == 0 &&
         !was_tried (criteria, endpoint->hash);
}

/* The number of requests that an endpoint may have if the request must leave a part of its cap
 * free. A fraction of a request is rounded up at some endpoints, the same ones at all routers, so
 * that the part is exact for the service. */
static uint32_t
usable_cap (const struct ash_direct_endpoint *endpoint,
            const struct ash_direct_criteria *criteria,
            struct ash_time now)
{
  uint32_t cap = effective_cap (endpoint, criteria, now);
  double rounding;

  if (criteria->reserved <= 0)
    return cap;
  rounding = (double) (endpoint->hash % ROUNDING_STEPS) / ROUNDING_STEPS;
  return (uint32_t) (cap * (1 - criteria->reserved) + rounding);
}

/* Where routers learn the load of remote endpoints late, a part of each endpoint's cap is reserved
 * for requests of other routers that this router does not know of yet. */
static bool
has_room (const struct ash_direct_endpoint *endpoint,
          const struct ash_direct_criteria *criteria,
          struct ash_time now)
{
  uint32_t load = endpoint->in_flight + endpoint->peers_in_flight;

  if (criteria->remote_parts > 1 && is_remote (endpoint, criteria))
    load += (uint32_t) (REMOTE_RESERVE_FRACTION * criteria->cap + 0.5);
  return load < usable_cap (endpoint, criteria, now);
}

static int64_t
later_of (int64_t a_ms, int64_t b_ms)
{
  return a_ms > b_ms ? a_ms : b_ms;
}

/* @return ms until the endpoint's back-off, cold start and rate limit allow a request; below 0 if
 * this router has no share of the rate limit. */
static int64_t
throttle_ms (const struct ash_direct_endpoint *endpoint, struct ash_time now)
{
  int64_t rate_ms = ash_rate_limit_wait_ms (&endpoint->limit, now);
  int64_t wait_ms = later_of (ash_direct_backoff_ms (endpoint, now),
                              ash_cold_start_wait_ms (&endpoint->cold, now));

  return rate_ms < 0 ? rate_ms : later_of (rate_ms, wait_ms);
}

/* Whether requests to the endpoint are likely to fail. Reports of stalled groups lag, so an
 * endpoint is still tried if there is no other. */
static bool
is_passed_over (const struct ash_direct_endpoint *endpoint, struct ash_time now)
{
  return ash_time_before (now, endpoint->ejected_until) ||
         ash_time_before (now, endpoint->stalled_until);
}

static struct sort_key
sort_key_of (const struct ash_direct_endpoint *endpoint,
             const struct ash_direct_criteria *criteria,
             struct ash_time now)
{
  uint32_t load = endpoint->in_flight + endpoint->peers_in_flight;
  struct sort_key key = { is_passed_over (endpoint, now), load + 1.0 };

  if (is_remote (endpoint, criteria))
    key.work += OTHER_HALL_WORK;
  if (criteria->pause_target_ms)
    key.work *= ash_direct_pace (endpoint, now) *
                (pause_is_known (endpoint, now) ? endpoint->pause_ms
                                                : PAUSE_FRACTION * criteria->pause_target_ms);
  return key;
}

/* Chooses among the matching endpoints. Of the endpoints of other halls, only the part assigned to
 * this router is considered. */
static enum ash_direct_choice
search (struct ash_direct_set *set,
        struct ash_time now,
        const struct ash_direct_criteria *criteria,
        struct ash_direct_endpoint **chosen)
{
  struct sort_key best = { true, 0 };
  uint32_t equals = 0;
  enum ash_direct_choice fallback = ASH_DIRECT_NONE;

  *chosen = NULL;
  for (struct ash_direct_endpoint *endpoint = set->endpoints; endpoint;
       endpoint = endpoint->hh.next)
    {
      struct sort_key key;
      int order;

      if (!is_eligible (endpoint, criteria) ||
          (is_remote (endpoint, criteria) && !is_in_own_part (endpoint, criteria)))
        continue;
      if (fallback == ASH_DIRECT_NONE)
        fallback = ASH_DIRECT_ALL_FULL;
      if (!has_room (endpoint, criteria, now) ||
          ash_outlier_is_out (&endpoint->outlier, endpoint->in_flight, now))
        continue;
      fallback = ASH_DIRECT_THROTTLED;
      if (throttle_ms (endpoint, now))
        continue;
      key = sort_key_of (endpoint, criteria, now);
      order = *chosen ? compare_sort_keys (key, best) : -1;
      equals = order < 0 ? 1 : equals + (order == 0);
      if (order < 0 || (order == 0 && ash_random_below (&set->random, equals) == 0))
        {
          best = key;
          *chosen = endpoint;
        }
    }
  return *chosen ? ASH_DIRECT_CHOSEN : fallback;
}

enum ash_direct_choice
ash_direct_choose (struct ash_direct_set *set,
                   struct ash_time now,
                   const struct ash_direct_criteria *criteria,
                   struct ash_direct_endpoint **chosen)
{
  enum ash_direct_choice choice = search (set, now, criteria, chosen);
  struct ash_direct_criteria unrestricted = *criteria;

  if (choice == ASH_DIRECT_CHOSEN || choice == ASH_DIRECT_ALL_FULL || criteria->remote_parts <= 1)
    return choice;
  unrestricted.remote_parts = 1;
  return search (set, now, &unrestricted, chosen);
}

int64_t
ash_direct_wait_ms (const struct ash_direct_set *set,
                    struct ash_time now,
                    const struct ash_direct_criteria *criteria)
{
  int64_t least_ms = -1;

  for (const struct ash_direct_endpoint *endpoint = set->endpoints; endpoint;
       endpoint = endpoint->hh.next)
    if (is_eligible (endpoint, criteria) && has_room (endpoint, criteria, now))
      {
        int64_t ms = throttle_ms (endpoint, now);

        if (ms >= 0 && (least_ms < 0 || ms < least_ms))
          least_ms = ms;
      }
  return least_ms;
}
