/**
 * @file
 * Unit tests of the terms that endpoints announce in answers: rates, which limit all routers
 * together, back-off times, and leaving.
 */
#include "common/id.h"
#include "controllers/rate_limit.h"
#include "filters/forward.h"
#include "test/unit.h"

#include <stdlib.h>
#include <string.h>

#define ROUTERS_MAX 300
#define STEP_MS 10
#define SIMULATION_MS 30000
#define STEPS (SIMULATION_MS / STEP_MS)

/* Most requests that an endpoint may get in any window of WINDOW_MS: 1.5 times its rate, plus
 * five. */
#define WINDOW_MS 4000
#define WINDOW_BUCKETS (WINDOW_MS / STEP_MS)
#define ALLOWED_FACTOR 1.5
#define ALLOWED_SLACK 5

/* The fraction of a rate that must be used when demand exceeds the rate. */
#define MIN_UTILIZATION 0.8

static struct ash_time
at (int64_t ms)
{
  return (struct ash_time){ ms };
}

/* Routers that send to one endpoint. A disconnected router sends nothing, and the others share the
 * rate without it. */
struct fleet
{
  uint32_t count;
  struct ash_rate_limit limits[ROUTERS_MAX];
  bool disconnected[ROUTERS_MAX];
  uint32_t sent[STEPS];
};

static uint64_t
hash_of (uint32_t router)
{
  return ash_hash_bytes (&router, sizeof router);
}

/* Assigns the share of router @p own. @param unseen_router a router that @p own is not connected
 * to; UINT32_MAX: none. */
static void
assign_share (struct fleet *fleet, uint32_t own, struct ash_time now, uint32_t unseen_router)
{
  struct ash_rate_split split;
  uint32_t count = 0;
  uint32_t before = 0;

  for (uint32_t i = 0; i < fleet->count; i++)
    if (!fleet->disconnected[i] && (i != unseen_router || i == own))
      {
        count++;
        before += ash_rate_limit_order (1, hash_of (i)) < ash_rate_limit_order (1, hash_of (own));
      }
  split = ash_rate_limit_split (&fleet->limits[own]);
  ash_rate_limit_assign (&fleet->limits[own], now, &split, 1, count, before);
}

static void
assign_shares (struct fleet *fleet, struct ash_time now, bool same_view)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    assign_share (fleet, i, now, same_view ? UINT32_MAX : (i + 1) % fleet->count);
}

/* Every connected router that may send a request sends one. */
static void
step (struct fleet *fleet, uint32_t n, uint32_t first)
{
  struct ash_time now = at ((int64_t) (n + 1) * STEP_MS);

  for (uint32_t i = 0; i < fleet->count; i++)
    {
      uint32_t router = (first + i) % fleet->count;

      if (fleet->disconnected[router] || ash_rate_limit_wait_ms (&fleet->limits[router], now))
        continue;
      ash_rate_limit_spend (&fleet->limits[router], now);
      fleet->sent[n]++;
    }
}

static uint32_t
sum_of (const struct fleet *fleet, uint32_t from, uint32_t to)
{
  uint32_t sum = 0;

  for (uint32_t n = from; n < to; n++)
    sum += fleet->sent[n];
  return sum;
}

static uint32_t
worst_window (const struct fleet *fleet)
{
  uint32_t sum = sum_of (fleet, 0, WINDOW_BUCKETS);
  uint32_t worst = sum;

  for (uint32_t n = WINDOW_BUCKETS; n < STEPS; n++)
    {
      sum += fleet->sent[n] - fleet->sent[n - WINDOW_BUCKETS];
      worst = sum > worst ? sum : worst;
    }
  return worst;
}

/* Simulates routers that each have more demand than the rate of the endpoint. A third of them is
 * disconnected for the second third of the time. */
static void
simulate_rate (uint32_t routers, uint32_t milli_per_s, bool same_view, uint64_t seed)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  double per_s = milli_per_s / 1000.0;
  struct ash_random random;
  double allowed = ALLOWED_FACTOR * per_s * WINDOW_MS / 1000 + ALLOWED_SLACK;

  CU_ASSERT_PTR_NOT_NULL_FATAL (fleet);
  ash_random_init (&random, seed);
  fleet->count = routers;
  for (uint32_t i = 0; i < routers; i++)
    ash_rate_limit_update (&fleet->limits[i], milli_per_s, at (1), at (0));
  assign_shares (fleet, at (1), same_view);
  for (uint32_t n = 0; n < STEPS; n++)
    {
      for (uint32_t i = 0; i < routers / 3 && n % (STEPS / 3) == 0; i++)
        fleet->disconnected[i] = n == STEPS / 3;
      if (n % (STEPS / 3) == 0)
        assign_shares (fleet, at ((int64_t) (n + 1) * STEP_MS), same_view);
      step (fleet, n, ash_random_below (&random, routers));
    }
  CU_ASSERT (worst_window (fleet) <= allowed);
  CU_ASSERT (sum_of (fleet, 0, STEPS) >= MIN_UTILIZATION * per_s * SIMULATION_MS / 1000);
  free (fleet);
}

