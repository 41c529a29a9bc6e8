/**
 * @file
 * Measures routing and admission policies under load and faults, for a fleet of 8
 * entries and 16 agents. Runs the real entry and agent cores in a simulation; only the
 * engines are modelled. Prints Markdown or CSV to standard output. The part "router"
 * prints the table of the router's forwarding policy instead.
 *
 * usage: bench-policy [--csv] [--radar] [faults|events|routes|router]
 */
#include "bench/policy_sim.h"
#include "bench/router_policy.h"
#include "bench/stats.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_S 1000000LL
#define CALLS_MAX 400000

/* Approximate capacity of the simulated fleet in answers per second; see docs/POLICY.md. */
#define CAPACITY_PER_S 560

#define SECONDS 60
#define FAULT_START_S 30
#define BURST_START_S 20
#define PROMPT_TEMPLATES 40

static const int64_t deadline_us[SIM_CLASSES] = { 4 * US_PER_S, 4 * US_PER_S, 10 * US_PER_S };
static const char *const class_names[SIM_CLASSES] = { "counter", "shop", "batch" };

/* ---- arrivals ---- */

/* Demand over time, as a fraction of CAPACITY_PER_S; changes start at BURST_START_S. */
enum trace
{
  TRACE_STEADY,  /* half of the capacity */
  TRACE_FULL,    /* the whole capacity */
  TRACE_OPENING, /* a tenth; rises to 20 times as much within 2 s, for 15 s in all */
  TRACE_FLOOD,   /* half; rises to 20 times the capacity within 2 s, for 5 s in all */
  TRACE_STORM,   /* half; then two large accounts add 3 times the capacity for 20 s */
  TRACE_LONG,    /* class batch: a third, answers 10 times as long; other classes: 0.3 */
  TRACE_HEAVY,   /* half; then one account adds 3 times the capacity for 20 s */
  TRACE_COUNT,
};

static const char *const trace_names[TRACE_COUNT] = { "steady",       "full",  "opening",
                                                      "flood",        "storm", "long answers",
                                                      "heavy account" };

struct share
{
  const char *name;
  uint32_t class_index;
  double fraction; /* fraction of the usual total demand */
};

static const struct share shares[SIM_ACCOUNTS] = {
  { "counter-1", 0, 0.10 }, { "counter-2", 0, 0.05 }, { "shop-1", 1, 0.20 }, { "shop-2", 1, 0.15 },
  { "shop-3", 1, 0.10 },    { "shop-4", 1, 0.05 },    { "shop-5", 1, 0.05 }, { "batch-1", 2, 0.20 },
  { "batch-2", 2, 0.05 },   { "batch-3", 2, 0.05 },
};

#define STORM_FIRST_ACCOUNT 2
#define HEAVY_ACCOUNT 7
#define HEAVY_LIMIT_PER_S 100

/* @return calls per second of an account at the given time. */
static double
demand (enum trace trace, uint32_t account, double at_s)
{
  double usual = shares[account].fraction * CAPACITY_PER_S;
  double since_s = at_s - BURST_START_S;
  double ramp = since_s < 0 ? 0 : since_s < 2 ? since_s / 2 : 1;

  switch (trace)
    {
    case TRACE_STEADY:
      return 0.5 * usual;
    case TRACE_FULL:
      return usual;
    case TRACE_OPENING:
      return since_s < 15 ? 0.1 * usual * (1 + 19 * ramp) : 0.1 * usual;
    case TRACE_FLOOD:
      return since_s < 5 ? usual * (0.5 + 19.5 * ramp) : 0.5 * usual;
    case TRACE_STORM:
      if (account == STORM_FIRST_ACCOUNT || account == STORM_FIRST_ACCOUNT + 1)
        return 0.5 * usual + (since_s < 20 ? 1.5 * ramp * CAPACITY_PER_S : 0);
      return 0.5 * usual;
    case TRACE_LONG:
      return shares[account].class_index == 2 ? usual / 3 : 0.3 * usual;
    case TRACE_HEAVY:
      return account == HEAVY_ACCOUNT ? 0.5 * usual + (since_s < 20 ? 3 * ramp * CAPACITY_PER_S : 0)
                                      : 0.5 * usual;
    default:
      return 0;
    }
}

