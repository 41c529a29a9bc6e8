/**
 * @file
 * A stand-in for a group of the platform's model servers, as one process with a port for each rank:
 * streams that send an event in each pass, passes that all ranks make together, an expert map for
 * each rank, delayed load reports, counts of chosen experts, and orders to change the map.
 *
 * It checks that all ranks always change their maps in the same pass. GET /state at any rank
 * returns
 *
 *     step=N map=V changes=N held=0|1 broken=0|1 standing_ms=N raw_answers=N
 *
 * where broken=1 means that a pass began while two ranks had different maps, and standing_ms is the
 * time since the last pass. GET /state?stalled=1 makes the ranks report that one of them is
 * missing, until /state?stalled=0. GET /state?shift=N shifts the demand to other experts. GET
 * /state?late=PERCENT makes that share of orders be executed late and never answered. GET
 * /state?deaf=1 makes ranks drop all orders to arm until /state?deaf=0, so that a held step stays
 * held; /state?deafrank=N does the same with rank N alone (none: /state?deafrank=-). GET
 * /state?extra=1 makes the ranks send an extra answer before that to an order or for a report, on
 * connections that have had an answer, until /state?extra=0. PUT /raw?PATH makes the ranks answer
 * requests for this path, /order without one, with the bytes of the body (test/standin_raw.h) until
 * its body is empty; orders are dropped then. With /raw?PATH&close they close the connection after
 * that, with /raw?PATH&reset they reset it.
 */
#include "common/random.h"
#include "net/http_conn.h"
#include "test/standin_raw.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define RANKS_MAX 8
#define LAYERS 2
#define EXPERTS 16
#define SLOTS 6
#define SPARE 2
#define PASS_S 0.03
#define REPORT_LAG_MS 100
#define HISTORY 64
#define STREAM_EVENTS 12
#define ORDER_DELAY_MIN_MS 300
#define ORDER_DELAY_RANGE_MS 1500
#define COPY_MS 20
#define JSON_FIELDS "Content-Type: application/json\r\n"

struct map
{
  uint64_t version;
  uint64_t digest; /* digest of the complete map, of all ranks */
  json_t *experts; /* the experts of this rank, by layer */
};

struct rank
{
  struct ash_http_listener listener;
  uint32_t index;
  char id[24];
  struct map map;
  struct map prepared;
  struct ash_time copied_at; /* when the prepared map's experts have been copied */
  uint64_t highest_version;  /* of all maps prepared so far */
  uint64_t armed;            /* version that becomes the map at armed_step; 0: none */
  uint64_t armed_step;
  uint64_t held; /* step that must not begin; 0: none */
  uint64_t counts[LAYERS * EXPERTS];
  char reports[HISTORY][256]; /* a ring with a report per timer tick */
};

/* What happens to a connection after a raw answer. */
enum raw_end
{
  RAW_KEEPS,
  RAW_CLOSES,
  RAW_RESETS,
};

/* An order that is executed later. */
struct delayed_order
{
  struct rank *rank;
  char *body;
  struct ash_time due;
  struct delayed_order *next;
};

static struct
{
  struct ev_loop *loop;
  struct ash_random random;
  struct rank ranks[RANKS_MAX];
  uint32_t rank_count;
  uint64_t step;
  uint64_t changes;
  uint32_t shift; /* by which the popular expert's number is shifted */
  uint32_t delayed_percent;
  bool drops_arm_orders;
  char deaf_rank; /* digit of the rank that drops orders to arm */
  bool sends_extra_answers;
  uint32_t raw_answers;
  char *raw_answer; /* to requests for raw_path; NULL: proper answers */
  char raw_path[16];
  enum raw_end raw_end;
  uint32_t ticks;
  bool broken;
  bool stalled; /* the ranks report that one is missing */
  struct ash_time last_pass_at;
  struct delayed_order *delayed_orders;
  ev_timer timer;
} group;

/* ---- maps ---- */

static void
assign_initial_experts (struct rank *rank)
{
  rank->map.experts = json_array ();
  for (uint32_t layer = 0; layer < LAYERS; layer++)
    {
      json_t *experts = json_array ();

      for (uint32_t expert = rank->index; expert < EXPERTS; expert += group.rank_count)
        json_array_append_new (experts, json_integer (expert));
      json_array_append_new (rank->map.experts, experts);
    }
}