static void
test_rate_of_fleets (void)
{
  static const uint32_t sizes[] = { 1, 2, 7, 38, ROUTERS_MAX };
  static const uint32_t rates_milli[] = { 1, 100, 250, 1000, 1400, 1600, 4000, 20000, 100000 };

  for (uint32_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    for (uint32_t k = 0; k < sizeof rates_milli / sizeof rates_milli[0]; k++)
      {
        simulate_rate (sizes[i], rates_milli[k], true, 1 + k);
        /* Each router is not connected to one of the others. A fleet of only two routers is not
         * tested: without a connection, each would use the whole rate. */
        if (sizes[i] > 2)
          simulate_rate (sizes[i], rates_milli[k], false, 1 + k);
      }
}

static void
test_rate_updates (void)
{
  struct ash_rate_limit limit = { 0 };

  /* An endpoint that announces no rate (0) is not limited. */
  CU_ASSERT_FALSE (ash_rate_limit_update (&limit, 0, at (10), at (5)));
  CU_ASSERT_EQUAL (ash_rate_limit_wait_ms (&limit, at (10)), 0);
  CU_ASSERT (ash_rate_limit_update (&limit, 2000, at (20), at (15)));
  /* Nothing is sent before the rate has been shared out. */
  CU_ASSERT (ash_rate_limit_wait_ms (&limit, at (20000)) < 0);
  CU_ASSERT_FALSE (ash_rate_limit_update (&limit, 2100, at (30), at (25)));
  CU_ASSERT_EQUAL (limit.milli_per_s, 2100);
  CU_ASSERT (ash_rate_limit_update (&limit, 3000, at (40), at (35)));
  /* An older rate, relayed by a peer, is ignored. */
  CU_ASSERT_FALSE (ash_rate_limit_update (&limit, 9000, at (35), at (35)));
  CU_ASSERT_EQUAL (limit.milli_per_s, 3000);
  /* The answer to a request that was sent before the rate was announced does not revoke it. */
  CU_ASSERT_FALSE (ash_rate_limit_update (&limit, 0, at (60), at (39)));
  CU_ASSERT_EQUAL (limit.milli_per_s, 3000);
  CU_ASSERT (ash_rate_limit_update (&limit, 0, at (70), at (50)));
  CU_ASSERT_EQUAL (ash_rate_limit_wait_ms (&limit, at (70)), 0);
  /* The old rate is ignored when a peer that has not learned of the revocation still sends it. */
  CU_ASSERT_FALSE (ash_rate_limit_update (&limit, 3000, at (60), at (60)));
  CU_ASSERT_EQUAL (limit.milli_per_s, 0);
}

/* ---- forwarding under these terms ---- */

#define ENDPOINTS 16

static struct ash_direct_endpoint *
add_endpoint (struct ash_direct_set *set, const char *id)
{
  struct ash_direct_facts facts = { .service = "s", .hall = "h", .slots = 8 };

  snprintf (facts.id, sizeof facts.id, "%s", id);
  snprintf (facts.address, sizeof facts.address, "1.2.3.4:%c", id[0]);
  ash_direct_update (set, &facts);
  return ash_direct_find (set, id);
}

static struct ash_forward
new_forward (int64_t now_ms)
{
  return (struct ash_forward){
    .repeat = ASH_REPEAT_SAFE,
    .servers_max = 2,
    .answer_target_ms = 300,
    .service = "s",
    .cap = 8,
    .arrived = at (now_ms),
    .deadline = at (now_ms + 8000),
  };
}

static struct ash_forward_decision
forward_request (struct ash_direct_set *set, struct ash_resend_window *window, int64_t now_ms)
{
  struct ash_forward forward = new_forward (now_ms);
  struct ash_forward_context context = {
    .endpoints = set, .window = window, .bound = { 10000, 0.2, 100 }, .entries = 1, .hall = "h"
  };
  struct ash_forward_decision decision = ash_forward_next (&forward, &context, at (now_ms));

  if (decision.action == ASH_FORWARD_SEND)
    ash_direct_note_sent (decision.endpoint, at (now_ms));
  return decision;
}

/* When all endpoints are at their rates, requests are rejected at once, with the time at which an
 * endpoint accepts requests again. */
static void
test_all_throttled (void)
{
  struct ash_resend_window window = { 0 };
  struct ash_direct_set set;
  struct ash_forward_decision decision;
  uint32_t sent = 0;

  ash_direct_init (&set, 1);
  for (int i = 0; i < 2; i++)
    {
      struct ash_direct_endpoint *endpoint = add_endpoint (&set, i ? "b" : "a");
      struct ash_rate_split split;

      ash_rate_limit_update (&endpoint->limit, 500, at (1), at (0));
      split = ash_rate_limit_split (&endpoint->limit);
      ash_rate_limit_assign (&endpoint->limit, at (1), &split, 1, 1, 0);
    }
  for (int64_t now_ms = 1; now_ms <= 2000; now_ms++)
    sent += forward_request (&set, &window, now_ms).action == ASH_FORWARD_SEND;
  CU_ASSERT_EQUAL (sent, 0);
  sent = forward_request (&set, &window, 2010).action == ASH_FORWARD_SEND;
  sent += forward_request (&set, &window, 2010).action == ASH_FORWARD_SEND;
  CU_ASSERT_EQUAL (sent, 2);
  decision = forward_request (&set, &window, 2010);
  CU_ASSERT_FATAL (decision.action == ASH_FORWARD_ANSWER);
  CU_ASSERT (decision.answer.status == 503 && decision.answer.reason == ASH_FORWARD_THROTTLED);
  CU_ASSERT (decision.answer.retry_after_ms >= 1990 && decision.answer.retry_after_ms <= 8000 / 3);
  /* A new incarnation has announced no rate. */
  CU_ASSERT (ash_direct_update (
      &set, &(struct ash_direct_facts){
                .id = "a", .service = "s", .hall = "h", .address = "1.2.3.4:9", .slots = 8 }));
  CU_ASSERT (forward_request (&set, &window, 2011).action == ASH_FORWARD_SEND);
  ash_direct_finish (&set);
}

/* An endpoint that rejects requests has the least load, so it would be chosen first; no request
 * must be sent to it during its back-off time. */
static void
test_back_off (void)
{
  struct ash_resend_window window = { 0 };
  struct ash_direct_set set;
  struct ash_forward_decision decision;

  ash_direct_init (&set, 1);
  ash_direct_back_off (add_endpoint (&set, "a"), at (0), 3000);
  /* A shorter back-off time does not end a longer one. */
  ash_direct_back_off (ash_direct_find (&set, "a"), at (10), 100);
  add_endpoint (&set, "b");
  for (int i = 0; i < 8; i++)
    {
      decision = forward_request (&set, &window, 2990);
      CU_ASSERT (decision.action == ASH_FORWARD_SEND && decision.endpoint->facts.id[0] == 'b');
    }
  /* The other endpoint is full, so the request is rejected at once. */
  decision = forward_request (&set, &window, 2990);
  CU_ASSERT (decision.action == ASH_FORWARD_ANSWER && decision.answer.status == 503);
  decision = forward_request (&set, &window, 3000);
  CU_ASSERT (decision.action == ASH_FORWARD_SEND && decision.endpoint->facts.id[0] == 'a');
  ash_direct_finish (&set);
}

/* A caller that retries after the announced time finds an endpoint that accepts requests again. */
static void
test_all_back_off (void)
{
  struct ash_resend_window window = { 0 };
  struct ash_direct_set set;
  struct ash_forward_decision decision;

  ash_direct_init (&set, 1);
  ash_direct_back_off (add_endpoint (&set, "a"), at (0), 2500);
  ash_direct_back_off (add_endpoint (&set, "b"), at (0), 9000);
  for (int i = 0; i < 50; i++)
    {
      decision = forward_request (&set, &window, 100);
      CU_ASSERT (decision.action == ASH_FORWARD_ANSWER && decision.answer.status == 503);
      CU_ASSERT (decision.answer.retry_after_ms >= 2400 &&
                 decision.answer.retry_after_ms <= 8000 / 3);
    }
  ash_direct_finish (&set);
}

/* A router of a large fleet uses one part of the endpoints of other halls, and further ones while
 * those of its part back off. */
static void
test_partition_backs_off (void)
{
  struct ash_direct_criteria criteria = {
    .service = "s", .hall = "x", .router_id = 1, .remote_parts = 4, .cap = 8
  };
  struct ash_direct_endpoint *chosen;
  struct ash_direct_set set;
  uint32_t backed_off = 0;

  ash_direct_init (&set, 1);
  for (int i = 0; i < ENDPOINTS; i++)
    add_endpoint (&set, (const char[]){ (char) ('a' + i), '\0' });
  for (int i = 0; i < ENDPOINTS; i++)
    {
      CU_ASSERT_EQUAL_FATAL (ash_direct_choose (&set, at (0), &criteria, &chosen),
                             ASH_DIRECT_CHOSEN);
      CU_ASSERT_EQUAL (ash_direct_backoff_ms (chosen, at (0)), 0);
      ash_direct_back_off (chosen, at (0), 1000);
      backed_off++;
    }
  CU_ASSERT_EQUAL (backed_off, ENDPOINTS);
  CU_ASSERT_EQUAL (ash_direct_choose (&set, at (0), &criteria, &chosen), ASH_DIRECT_THROTTLED);
  CU_ASSERT_EQUAL (ash_direct_wait_ms (&set, at (0), &criteria), 1000);
  ash_direct_finish (&set);
}

#define REJECTING_ENDPOINTS 5
#define RUN_MS 1000

/* Endpoints that reject nine of ten requests without a back-off time have little load, but must not
 * get more than their share of requests. */
static void
test_rejecting_endpoints (void)
{
  struct ash_resend_window window = { 0 };
  struct ash_direct_endpoint *runs[RUN_MS / STEP_MS] = { NULL };
  struct ash_direct_set set;
  struct ash_random random;
  uint32_t at_rejecting = 0;

  ash_direct_init (&set, 1);
  ash_random_init (&random, 1);
  for (int i = 0; i < ENDPOINTS; i++)
    add_endpoint (&set, (const char[]){ (char) ('a' + i), '\0' });
  for (uint32_t n = 0; n < STEPS; n++)
    {
      struct ash_time now = at ((int64_t) (n + 1) * STEP_MS);
      struct ash_direct_endpoint **run = &runs[n % (RUN_MS / STEP_MS)];
      struct ash_forward_decision decision;
      bool is_rejecting;

      if (*run)
        {
          (*run)->in_flight--;
          ash_direct_note_result (*run, now, ASH_DIRECT_ANSWERED);
          *run = NULL;
        }
      decision = forward_request (&set, &window, now.ms);
      CU_ASSERT_FATAL (decision.action == ASH_FORWARD_SEND);
      is_rejecting = decision.endpoint->facts.id[0] < 'a' + REJECTING_ENDPOINTS;
      at_rejecting += is_rejecting;
      if (is_rejecting && ash_random_below (&random, 10))
        {
          decision.endpoint->in_flight--;
          ash_direct_note_result (decision.endpoint, now, ASH_DIRECT_FULL);
        }
      else
        *run = decision.endpoint;
    }
  CU_ASSERT (at_rejecting <= STEPS * REJECTING_ENDPOINTS / ENDPOINTS);
  /* Rejecting endpoints still get a request from time to time, as they may have recovered. */
  CU_ASSERT (at_rejecting >= REJECTING_ENDPOINTS * SIMULATION_MS / 10000);
  ash_direct_finish (&set);
}

/* An endpoint that announced that it is leaving gets no more requests, even if the list shows it as
 * ready. */
static void
test_announced_leaving (void)
{
  struct ash_resend_window window = { 0 };
  struct ash_direct_facts facts;
  struct ash_direct_endpoint *endpoint;
  struct ash_direct_set set;

  ash_direct_init (&set, 1);
  endpoint = add_endpoint (&set, "a");
  endpoint->announced_leaving = true;
  facts = endpoint->facts;
  ash_direct_update (&set, &facts);
  CU_ASSERT (forward_request (&set, &window, 1).action == ASH_FORWARD_ANSWER);
  CU_ASSERT_EQUAL (ash_direct_count (&set, "s"), 0);
  /* The endpoint goes missing from an untrusted list: it is removed at once. */
  CU_ASSERT (ash_direct_remove (&set, "a", false, at (5000)));
  CU_ASSERT_EQUAL (endpoint->presence, ASH_DIRECT_REMOVED);
  /* A later incarnation of the endpoint gets requests again. */
  facts.born_ms = 7;
  strcpy (facts.address, "1.2.3.4:9");
  ash_direct_update (&set, &facts);
  CU_ASSERT (forward_request (&set, &window, 2).action == ASH_FORWARD_SEND);
  ash_direct_finish (&set);
}

void
add_terms_tests (CU_pSuite suite)
{
  CU_add_test (suite, "rates: a fleet of any size keeps to one, and uses it", test_rate_of_fleets);
  CU_add_test (suite, "rates: the newest word holds", test_rate_updates);
  CU_add_test (suite, "rates: all endpoints at theirs, refused at once", test_all_throttled);
  CU_add_test (suite, "rest: an endpoint that asks for it gets it", test_back_off);
  CU_add_test (suite, "rest: all endpoints, refused until the first one is back",
               test_all_back_off);
  CU_add_test (suite, "rest: a router's part of far endpoints", test_partition_backs_off);
  CU_add_test (suite, "rest: endpoints that turn requests away", test_rejecting_endpoints);
  CU_add_test (suite, "leaving: by an endpoint's own answer", test_announced_leaving);
}