static int
by_time (const void *a, const void *b)
{
  const struct sim_call *left = a;
  const struct sim_call *right = b;

  return (left->at_us > right->at_us) - (left->at_us < right->at_us);
}

/* Draws Poisson arrivals by thinning: candidates are drawn at the peak demand of each account and
 * kept with the probability of current demand over peak demand. */
static uint32_t
make_calls (enum trace trace, struct sim_call *calls)
{
  struct ash_random random;
  uint32_t count = 0;

  ash_random_init (&random, 11 + (uint64_t) trace);
  for (uint32_t a = 0; a < SIM_ACCOUNTS; a++)
    {
      double most = 1;
      double at_s = 0;

      for (int quarter = 0; quarter < 4 * SECONDS; quarter++)
        most = fmax (most, demand (trace, a, quarter / 4.0));
      for (;;)
        {
          double u = (ash_random_below (&random, 1000000) + 1) / 1e6;

          at_s -= log (u) / most;
          if (at_s >= SECONDS || count == CALLS_MAX)
            break;
          if (ash_random_below (&random, 1000000) / 1e6 * most > demand (trace, a, at_s))
            continue;
          calls[count++] = (struct sim_call){
            .at_us = (int64_t) (at_s * 1e6),
            .deadline_us = (int64_t) (at_s * 1e6) + deadline_us[shares[a].class_index],
            .account = a,
            .prefix = 1 + a * PROMPT_TEMPLATES / SIM_ACCOUNTS +
                      ash_random_below (&random, PROMPT_TEMPLATES / SIM_ACCOUNTS),
            .tokens = 40 + ash_random_below (&random, 121),
            .entry = -1,
          };
          if (trace == TRACE_LONG && shares[a].class_index == 2)
            {
              calls[count - 1].tokens *= 10;
              calls[count - 1].deadline_us += 50 * US_PER_S;
            }
        }
    }
  qsort (calls, count, sizeof *calls, by_time);
  return count;
}

/* ---- results ---- */

struct figures
{
  double in_time[SIM_CLASSES]; /* percent of the calls */
  double goodput;      /* answers in time per second, 3 to 5 s after the start of the burst */
  double first_ms[3];  /* time to first token: 50th, 95th and 99th percentile */
  double top_first_ms; /* time to first token of the highest class, 95th percentile */
  double refused;      /* percent of the calls that were refused at least once */
  double refused_ms;   /* time to the first refusal, 95th percentile */
  double wasted;       /* percent of the generated tokens */
  double balance;      /* tokens of the busiest engine divided by the mean of all engines */
  double fairness;     /* Jain's index over the accounts' fractions in time; worst class */
  double overshoot;    /* percent by which the heavy account exceeds its limit */
  double recovery_s;   /* from the fault until 99% of the calls are answered in time again */
  double hits;         /* percent of the prompts whose prefix was cached */
};

static bool
is_in_time (const struct sim_call *call)
{
  return call->done_us && call->done_us <= call->deadline_us;
}

/* Only calls after the warm-up whose deadline passes before the end of the run are counted. */
static bool
is_counted (const struct sim_call *call)
{
  return call->at_us >= 5 * US_PER_S && call->at_us < (SECONDS - 11) * US_PER_S;
}