static void
begin_pass (void)
{
  for (uint32_t i = 0; i < group.rank_count; i++)
    if (group.ranks[i].held == group.step + 1)
      return;
  group.step++;
  group.last_pass_at = ash_clock_now ();
  for (uint32_t i = 0; i < group.rank_count; i++)
    {
      struct rank *rank = &group.ranks[i];

      if (!rank->armed || rank->armed_step != group.step)
        continue;
      json_decref (rank->map.experts);
      rank->map = rank->prepared;
      json_incref (rank->map.experts);
      rank->armed = 0;
      group.changes += i == 0;
    }
  for (uint32_t i = 1; i < group.rank_count; i++)
    if (group.ranks[i].map.version != group.ranks[0].map.version ||
        group.ranks[i].map.digest != group.ranks[0].map.digest)
      group.broken = true;
}

/* ---- orders ---- */

static uint64_t
number (const json_t *object, const char *key)
{
  return (uint64_t) json_integer_value (json_object_get (object, key));
}

static uint64_t
digest_of (const json_t *map)
{
  char *text = json_dumps (map, JSON_COMPACT);
  uint64_t digest = 14695981039346656037U;

  for (const char *at = text; at && *at; at++)
    digest = (digest ^ (uint8_t) *at) * 1099511628211U;
  free (text);
  return digest;
}

static uint16_t
prepare (struct rank *rank, const json_t *order)
{
  uint64_t version = number (order, "Version");
  json_t *map = json_object_get (order, "Map");
  json_t *own;
  json_t *layer;
  size_t index;

  if (version == rank->prepared.version)
    return ash_time_before (ash_clock_now (), rank->copied_at) ? 202 : 200;
  if (version <= rank->highest_version || rank->armed || json_array_size (map) != LAYERS)
    return 409;
  own = json_array ();
  json_array_foreach (map, index, layer)
    json_array_append (own, json_array_get (layer, rank->index));
  json_decref (rank->prepared.experts);
  rank->prepared = (struct map){ version, digest_of (map), own };
  rank->highest_version = version;
  rank->copied_at = ash_time_add (ash_clock_now (), COPY_MS);
  return 202;
}

static uint16_t
arm (struct rank *rank, uint64_t version, uint64_t step)
{
  if (rank->armed == version && rank->armed_step == step)
    return 200;
  if (step <= group.step || rank->prepared.version != version ||
      ash_time_before (ash_clock_now (), rank->copied_at))
    return 409;
  rank->armed = version;
  rank->armed_step = step;
  return 202;
}

static uint16_t
execute_order (struct rank *rank, const char *body)
{
  json_t *order = json_loads (body, 0, NULL);
  const char *operation = json_string_value (json_object_get (order, "Operation"));
  uint64_t step = number (order, "step");
  uint64_t version = number (order, "Version");
  uint16_t status = 400;

  if (!operation)
    status = 400;
  else if (strcmp (operation, "prepare") == 0)
    status = prepare (rank, order);
  else if (strcmp (operation, "arm") == 0)
    status = arm (rank, version, step);
  else if (strcmp (operation, "Hold") == 0)
    {
      bool free = !rank->held && step > group.step;

      status = rank->held == step || free ? 200 : 409;
      if (free)
        rank->held = step;
    }
  else if (strcmp (operation, "go") == 0)
    {
      status = rank->held == step ? 200 : 409;
      if (status == 200)
        rank->held = 0;
    }
  else if (strcmp (operation, "disarm") == 0)
    {
      status = rank->map.version == version ? 409 : 200;
      if (rank->armed == version)
        rank->armed = 0;
    }
  json_decref (order);
  return status;
}

/* @return the request's body as a string, to be freed. */
static char *
copy_body (const struct ash_http_conn *conn)
{
  const char *bytes = (const char *) conn->body.bytes;

  return conn->body.length ? strndup (bytes + conn->body.start, conn->body.length) : strdup ("");
}

/* Sends an answer that belongs to no request, in the place of the answer to this one, where the
 * connection has had an answer before. */
