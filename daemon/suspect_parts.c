#include "daemon/suspect_parts.h"

#include "daemon/router.h"

/* Upper limit of runs in the evidence for a newly linked peer, which gets it from all others. */
#define SEND_RUNS_MAX 16

/* ---- logs ---- */

/* @return the service's name, or "-" if this router has not served it. */
static const char *
service_name (const struct ash_router *router, uint64_t service)
{
  for (const struct ash_router_service *known = router->services; known; known = known->hh.next)
    if (ash_hash_text (known->name) == service)
      return known->name;
  return "-";
}

static void
log_cleared (const struct ash_router *router, struct ash_prompt_part part, const char *source)
{
  ash_log_event (&router->log, ASH_EV_PART_CLEARED, "service=%s part=%llx source=%s",
                 service_name (router, part.service), (unsigned long long) part.id, source);
}

static void
log_rejected (const struct ash_router *router, const char *peer, const char *why, size_t count)
{
  ash_log_event (&router->log, ASH_EV_PART_REPORT_REJECTED, "from=%s why=\"%s\" count=%zu", peer,
                 why, count);
}

/* ---- messages ---- */

void
ash_suspect_parts_describe (const struct ash_part_run *run, struct Ash__SuspectRun *message)
{
  message->service = run->parts.service;
  message->parts = (uint64_t *) run->parts.ids;
  message->n_parts = run->parts.count;
  message->passed_parts = run->passed_parts;
  message->begun = run->begun;
}

static struct Ash__PromptPart
message_of (struct ash_prompt_part part)
{
  struct Ash__PromptPart message = ASH__PROMPT_PART__INIT;

  message.service = part.service;
  message.id = part.id;
  return message;
}

static struct Ash__PromptPart
quarantine_message (const struct ash_quarantined_part *part, struct ash_time now)
{
  struct Ash__PromptPart message = message_of (part->part);
  int64_t left_ms = ash_time_diff (now, part->until);

  message.left_ms = left_ms > 0 ? (uint32_t) left_ms : 0;
  message.level = part->level;
  return message;
}

/* Sends parts to all linked peers. */
static void
send_parts (struct ash_suspect_parts *suspects, struct Ash__PromptPart messages[], size_t count)
{
  struct Ash__PromptPart *list[ASH_PROMPT_PARTS_MAX];
  struct Ash__SuspectRuns report = ASH__SUSPECT_RUNS__INIT;
  struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_SUSPECT_RUNS, &report);

  if (!count)
    return;
  for (size_t i = 0; i < count; i++)
    list[i] = &messages[i];
  report.parts = list;
  report.n_parts = count;
  ash_fleet_send_all (&suspects->router->fleet, &event);
}

/* @return how many of the newest runs that are evidence were described. */
static size_t
describe_runs (const struct ash_part_evidence *evidence,
               struct Ash__SuspectRun messages[SEND_RUNS_MAX],
               struct ash_time now)
{
  uint32_t kept = ash_part_evidence_kept (evidence);
  size_t count = 0;

  for (uint32_t i = 1; i <= kept && count < SEND_RUNS_MAX; i++)
    {
      const struct ash_part_run *run = &evidence->runs[(evidence->run_count - i) % ASH_PART_RUNS];
      struct Ash__SuspectRun *message = &messages[count];

      if (!run->proven)
        continue;
      ash__suspect_run__init (message);
      message->request_hi = run->request.hi;
      message->request_lo = run->request.lo;
      message->endpoint = run->endpoint;
      message->lasted_ms = (uint32_t) ash_time_diff (run->sent, run->ended);
      message->age_ms = (uint32_t) ash_time_diff (run->ended, now);
      ash_suspect_parts_describe (run, message);
      count++;
    }
  return count;
}

