/**
 * @file
 * Unit tests of the prompt gate: its decisions, and a simulation of many routers before a group
 * whose passes are nearly as long as the target for pauses. The simulation shows how long callers
 * wait when the demand for experts shifts and when many streams resume at once.
 */
#include "controllers/prompt_gate.h"
#include "test/unit.h"

#include <string.h>

#define PAUSE_TARGET_MS 120
#define ANSWER_TARGET_MS 400

static const struct ash_prompt_terms usual_terms = {
  .per_pass = 2,
  .maps_adapt_in_time = true,
  .pause_target_ms = PAUSE_TARGET_MS,
  .answer_target_ms = ANSWER_TARGET_MS,
};

static struct ash_time
at (int64_t ms)
{
  return (struct ash_time){ 1000000 + ms };
}

/* @return how long from @p ms a prompt that arrived at @p arrived_at_ms must wait before the gate
 * is checked again; 0: it may be sent. */
static int64_t
wait_ms (struct ash_prompt_gate *gate,
         const struct ash_prompt_terms *terms,
         int64_t arrived_at_ms,
         int64_t ms)
{
  return ash_time_diff (at (ms),
                        ash_prompt_gate_send_time (gate, terms, at (arrived_at_ms), at (ms)));
}

static void
add_pause (struct ash_prompt_gate *gate, int64_t ms, int64_t pause_ms)
{
  ash_prompt_gate_add_pause (gate, at (ms), pause_ms, PAUSE_TARGET_MS);
}

/* ---- decisions of the prompt gate ---- */

static void
test_sudden_long_pass (void)
{
  struct ash_prompt_gate gate = { 0 };
  struct ash_prompt_terms slow = usual_terms;

  slow.maps_adapt_in_time = false;
  add_pause (&gate, 0, 55);
  add_pause (&gate, 55, 56);
  CU_ASSERT_EQUAL (wait_ms (&gate, &usual_terms, 60, 60), 0);
  add_pause (&gate, 150, 95);
  CU_ASSERT_EQUAL (wait_ms (&gate, &usual_terms, 150, 150), 160);
  /* A prompt that has waited for 160 ms is sent; so is any prompt when the maps take too long to
   * adapt. */
  CU_ASSERT_EQUAL (wait_ms (&gate, &usual_terms, 0, 160), 0);
  CU_ASSERT_EQUAL (wait_ms (&gate, &slow, 150, 150), 0);
  CU_ASSERT (ash_prompt_gate_add_pause (&gate, at (250), 58, PAUSE_TARGET_MS));
  CU_ASSERT_FALSE (gate.closed);
  CU_ASSERT_EQUAL (wait_ms (&gate, &usual_terms, 250, 250), 0);
}

/* Passes that remain long are accepted as normal, so prompts don't wait. Neither do they if passes
 * take twice as long as before but are still short. */
static void
test_steady_passes (void)
{
  struct ash_prompt_gate gate = { 0 };

  add_pause (&gate, 0, 55);
  for (int64_t ms = 100; ms < 700; ms += 100)
    add_pause (&gate, ms, 100);
  CU_ASSERT_EQUAL (wait_ms (&gate, &usual_terms, 700, 700), 0);
  add_pause (&gate, 800, 102);
  CU_ASSERT_EQUAL (wait_ms (&gate, &usual_terms, 800, 800), 0);
  gate = (struct ash_prompt_gate){ 0 };
  add_pause (&gate, 0, 30);
  add_pause (&gate, 60, 60);
  CU_ASSERT_EQUAL (wait_ms (&gate, &usual_terms, 60, 60), 0);
  /* A pause during which the group was stalled does not show how long its passes take. */
  add_pause (&gate, 2000, 1900);
  CU_ASSERT_EQUAL (wait_ms (&gate, &usual_terms, 2000, 2000), 0);
}

