#include "controllers/prompt_gate.h"

#include "controllers/pass_model.h"

/* The gate closes when passes take this many times the usual duration, as they do after a shift
 * of the demand for experts. Prompts and copies of experts lengthen passes by less. */
#define CLOSE_RATIO 1.25

/* The gate opens when passes take less than this many times the usual duration. */
#define OPEN_RATIO 1.15

/* The gate does not close for passes shorter than this fraction of the target pause: they leave
 * enough time for prompts. */
#define LONG_PASS_FRACTION 0.6

/* Longer pauses are ignored: they are not the duration of a pass, the stream stalled for another
 * reason. */
#define PAUSE_MAX_MS 600

/* Maximum time that the gate stays closed. The maps are adapted by then; if passes are still long,
 * their duration becomes the usual one. */
#define CLOSED_MAX_MS 450

/* Weight of the newest pause in the smoothed usual duration of a pass. With a few streams, the
 * duration is smoothed over some seconds. */
#define NEW_PAUSE_WEIGHT 0.03

/* Fraction of the target time to the first event for which a prompt may be held. The rest is enough
 * for the first event once passes have their usual duration. */
#define HOLD_FRACTION 0.4

/* HOLD_FRACTION for the prompt of a stream that broke before. When many routers or links fail, all
 * their streams return at once; without the longer hold, new requests would miss their targets as
 * well. */
#define HOLD_RESUMED_FRACTION 1.5

/* Maximum time to copy one expert, as a fraction of the time for which a prompt may be held. A
 * change of the map copies several experts, after the token counts of the experts were sampled. */
#define COPY_FRACTION 0.25

/* Fraction of the target pause that reading prompts may take in each pass. */
#define READING_FRACTION 0.1

/* Minimum burst of prompts: a few that arrive together by chance are sent at once. */
#define BURST_MIN 2.0

#define MS_PER_S 1000.0

double
ash_prompt_gate_per_pass (const struct ash_engine_facts *engine,
                          uint32_t pause_target_ms,
                          uint32_t ranks,
                          uint32_t routers)
{
  double prompt_ms = engine->read_tokens_s > 0
                         ? engine->usual_prompt_tokens * MS_PER_S / engine->read_tokens_s
                         : 0;

  if (prompt_ms <= 0 || !routers)
    return 0;
  return READING_FRACTION * pause_target_ms / prompt_ms * ranks / routers;
}

bool
ash_prompt_gate_maps_adapt_in_time (const struct ash_engine_facts *engine,
                                    uint32_t answer_target_ms)
{
  double copy_ms = ash_pass_model_copy_ms (engine);

  return copy_ms > 0 && copy_ms <= COPY_FRACTION * HOLD_FRACTION * answer_target_ms;
}

bool
ash_prompt_gate_add_pause (struct ash_prompt_gate *gate,
                           struct ash_time now,
                           int64_t pause_ms,
                           uint32_t pause_target_ms)
{
  double pause = (double) pause_ms;

  if (pause_ms > PAUSE_MAX_MS || !pause_target_ms)
    return false;
  if (gate->usual_ms <= 0)
    gate->usual_ms = pause;
  if (gate->closed)
    {
      if (ash_time_diff (gate->closed_at, now) > CLOSED_MAX_MS)
        gate->usual_ms = pause;
      else if (pause > OPEN_RATIO * gate->usual_ms)
        return false;
      gate->closed = false;
      return true;
    }
  if (pause > CLOSE_RATIO * gate->usual_ms && pause > LONG_PASS_FRACTION * pause_target_ms)
    {
      gate->closed = true;
      gate->closed_at = now;
      return true;
    }
  gate->usual_ms += NEW_PAUSE_WEIGHT * (pause - gate->usual_ms);
  return false;
}

static bool
is_closed (const struct ash_prompt_gate *gate, struct ash_time now)
{
  return gate->closed && ash_time_diff (gate->closed_at, now) <= CLOSED_MAX_MS;
}

/* Refills the number of allowed prompts for the time since the last update. */
static void
refill (struct ash_prompt_gate *gate, double per_pass, struct ash_time now)
{
  double burst = per_pass > BURST_MIN ? per_pass : BURST_MIN;

  gate->allowed += per_pass * (double) ash_time_diff (gate->allowed_at, now) / gate->usual_ms;
  gate->allowed_at = now;
  if (gate->allowed > burst)
    gate->allowed = burst;
}

struct ash_time
ash_prompt_gate_send_time (struct ash_prompt_gate *gate,
                           const struct ash_prompt_terms *terms,
                           struct ash_time arrived,
                           struct ash_time now)
{
  double hold_fraction = terms->resumed ? HOLD_RESUMED_FRACTION : HOLD_FRACTION;
  struct ash_time hold_until =
      ash_time_add (arrived, (int64_t) (hold_fraction * terms->answer_target_ms));
  /* A resumed stream waits until two prompts are allowed, so that one is left to new requests. */
  double needed = terms->resumed ? 2 : 1;
  struct ash_time until;

  if (!terms->pause_target_ms || !ash_time_before (now, hold_until))
    return now;
  if (terms->maps_adapt_in_time && is_closed (gate, now))
    return hold_until;
  if (terms->per_pass <= 0 || gate->usual_ms <= 0)
    return now;
  refill (gate, terms->per_pass, now);
  if (gate->allowed >= needed)
    return now;
  until = ash_time_add (
      now, 1 + (int64_t) ((needed - gate->allowed) * gate->usual_ms / terms->per_pass));
  return ash_time_before (until, hold_until) ? until : hold_until;
}

void
ash_prompt_gate_record_sent (struct ash_prompt_gate *gate)
{
  gate->allowed = gate->allowed > 1 ? gate->allowed - 1 : 0;
}