static void
count_classes (const struct sim_call *calls, uint32_t count, struct figures *figures)
{
  uint32_t offered[SIM_ACCOUNTS] = { 0 };
  uint32_t in_time[SIM_ACCOUNTS] = { 0 };

  for (uint32_t i = 0; i < count; i++)
    if (is_counted (&calls[i]))
      {
        offered[calls[i].account]++;
        in_time[calls[i].account] += is_in_time (&calls[i]);
      }
  figures->fairness = 1;
  for (uint32_t c = 0; c < SIM_CLASSES; c++)
    {
      double all = 0;
      double good = 0;
      double sum = 0;
      double squares = 0;
      uint32_t members = 0;

      for (uint32_t a = 0; a < SIM_ACCOUNTS; a++)
        if (shares[a].class_index == c && offered[a])
          {
            double ratio = (double) in_time[a] / offered[a];

            all += offered[a];
            good += in_time[a];
            sum += ratio;
            squares += ratio * ratio;
            members++;
          }
      figures->in_time[c] = 100 * good / all;
      if (squares > 0)
        figures->fairness = fmin (figures->fairness, sum * sum / (members * squares));
    }
}

static void
count_times (const struct sim_call *calls, uint32_t count, struct figures *figures)
{
  static double first[CALLS_MAX];
  static double refused[CALLS_MAX];
  static double top[CALLS_MAX];
  uint32_t first_count = 0;
  uint32_t refused_count = 0;
  uint32_t top_count = 0;
  uint32_t all = 0;
  uint32_t good = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      const struct sim_call *call = &calls[i];

      if (!is_counted (call))
        continue;
      all++;
      if (is_in_time (call))
        first[first_count++] = (double) (call->first_token_us - call->at_us) / 1000;
      if (is_in_time (call) && shares[call->account].class_index == 0)
        top[top_count++] = (double) (call->first_token_us - call->at_us) / 1000;
      if (call->first_refusal_us)
        refused[refused_count++] = (double) (call->first_refusal_us - call->at_us) / 1000;
    }
  for (uint32_t i = 0; i < count; i++)
    good += is_in_time (&calls[i]) && calls[i].done_us >= (BURST_START_S + 3) * US_PER_S &&
            calls[i].done_us < (BURST_START_S + 5) * US_PER_S;
  figures->goodput = good / 2.0;
  figures->first_ms[0] = stats_percentile (first, first_count, 0.5);
  figures->first_ms[1] = stats_percentile (first, first_count, 0.95);
  figures->first_ms[2] = stats_percentile (first, first_count, 0.99);
  figures->top_first_ms = stats_percentile (top, top_count, 0.95);
  figures->refused = 100.0 * refused_count / all;
  figures->refused_ms = stats_percentile (refused, refused_count, 0.95);
}

/* @return seconds from the fault until the first second from which on at least 99% of the calls
 * that start in each second are answered in time. */
static double
recovery_seconds (const struct sim_call *calls, uint32_t count)
{
  uint32_t all[SECONDS] = { 0 };
  uint32_t good[SECONDS] = { 0 };
  int second;

  for (uint32_t i = 0; i < count; i++)
    {
      all[calls[i].at_us / US_PER_S]++;
      good[calls[i].at_us / US_PER_S] += is_in_time (&calls[i]);
    }
  for (second = SECONDS - 12; second >= FAULT_START_S; second--)
    if (good[second] < 0.99 * all[second])
      break;
  return second < FAULT_START_S ? 0 : second + 1 - FAULT_START_S;
}

/* @return percent by which the heavy account's answers exceed its limit in the worst window of 10
 * seconds. */
static double
overshoot_percent (const struct sim_call *calls, uint32_t count)
{
  uint32_t got[SECONDS] = { 0 };
  double worst = 0;

  for (uint32_t i = 0; i < count; i++)
    if (calls[i].account == HEAVY_ACCOUNT && calls[i].done_us)
      got[calls[i].done_us / US_PER_S % SECONDS]++;
  for (int second = BURST_START_S + 1; second + 10 < SECONDS; second++)
    {
      double sum = 0;

      for (int i = 0; i < 10; i++)
        sum += got[second + i];
      /* The limit allows a burst of one second of calls, so 10 s allow 11 times the rate. */
      worst = fmax (worst, sum / (11.0 * HEAVY_LIMIT_PER_S));
    }
  return worst > 1 ? 100 * (worst - 1) : 0;
}