void
ash_suspect_parts_send (struct ash_suspect_parts *suspects, const char *box)
{
  struct ash_time now = ash_clock_now ();
  struct Ash__SuspectRun runs[SEND_RUNS_MAX];
  struct Ash__SuspectRun *run_list[SEND_RUNS_MAX];
  struct Ash__PromptPart parts[ASH_PART_QUARANTINED_MAX];
  struct Ash__PromptPart *part_list[ASH_PART_QUARANTINED_MAX];
  struct Ash__SuspectRuns report = ASH__SUSPECT_RUNS__INIT;
  struct Ash__Event event = ash_event_wrap ("", ASH__EVENT__KIND_SUSPECT_RUNS, &report);
  const struct ash_quarantined_part *part = suspects->quarantine.parts;

  report.n_part_runs = describe_runs (&suspects->quarantine.evidence, runs, now);
  for (size_t i = 0; i < report.n_part_runs; i++)
    run_list[i] = &runs[i];
  report.part_runs = run_list;
  for (; part; part = part->hh.next)
    {
      parts[report.n_parts] = quarantine_message (part, now);
      part_list[report.n_parts] = &parts[report.n_parts];
      report.n_parts++;
    }
  report.parts = part_list;
  if (report.n_part_runs || report.n_parts)
    ash_peers_send (&suspects->router->fleet.links, box, &event);
}

/* ---- decisions ---- */

/* Logs a part that has just been quarantined, and takes its requests back. */
static void
apply_quarantine (struct ash_suspect_parts *suspects,
                  const struct ash_quarantined_part *part,
                  const struct ash_part_verdict *verdict,
                  const char *source)
{
  struct ash_router *router = suspects->router;

  suspects->quarantined_total++;
  ash_log_event (&router->log, ASH_EV_PART_QUARANTINED,
                 "service=%s part=%llx exits=%u requests=%u bits=%.1f passed=%d for_ms=%lld "
                 "level=%u source=%s",
                 service_name (router, part->part.service), (unsigned long long) part->part.id,
                 verdict->exits, verdict->requests, verdict->bits, verdict->passed,
                 (long long) ash_time_diff (ash_clock_now (), part->until), part->level, source);
  suspects->quarantined (router, part->part);
}

static void
judge_run (struct ash_suspect_parts *suspects,
           const struct ash_part_run *run,
           const char *source,
           struct ash_time now)
{
  struct ash_router *router = suspects->router;
  const struct ash_quarantined_part *part;
  struct ash_part_verdict verdict;

  while ((part = ash_part_quarantine_judge (&suspects->quarantine, run, now, &verdict)))
    {
      struct Ash__PromptPart message = quarantine_message (part, now);

      if (ash_part_quarantine_is_told (run, ash_fleet_size (&router->fleet), &router->random))
        send_parts (suspects, &message, 1);
      apply_quarantine (suspects, part, &verdict, source);
    }
}

void
ash_suspect_parts_judge (struct ash_suspect_parts *suspects,
                         const struct ash_part_run *const runs[],
                         size_t count,
                         const char *source)
{
  struct ash_time now = ash_clock_now ();

  for (size_t i = 0; i < count; i++)
    judge_run (suspects, runs[i], source, now);
}

void
ash_suspect_parts_record_pass (struct ash_suspect_parts *suspects,
                               const struct ash_prompt_parts *parts)
{
  struct Ash__PromptPart messages[ASH_PROMPT_PARTS_MAX];
  struct ash_prompt_parts told;

  ash_part_quarantine_note_pass (&suspects->quarantine, parts, ash_clock_now (), &told);
  for (uint32_t i = 0; i < told.count; i++)
    {
      struct ash_prompt_part part = ash_prompt_parts_get (&told, i);

      messages[i] = message_of (part);
      messages[i].passed = true;
      log_cleared (suspects->router, part, "own");
    }
  send_parts (suspects, messages, told.count);
}

/* ---- receiving ---- */

static void
receive_part (struct ash_suspect_parts *suspects,
              const char *peer,
              const struct Ash__PromptPart *message,
              struct ash_time now)
{
  struct ash_prompt_part part = { message->service, message->id };
  const struct ash_quarantined_part *taken;
  struct ash_part_verdict verdict;