static void
send_extra_answer (struct ash_http_conn *conn)
{
  static const char text[] = "HTTP/1.1 200 Extra\r\nContent-Length: 0\r\n\r\n";

  if (group.sends_extra_answers && conn->had_request)
    ash_stream_write (&conn->stream, text, sizeof text - 1);
}

static bool
drops_arm_order (const struct rank *rank)
{
  return group.drops_arm_orders || group.deaf_rank == (char) ('0' + rank->index);
}

static void
receive_order (struct ash_http_conn *conn, struct rank *rank)
{
  char *body = copy_body (conn);

  if (drops_arm_order (rank) && strstr (body, "\"arm\""))
    {
      free (body);
      return; /* never answered */
    }
  if (ash_random_below (&group.random, 100) < group.delayed_percent)
    {
      struct delayed_order *delayed_order = calloc (1, sizeof *delayed_order);

      if (!delayed_order)
        abort ();
      *delayed_order = (struct delayed_order){ .rank = rank, .body = body };
      delayed_order->due = ash_time_add (
          ash_clock_now (),
          ORDER_DELAY_MIN_MS + ash_random_below (&group.random, ORDER_DELAY_RANGE_MS));
      LL_PREPEND (group.delayed_orders, delayed_order);
      return; /* never answered */
    }
  ash_http_conn_respond (conn, execute_order (rank, body), "", 0, "", 0);
  free (body);
}

/* ---- reports and queries ---- */

static void
record_report (struct rank *rank)
{
  uint32_t active = 0;
  const struct ash_http_conn *conn;

  DL_FOREACH (rank->listener.conns, conn)
    active += conn->request != NULL;
  snprintf (rank->reports[group.ticks % HISTORY], sizeof rank->reports[0],
            "{\"Active\":%u,\"step\":%llu,\"Map\":%llu,\"Prepared\":%llu,\"Armed\":%llu,"
            "\"held\":%llu,\"group\":{\"Name\":\"g\",\"epoch\":1,\"rank\":%u,\"State\":\"%s\","
            "\"size\":%u}}",
            active, (unsigned long long) group.step, (unsigned long long) rank->map.version,
            (unsigned long long) rank->prepared.version, (unsigned long long) rank->armed,
            (unsigned long long) rank->held, rank->index, group.stalled ? "broken" : "open",
            group.rank_count);
}

static void
answer_text (struct ash_http_conn *conn, const char *text)
{
  ash_http_conn_respond (conn, 200, JSON_FIELDS, strlen (JSON_FIELDS), text, strlen (text));
}

static void
answer_experts (struct ash_http_conn *conn, const struct rank *rank, bool lists)
{
  json_t *object = json_pack ("{s:i, s:I}", "epoch", 1, "step", (json_int_t) group.step);
  char *text;

  if (lists)
    {
      bool is_copied =
          rank->prepared.experts && ash_time_before (rank->copied_at, ash_clock_now ());

      json_object_set_new (object, "Map",
                           json_pack ("{s:I, s:O}", "Version", (json_int_t) rank->map.version,
                                      "Experts", rank->map.experts));
      if (is_copied)
        json_object_set_new (object, "Prepared",
                             json_pack ("{s:I, s:O}", "Version",
                                        (json_int_t) rank->prepared.version, "Experts",
                                        rank->prepared.experts));
    }
  else
    {
      json_t *counts = json_array ();

      for (uint32_t i = 0; i < LAYERS * EXPERTS; i++)
        json_array_append_new (counts, json_integer ((json_int_t) rank->counts[i]));
      json_object_set_new (object, "Counts", counts);
    }
  text = json_dumps (object, JSON_COMPACT);
  answer_text (conn, text);
  free (text);
  json_decref (object);
}