static void
measure (enum trace trace, const struct sim_setup *setup, struct figures *figures)
{
  static struct sim_call calls[CALLS_MAX];
  struct sim_account accounts[SIM_ACCOUNTS];
  uint32_t count = make_calls (trace, calls);
  struct sim *sim;
  struct sim_work work;
  uint64_t most = 0;

  for (uint32_t a = 0; a < SIM_ACCOUNTS; a++)
    accounts[a] = (struct sim_account){
      .name = shares[a].name,
      .class_index = shares[a].class_index,
      .rate_per_s = trace == TRACE_HEAVY && a == HEAVY_ACCOUNT ? HEAVY_LIMIT_PER_S : 100000,
      .reserved_per_s = setup->event && shares[a].class_index == 0
                            ? (uint32_t) fmax (demand (trace, a, BURST_START_S - 1),
                                               demand (trace, a, BURST_START_S + 3))
                            : 0,
    };
  sim = sim_new (setup, accounts, calls, count, 3);
  sim_run (sim);
  sim_work (sim, &work);
  sim_free (sim);
  *figures = (struct figures){ 0 };
  count_classes (calls, count, figures);
  count_times (calls, count, figures);
  figures->wasted = 100.0 * (double) work.wasted / (double) (work.tokens ? work.tokens : 1);
  for (uint32_t a = 0; a < SIM_AGENTS; a++)
    most = work.by_engine[a] > most ? work.by_engine[a] : most;
  figures->balance = (double) most * SIM_AGENTS / (double) (work.tokens ? work.tokens : 1);
  figures->hits = 100.0 * (double) work.hits / (double) (work.hits + work.misses + 1);
  figures->recovery_s = setup->fault ? recovery_seconds (calls, count) : 0;
  figures->overshoot = trace == TRACE_HEAVY ? overshoot_percent (calls, count) : 0;
}

/* ---- tables ---- */

/* One-way network latencies of a deployment: between boxes and to callers. */
struct site
{
  int64_t latency_us;
  int64_t client_latency_us;
};

static const struct site wadi = { 1500, 1000 };
static const struct site radar = { 500, 3000 };

static bool csv;
static const struct site *site = &wadi;

static void
print_head (const char *title)
{
  if (csv)
    printf ("table,case,route,%s,%s,%s,goodput,first_ms,first_95_ms,first_99_ms,counter_first_95_"
            "ms,refused,"
            "refused_95_ms,wasted,balance,fairness,overshoot,recovery_s,hits\n",
            class_names[0], class_names[1], class_names[2]);
  else
    printf ("\n%s\n\n| case | route | %s | %s | %s | goodput/s | first token ms: 50, 95, 99 | "
            "counter 95 | "
            "refused %% | after ms (95) | wasted %% | balance | fairness | overshoot %% | recovery "
            "s | cached %% |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
            title, class_names[0], class_names[1], class_names[2]);
}

static void
print_row (const char *table, const char *name, const char *route, const struct figures *f)
{
  if (csv)
    printf ("%s,%s,%s,%.2f,%.2f,%.2f,%.0f,%.0f,%.0f,%.0f,%.0f,%.1f,%.0f,%.2f,%.3f,%.3f,%.1f,%.0f,%."
            "1f\n",
            table, name, route, f->in_time[0], f->in_time[1], f->in_time[2], f->goodput,
            f->first_ms[0], f->first_ms[1], f->first_ms[2], f->top_first_ms, f->refused,
            f->refused_ms, f->wasted, f->balance, f->fairness, f->overshoot, f->recovery_s,
            f->hits);
  else
    printf ("| %s | %s | %.2f | %.2f | %.2f | %.0f | %.0f, %.0f, %.0f | %.0f | %.1f | %.0f | %.2f "
            "| %.3f | "
            "%.3f | %.1f | %.0f | %.1f |\n",
            name, route, f->in_time[0], f->in_time[1], f->in_time[2], f->goodput, f->first_ms[0],
            f->first_ms[1], f->first_ms[2], f->top_first_ms, f->refused, f->refused_ms, f->wasted,
            f->balance, f->fairness, f->overshoot, f->recovery_s, f->hits);
  fflush (stdout);
}