  if (message->passed)
    {
      if (ash_part_quarantine_clear (&suspects->quarantine, part, now))
        log_cleared (suspects->router, part, peer);
      return;
    }
  if (!ash_part_quarantine_is_valid (message->left_ms, message->level))
    {
      log_rejected (suspects->router, peer, "impossible quarantine", message->left_ms);
      return;
    }
  verdict = ash_part_evidence_assess (&suspects->quarantine.evidence, part, now);
  taken = ash_part_quarantine_take_over (&suspects->quarantine, part, message->left_ms,
                                         message->level, now);
  if (taken)
    apply_quarantine (suspects, taken, &verdict, peer);
}

/* @return the run as evidence; NULL: it has no parts, or they are not taken. */
static const struct ash_part_run *
receive_run (struct ash_suspect_parts *suspects,
             const char *peer,
             const struct Ash__SuspectRun *message,
             struct ash_time now)
{
  struct ash_part_run run = {
    .request = { message->request_hi, message->request_lo },
    .endpoint = message->endpoint,
    .ended = ash_time_add (now, -(int64_t) message->age_ms),
    .begun = message->begun,
    .passed_parts = message->passed_parts,
    .reported = true,
    .proven = true,
    .parts = { .service = message->service, .count = (uint32_t) message->n_parts },
  };

  if (!message->n_parts)
    return NULL;
  if (message->n_parts > ASH_PROMPT_PARTS_MAX)
    {
      log_rejected (suspects->router, peer, "too many parts", message->n_parts);
      return NULL;
    }
  run.sent = ash_time_add (run.ended, -(int64_t) message->lasted_ms);
  memcpy (run.parts.ids, message->parts, message->n_parts * sizeof run.parts.ids[0]);
  return ash_part_quarantine_add_run (&suspects->quarantine, &run, now);
}

/* Adds runs to the evidence. @return how many of them are new, in @p added. */
static size_t
receive_runs (struct ash_suspect_parts *suspects,
              const char *peer,
              struct Ash__SuspectRun *const messages[],
              size_t count,
              const struct ash_part_run *added[ASH_PART_RUNS])
{
  struct ash_time now = ash_clock_now ();
  size_t added_count = 0;

  for (size_t i = 0; i < count && added_count < ASH_PART_RUNS; i++)
    {
      added[added_count] = receive_run (suspects, peer, messages[i], now);
      added_count += added[added_count] != NULL;
    }
  return added_count;
}

void
ash_suspect_parts_receive (struct ash_suspect_parts *suspects,
                           const char *peer,
                           const struct Ash__SuspectRuns *message)
{
  const struct ash_part_run *runs[ASH_PART_RUNS];
  struct ash_time now = ash_clock_now ();
  size_t count;

  for (size_t i = 0; i < message->n_parts && i < ASH_PART_QUARANTINED_MAX; i++)
    receive_part (suspects, peer, message->parts[i], now);
  count = receive_runs (suspects, peer, message->part_runs, message->n_part_runs, runs);
  ash_suspect_parts_judge (suspects, runs, count, peer);
  count = receive_runs (suspects, peer, message->runs, message->n_runs, runs);
  ash_suspect_parts_judge (suspects, runs, count, peer);
}

/* ---- start and end ---- */

void
ash_suspect_parts_open (struct ash_suspect_parts *suspects,
                        struct ash_router *router,
                        void (*quarantined) (struct ash_router *router,
                                             struct ash_prompt_part part))
{
  suspects->router = router;
  suspects->quarantined = quarantined;
}

void
ash_suspect_parts_close (struct ash_suspect_parts *suspects)
{
  ash_part_quarantine_finish (&suspects->quarantine);
}

void
ash_suspect_parts_tick (struct ash_suspect_parts *suspects, struct ash_time now)
{
  const struct ash_part_run *run;

  while ((run = ash_part_evidence_next_settled (&suspects->quarantine.evidence, now)))
    judge_run (suspects, run, "own", now);
  ash_part_quarantine_tick (&suspects->quarantine, now);
}