static void
test_paced (void)
{
  struct ash_prompt_gate gate = { 0 };
  struct ash_prompt_terms resumed = usual_terms;

  resumed.resumed = true;
  add_pause (&gate, 0, 50);
  for (int i = 0; i < 2; i++)
    {
      CU_ASSERT_EQUAL (wait_ms (&gate, &usual_terms, 100, 100), 0);
      ash_prompt_gate_record_sent (&gate);
    }
  /* Two prompts per pass of 50 ms: the third may be sent 25 ms later. */
  CU_ASSERT_EQUAL (wait_ms (&gate, &usual_terms, 100, 100), 26);
  CU_ASSERT_EQUAL (wait_ms (&gate, &usual_terms, 100, 126), 0);
  /* A resumed stream must leave room for one prompt of a new stream, so its own prompt waits
   * longer. */
  CU_ASSERT (wait_ms (&gate, &resumed, 126, 126) > 0);
  CU_ASSERT_EQUAL (wait_ms (&gate, &resumed, 126, 152), 0);
  /* After 600 ms a resumed stream is sent regardless of the pace. */
  ash_prompt_gate_record_sent (&gate);
  ash_prompt_gate_record_sent (&gate);
  CU_ASSERT (wait_ms (&gate, &resumed, -400, 152) > 0);
  CU_ASSERT_EQUAL (wait_ms (&gate, &resumed, -448, 152), 0);
}

static void
test_engine_facts (void)
{
  struct ash_engine_facts engine = { .read_tokens_s = 80000, .usual_prompt_tokens = 800 };

  /* A prompt takes 10 ms and a pass has 12 ms for prompts: 1.2 prompts per rank. */
  CU_ASSERT_DOUBLE_EQUAL (ash_prompt_gate_per_pass (&engine, 120, 60, 30), 2.4, 1e-9);
  CU_ASSERT_DOUBLE_EQUAL (ash_prompt_gate_per_pass (&(struct ash_engine_facts){ 0 }, 120, 60, 30),
                          0, 0);
  CU_ASSERT_FALSE (ash_prompt_gate_maps_adapt_in_time (&engine, ANSWER_TARGET_MS));
  engine.expert_mb = 320;
  engine.link_mbps = 180000;
  CU_ASSERT (ash_prompt_gate_maps_adapt_in_time (&engine, ANSWER_TARGET_MS));
  engine.link_mbps = 18000;
  CU_ASSERT_FALSE (ash_prompt_gate_maps_adapt_in_time (&engine, ANSWER_TARGET_MS));
}

/* ---- simulation ---- */

#define ROUTERS 40
#define PROMPTS_MAX 2000
#define STREAMS 300

/* Time of a pass with evenly loaded ranks, the time that each unit of skew adds, the time that a
 * prompt adds at a skew of 1, and the factor by which copying experts lengthens passes. */
#define PASS_EVEN_MS 54.0
#define PASS_SKEW_MS 11.0
#define PROMPT_MS 0.16
#define COPYING_FACTOR 1.15

/* Time from sending a prompt until a pass can read it. */
#define READ_DELAY_MS 70

/* Demand shifts at SHIFT_MS; ranks copy experts from COPY_START_MS until the map has changed at
 * MAP_CHANGED_MS. */
#define SHIFT_MS 2000
#define COPY_START_MS 2240
#define MAP_CHANGED_MS 2340
#define SHIFTED_SKEW 3.5
#define USUAL_SKEW 1.2

struct prompt
{
  int64_t arrived_ms;
  int64_t sent_ms; /* -1: not sent yet */
  bool resumed;
  bool read;
};

struct simulation
{
  bool gated;
  struct ash_prompt_gate gates[ROUTERS];
  struct prompt prompts[PROMPTS_MAX];
  int count;
  double longest_pass_ms;
  int late_count; /* new streams whose first event came later than ANSWER_TARGET_MS */
};

static void
add_prompt (struct simulation *simulation, int64_t ms, bool resumed)
{
  if (simulation->count < PROMPTS_MAX)
    simulation->prompts[simulation->count++] = (struct prompt){ ms, -1, resumed, false };
}

static void
send_due (struct simulation *simulation, int64_t ms)
{
  for (int i = 0; i < simulation->count; i++)
    {
      struct prompt *prompt = &simulation->prompts[i];
      struct ash_prompt_gate *gate = &simulation->gates[i % ROUTERS];
      struct ash_prompt_terms terms = usual_terms;

      terms.resumed = prompt->resumed;
      if (prompt->sent_ms >= 0 ||
          (simulation->gated && wait_ms (gate, &terms, prompt->arrived_ms, ms) > 0))
        continue;
      ash_prompt_gate_record_sent (gate);
      prompt->sent_ms = ms;
    }
}