static struct sim_setup
setup_of (const char *route)
{
  return (struct sim_setup){
    .route = route,
    .fault_us = FAULT_START_S * US_PER_S,
    .end_us = SECONDS * US_PER_S,
    .latency_us = site->latency_us,
    .client_latency_us = site->client_latency_us,
  };
}

static const char *const routes[] = { "random", "round robin", "least reported", "two choices",
                                      "near prefix" };
#define ROUTES (sizeof routes / sizeof routes[0])
#define DEFAULT_ROUTE "near prefix"

static void
compare_routes (void)
{
  static const enum trace traces[] = { TRACE_STEADY, TRACE_FULL, TRACE_OPENING };
  struct figures figures;

  print_head ("Routes");
  for (size_t t = 0; t < sizeof traces / sizeof traces[0]; t++)
    for (size_t r = 0; r < ROUTES; r++)
      {
        struct sim_setup setup = setup_of (routes[r]);

        measure (traces[t], &setup, &figures);
        print_row ("routes", trace_names[traces[t]], routes[r], &figures);
      }
}

static void
measure_events (void)
{
  static const struct
  {
    const char *name;
    enum trace trace;
    enum sim_callers callers;
    bool event;
  } cases[] = {
    { "full", TRACE_FULL, CALLERS_AS_ADVISED, false },
    { "opening", TRACE_OPENING, CALLERS_AS_ADVISED, false },
    { "opening declared", TRACE_OPENING, CALLERS_AS_ADVISED, true },
    { "opening (all ask again at once)", TRACE_OPENING, CALLERS_AT_ONCE, false },
    { "flood", TRACE_FLOOD, CALLERS_AS_ADVISED, false },
    { "flood declared", TRACE_FLOOD, CALLERS_AS_ADVISED, true },
    { "flood (all ask again at once)", TRACE_FLOOD, CALLERS_AT_ONCE, false },
    { "storm", TRACE_STORM, CALLERS_AS_ADVISED, false },
    { "long answers", TRACE_LONG, CALLERS_AS_ADVISED, false },
    { "long answers declared", TRACE_LONG, CALLERS_AS_ADVISED, true },
    { "heavy account", TRACE_HEAVY, CALLERS_AS_ADVISED, false },
  };
  struct figures figures;

  print_head ("Events");
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct sim_setup setup = setup_of (DEFAULT_ROUTE);

      setup.callers = cases[i].callers;
      setup.event = cases[i].event;
      measure (cases[i].trace, &setup, &figures);
      print_row ("events", cases[i].name, DEFAULT_ROUTE, &figures);
    }
}

static void
measure_faults (void)
{
  static const char *const names[] = { "none",
                                       "an endpoint killed",
                                       "a rank stalled for 5 s",
                                       "a hall cut for 10 s",
                                       "an entry paused for 10 s",
                                       "reports lost for 20 s" };
  struct figures figures;

  print_head ("Faults, steady");
  for (int f = FAULT_NONE; f <= FAULT_REPORTS_LOST; f++)
    for (size_t r = 0; r < ROUTES; r++)
      {
        struct sim_setup setup = setup_of (routes[r]);

        setup.fault = (enum sim_fault) f;
        measure (TRACE_STEADY, &setup, &figures);
        print_row ("faults", names[f], routes[r], &figures);
      }
}

int
main (int argc, char **argv)
{
  const char *only = "";

  for (int i = 1; i < argc; i++)
    if (strcmp (argv[i], "--csv") == 0)
      csv = true;
    else if (strcmp (argv[i], "--radar") == 0)
      site = &radar;
    else
      only = argv[i];
  if (!*only || strcmp (only, "routes") == 0)
    compare_routes ();
  if (!*only || strcmp (only, "events") == 0)
    measure_events ();
  if (!*only || strcmp (only, "faults") == 0)
    measure_faults ();
  if (strcmp (only, "router") == 0)
    router_policy_print ();
  return EXIT_SUCCESS;
}