static void
answer_state (struct ash_http_conn *conn, const char *target)
{
  const char *shift = strstr (target, "shift=");
  const char *delayed = strstr (target, "late=");
  const char *drops_arm_orders = strstr (target, "deaf=");
  const char *deaf_rank = strstr (target, "deafrank=");
  const char *sends_extra_answers = strstr (target, "extra=");
  const char *stalled = strstr (target, "stalled=");
  char text[256];
  bool held = false;

  if (shift)
    group.shift = (uint32_t) strtoul (shift + strlen ("shift="), NULL, 10);
  if (delayed)
    group.delayed_percent = (uint32_t) strtoul (delayed + strlen ("late="), NULL, 10);
  if (stalled)
    group.stalled = stalled[strlen ("stalled=")] == '1';
  if (drops_arm_orders)
    group.drops_arm_orders = drops_arm_orders[strlen ("deaf=")] == '1';
  if (deaf_rank)
    group.deaf_rank = deaf_rank[strlen ("deafrank=")];
  if (sends_extra_answers)
    group.sends_extra_answers = sends_extra_answers[strlen ("extra=")] == '1';
  for (uint32_t i = 0; i < group.rank_count; i++)
    held = held || group.ranks[i].held;
  snprintf (text, sizeof text,
            "step=%llu map=%llu changes=%llu held=%d broken=%d standing_ms=%lld"
            " raw_answers=%u",
            (unsigned long long) group.step, (unsigned long long) group.ranks[0].map.version,
            (unsigned long long) group.changes, held, group.broken,
            (long long) ash_time_diff (group.last_pass_at, ash_clock_now ()), group.raw_answers);
  answer_text (conn, text);
}

/* ---- streams ---- */

static void
begin_stream (struct ash_http_conn *conn, const struct rank *rank)
{
  const char *id = ash_http_field (&conn->reader.head, "Ashspindle-Attempt-Id");
  const char *last = ash_http_field (&conn->reader.head, "Last-Event-Id");
  intptr_t next = last ? strtol (last, NULL, 10) + 1 : 1;
  char fields[256];

  snprintf (fields, sizeof fields,
            "Ashspindle-Attempt-Id: %s\r\nAshspindle-Server-Seal: seal-%s\r\n"
            "Content-Type: text/event-stream\r\n",
            id ? id : "-", rank->id);
  conn->request = (void *) next; /* the next event's number */
  ash_http_conn_begin (conn, 200, fields, strlen (fields));
}

/* Writes the event of a pass and counts the experts that its tokens chose, three in four times the
 * same one. */
static void
write_event (struct rank *rank, struct ash_http_conn *conn)
{
  intptr_t next = (intptr_t) conn->request;
  char event[64];
  int length;

  if (next > STREAM_EVENTS)
    {
      conn->request = NULL;
      ash_http_conn_end (conn, true);
      return;
    }
  conn->request = (void *) (next + 1);
  for (uint32_t layer = 0; layer < LAYERS; layer++)
    {
      rank->counts[layer * EXPERTS + (5 + layer + group.shift) % EXPERTS] += 75;
      for (uint32_t expert = 0; expert < EXPERTS; expert++)
        rank->counts[layer * EXPERTS + expert] += 2;
    }
  length = snprintf (event, sizeof event, "id: %lld\ndata: x\n\n", (long long) next);
  ash_http_conn_write (conn, event, (size_t) length);
}

static void
set_raw_answer (struct ash_http_conn *conn)
{
  const char *bytes = (const char *) conn->body.bytes;
  const char *query = strchr (conn->reader.head.target, '?');
  size_t path_bytes = query ? strcspn (query + 1, "&") : 0;

  snprintf (group.raw_path, sizeof group.raw_path, "%.*s", path_bytes ? (int) path_bytes : 6,
            path_bytes ? query + 1 : "/order");
  group.raw_end = query && strstr (query, "&close")   ? RAW_CLOSES
                  : query && strstr (query, "&reset") ? RAW_RESETS
                                                      : RAW_KEEPS;
  free (group.raw_answer);
  group.raw_answer =
      conn->body.length ? strndup (bytes + conn->body.start, conn->body.length) : NULL;
  ash_http_conn_respond (conn, 200, "", 0, "", 0);
}

static void
answer_raw (struct ash_http_conn *conn)
{
  char fields[160];
  const char *id = ash_http_field (&conn->reader.head, "Ashspindle-Attempt-Id");

  group.raw_answers++;
  snprintf (fields, sizeof fields, "Ashspindle-Attempt-Id: %s\r\nAshspindle-Server-Seal: seal\r\n",
            id ? id : "-");
  standin_raw_send (conn, group.raw_answer, fields);
  if (group.raw_end != RAW_KEEPS)
    standin_raw_end (conn, group.raw_end == RAW_RESETS);
}