/* @return the duration in ms of the pass that begins now. */
static double
begin_pass (struct simulation *simulation, int64_t ms, bool shifts)
{
  bool shifted = shifts && ms >= SHIFT_MS && ms < MAP_CHANGED_MS;
  double skew = shifted ? SHIFTED_SKEW : USUAL_SKEW;
  double pass_ms = PASS_EVEN_MS + PASS_SKEW_MS * skew;

  for (int i = 0; i < simulation->count; i++)
    {
      struct prompt *prompt = &simulation->prompts[i];

      if (prompt->read || prompt->sent_ms < 0 || ms - prompt->sent_ms < READ_DELAY_MS)
        continue;
      prompt->read = true;
      pass_ms += PROMPT_MS * skew;
    }
  return shifted && ms >= COPY_START_MS ? pass_ms * COPYING_FACTOR : pass_ms;
}

static void
end_pass (struct simulation *simulation, int64_t ms, double pass_ms)
{
  for (int i = 0; i < simulation->count; i++)
    {
      struct prompt *prompt = &simulation->prompts[i];

      if (prompt->read && prompt->arrived_ms >= 0 && !prompt->resumed)
        {
          simulation->late_count += ms - prompt->arrived_ms > ANSWER_TARGET_MS;
          prompt->arrived_ms = -1;
        }
    }
  if (pass_ms > simulation->longest_pass_ms)
    simulation->longest_pass_ms = pass_ms;
  for (int r = 0; r < ROUTERS; r++)
    add_pause (&simulation->gates[r], ms, (int64_t) (pass_ms + 0.5));
}

/* Simulates four seconds with a new prompt every 4 ms. */
static void
simulate_load (struct simulation *simulation, bool gated, bool shifts, int resumed_count)
{
  int64_t pass_ends_ms = 0;
  double pass_ms = 0;

  memset (simulation, 0, sizeof *simulation);
  simulation->gated = gated;
  for (int64_t ms = 0; ms < 4000; ms++)
    {
      if (ms % 4 == 0)
        add_prompt (simulation, ms, false);
      for (int i = 0; ms == SHIFT_MS && i < resumed_count; i++)
        add_prompt (simulation, ms, true);
      if (ms >= pass_ends_ms)
        {
          if (pass_ms > 0)
            end_pass (simulation, ms, pass_ms);
          pass_ms = begin_pass (simulation, ms, shifts);
          pass_ends_ms = ms + (int64_t) (pass_ms + 0.5);
        }
      send_due (simulation, ms);
    }
}

/* When demand shifts, the gate must keep the longest pass, for which running streams pause, within
 * PAUSE_TARGET_MS, without delaying the first event of new streams beyond ANSWER_TARGET_MS. */
static void
test_shift_simulated (void)
{
  static struct simulation ungated;
  static struct simulation gated;

  simulate_load (&ungated, false, true, 0);
  simulate_load (&gated, true, true, 0);
  CU_ASSERT (ungated.longest_pass_ms > PAUSE_TARGET_MS);
  CU_ASSERT (gated.longest_pass_ms < PAUSE_TARGET_MS);
  CU_ASSERT_EQUAL (gated.late_count, 0);
}

/* When many streams resume at once, the gate must shorten the longest pass, without delaying the
 * first event of new streams beyond ANSWER_TARGET_MS. */
static void
test_return_simulated (void)
{
  static struct simulation ungated;
  static struct simulation gated;

  simulate_load (&ungated, false, false, STREAMS);
  simulate_load (&gated, true, false, STREAMS);
  CU_ASSERT (ungated.longest_pass_ms > PAUSE_TARGET_MS - 10);
  CU_ASSERT (gated.longest_pass_ms < ungated.longest_pass_ms - 20);
  CU_ASSERT_EQUAL (gated.late_count, 0);
}

void
add_prompt_tests (CU_pSuite suite)
{
  CU_add_test (suite, "prompts: kept back when passes jump", test_sudden_long_pass);
  CU_add_test (suite, "prompts: go where passes stay long", test_steady_passes);
  CU_add_test (suite, "prompts: paced", test_paced);
  CU_add_test (suite, "prompts: from the engine's figures", test_engine_facts);
  CU_add_test (suite, "prompts: a shift played", test_shift_simulated);
  CU_add_test (suite, "prompts: many return, played", test_return_simulated);
}