static void
on_request (struct ash_http_conn *conn)
{
  struct rank *rank = conn->listener->owner;
  const char *target = conn->reader.head.target;

  if (strncmp (target, "/order", 6) == 0 || strncmp (target, "/report", 7) == 0)
    send_extra_answer (conn);
  if (strncmp (target, "/raw", 4) == 0)
    set_raw_answer (conn);
  else if (group.raw_answer && strncmp (target, group.raw_path, strlen (group.raw_path)) == 0)
    answer_raw (conn);
  else if (strcmp (target, "/report") == 0)
    answer_text (conn, rank->reports[(group.ticks + HISTORY - REPORT_LAG_MS / 30) % HISTORY]);
  else if (strncmp (target, "/picked", 7) == 0)
    answer_experts (conn, rank, strstr (target, "Lists") != NULL);
  else if (strcmp (target, "/order") == 0)
    receive_order (conn, rank);
  else if (strncmp (target, "/state", 6) == 0)
    answer_state (conn, target);
  else
    begin_stream (conn, rank);
}

static void
on_disconnected (struct ash_http_conn *conn)
{
  conn->request = NULL;
}

static const struct ash_conn_handler handler = { on_request, on_disconnected, NULL };

/* ---- timer ---- */

static bool
any_stream (void)
{
  const struct ash_http_conn *conn;

  for (uint32_t i = 0; i < group.rank_count; i++)
    DL_FOREACH (group.ranks[i].listener.conns, conn)
      if (conn->request)
        return true;
  return false;
}

static void
execute_delayed_orders (void)
{
  struct delayed_order *delayed_order;
  struct delayed_order *next;

  LL_FOREACH_SAFE (group.delayed_orders, delayed_order, next)
    if (ash_time_before (delayed_order->due, ash_clock_now ()))
      {
        LL_DELETE (group.delayed_orders, delayed_order);
        execute_order (delayed_order->rank, delayed_order->body);
        free (delayed_order->body);
        free (delayed_order);
      }
}

static void
on_pass (struct ev_loop *loop, ev_timer *timer, int events)
{
  uint64_t before = group.step;

  (void) loop;
  (void) timer;
  (void) events;
  execute_delayed_orders ();
  group.ticks++;
  /* An idle group makes no passes and does not count as stalled. */
  if (any_stream ())
    begin_pass ();
  else
    group.last_pass_at = ash_clock_now ();
  for (uint32_t i = 0; i < group.rank_count; i++)
    {
      struct ash_http_conn *conn;
      struct ash_http_conn *next;

      if (group.step > before)
        DL_FOREACH_SAFE (group.ranks[i].listener.conns, conn, next)
          if (conn->request && !conn->is_closed)
            write_event (&group.ranks[i], conn);
      record_report (&group.ranks[i]);
    }
}

int
main (int argc, char **argv)
{
  if (argc < 3 || argc > 1 + RANKS_MAX)
    {
      fprintf (stderr, "usage: standin-ranks PORT PORT...   one port per rank, 2 to %d\n",
               RANKS_MAX);
      return EXIT_FAILURE;
    }
  group.loop = ev_default_loop (EVFLAG_AUTO);
  group.rank_count = (uint32_t) argc - 1;
  group.last_pass_at = ash_clock_now ();
  ash_random_init (&group.random, 1);
  for (uint32_t i = 0; i < group.rank_count; i++)
    {
      struct rank *rank = &group.ranks[i];
      char address[32];

      rank->index = i;
      snprintf (rank->id, sizeof rank->id, "i-rank%u", i);
      snprintf (address, sizeof address, "127.0.0.1:%s", argv[1 + i]);
      assign_initial_experts (rank);
      for (int j = 0; j < HISTORY; j++)
        snprintf (rank->reports[j], sizeof rank->reports[0], "{}");
      if (!ash_http_listen (&rank->listener, group.loop, address, &handler, rank))
        {
          perror (address);
          return EXIT_FAILURE;
        }
    }
  ev_timer_init (&group.timer, on_pass, PASS_S, PASS_S);
  ev_timer_start (group.loop, &group.timer);
  ev_run (group.loop, 0);
  return EXIT_SUCCESS;
}
