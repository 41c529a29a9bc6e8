/**
 * @file
 * A stand-in for the platform's store, as a process: items with revisions that can be listed page
 * by page and watched. Tests set items and faults over HTTP:
 *
 *     PUT /put?KEY (body: the value)      PUT /remove?KEY
 *     PUT /pages?COUNT (items of a page)
 *     PUT /odd?refused | same | empty | ok (how all pages of a list but the first are answered:
 *     not at all, with the first one again, or with an empty one that others follow)
 *     PUT /spoil?KEY (a page that would hold this key is refused; empty: none is)
 *     PUT /fuzz?SEED (replaces the list of servers by a random one; while its pages are read, some
 *     entries change, and some answers are odd)
 *     PUT /settle (ends these changes and odd answers)
 *     GET /model (the names of the entries that describe servers, a line each)
 *     GET /counts (`pages=N odd=N items=N page_items=N`: requests for pages of the list of servers,
 *     how many had an odd answer, the most items at any time, and those of a page)
 *     PUT /counts (counts from 0 again, as /fuzz does)
 *     PUT /mode?ok | busy (answers 503) | silent (no answers) | forget (drops the history)
 *     PUT /mode?slowMS (delays each answer by MS ms)
 *     PUT /mode?trickle (what is repeated without end comes slowly)
 *     PUT /mode?reset (connections are reset after the bytes of /raw, not closed)
 *     PUT /raw (body: the bytes of all answers from now on, see test/standin_raw.h; what follows \*
 *     is repeated without end; empty: no longer)
 *     PUT /era?TEXT (sets the header Store-Era of all answers; empty: no such header)
 *     PUT /restore?REVISION (restores a copy of that revision: later writes are lost, revision
 *     numbers are reused, the era increases by one, pending requests are cut)
 *     PUT /deafen (pending requests are never answered nor cut; new ones are answered)
 *
 * Keys and queries are decoded as servers do: %XX is a byte, + a blank. A request whose target
 * holds characters that a target can't hold, or a % without two digits, is answered with 400.
 */
#include "net/http_conn.h"
#include "test/standin_fuzz.h"
#include "test/standin_raw.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Small, so that every list takes several pages. */
#define PAGE_ITEMS 3

/* Longest key in bytes. */
#define KEY_MAX_BYTES 200

/* What a request target may consist of besides %XX (RFC 3986). */
#define TARGET_CHARACTERS                                                                          \
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~:/?@!$&'()*+,;="
#define WATCH_TICK_S 0.01

/* The random list: its largest number of entries, and how many change while its pages are read. */
#define FUZZ_ENTRIES 120
#define FUZZ_CHANGES 30

#define SERVERS_PREFIX "servers/"
#define SOUND_VALUE                                                                                \
  "{\"Service\":\"other\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"hall-a\",\"Slots\":8,"            \
  "\"State\":\"ready\"}"
#define JSON_FIELDS "Content-Type: application/json\r\n"

/* A key, or another text of a query; the empty text is less than all others. */
struct text
{
  uint8_t bytes[KEY_MAX_BYTES];
  size_t length;
};

struct item
{
  struct text key;
  char *value; /* NULL: removed */
  uint64_t revision;
  struct item *prev;
  struct item *next;
};

struct store
{
  struct ash_http_listener listener;
  struct item *items; /* all writes, the oldest first, as the history */
  uint64_t revision;
  size_t page_items;
  uint64_t oldest_watch_revision; /* a watch from an older revision gets 410 */
  char mode[16];
  char odd[16];        /* how pages but the first are answered */
  struct text spoiled; /* a page that would hold this key is refused */
  struct ash_random random;
  uint32_t changes_left; /* while random pages are read */
  uint32_t pages_asked;
  uint32_t odd_answers;
  size_t items_most;
  char era[64];
  char *raw; /* bytes of all answers; NULL: proper answers */
  ev_timer tick;
};

static struct store store;

/* A connection's request member points here if its request is never answered. */
static char never_answered;

/* A connection's request member points here while its request's answer is delayed. */
static char delayed_request;

/* A connection's request member points here while its answer is repeated without end. */
static char endless_answer;

/* ---- texts ---- */

static int
compare (const struct text *a, const struct text *b)
{
  size_t shorter = a->length < b->length ? a->length : b->length;
  int order = memcmp (a->bytes, b->bytes, shorter);

  return order ? order : (a->length > b->length) - (a->length < b->length);
}

static bool
has_prefix (const struct text *text, const struct text *prefix)
{
  return text->length >= prefix->length && memcmp (text->bytes, prefix->bytes, prefix->length) == 0;
}

static int
digit_of (char c)
{
  const char *digits = "0123456789abcdef0123456789ABCDEF";
  const char *found = c ? strchr (digits, c) : NULL;

  return found ? (int) ((found - digits) % 16) : -1;
}

/* Decodes a part of a query. @return false if a % lacks its digits, or the text is too long. */
static bool
decode (const char *part, size_t length, struct text *text)
{
  text->length = 0;
  for (size_t i = 0; i < length; i++)
    {
      int byte = part[i] == '+' ? ' ' : (uint8_t) part[i];

      if (part[i] == '%')
        {
          if (i + 2 >= length || digit_of (part[i + 1]) < 0 || digit_of (part[i + 2]) < 0)
            return false;
          byte = 16 * digit_of (part[i + 1]) + digit_of (part[i + 2]);
          i += 2;
        }
      if (text->length == sizeof text->bytes)
        return false;
      text->bytes[text->length++] = (uint8_t) byte;
    }
  return true;
}

/* Whether the target holds only what a request line can hold. */
static bool
is_target (const char *target)
{
  while (*target)
    {
      target += strspn (target, TARGET_CHARACTERS);
      if (*target == '%' && digit_of (target[1]) >= 0 && digit_of (target[2]) >= 0)
        target += 3;
      else if (*target)
        return false;
    }
  return true;
}

/* ---- items ---- */

static void
add_item (const struct text *key, const char *value)
{
  struct item *item = calloc (1, sizeof *item);

  if (!item)
    abort ();
  item->key = *key;
  item->value = value ? strdup (value) : NULL;
  item->revision = ++store.revision;
  DL_APPEND (store.items, item);
}

/* @return whether this write is the last of its key. */
static bool
is_newest (const struct item *item)
{
  for (const struct item *later = item->next; later; later = later->next)
    if (compare (&later->key, &item->key) == 0)
      return false;
  return true;
}

static json_t *
to_json (const struct item *item)
{
  size_t value_bytes = item->value ? strlen (item->value) : 0;
  size_t text_bytes = sodium_base64_ENCODED_LEN (value_bytes, sodium_base64_VARIANT_ORIGINAL);
  char *text = malloc (text_bytes);
  json_t *object = json_pack ("{s:o, s:I}", "PrivateKey",
                              json_stringn ((const char *) item->key.bytes, item->key.length),
                              "Revision", (json_int_t) item->revision);

  if (!text || !object)
    abort ();
  if (item->value)
    {
      sodium_bin2base64 (text, text_bytes, (const uint8_t *) item->value, value_bytes,
                         sodium_base64_VARIANT_ORIGINAL);
      json_object_set_new (object, "Value", json_string (text));
    }
  else
    json_object_set_new (object, "Removed", json_true ());
  free (text);
  return object;
}

/* ---- requests ---- */

static void
answer_text (struct ash_http_conn *conn, uint16_t status, const char *text)
{
  char fields[160];

  snprintf (fields, sizeof fields, "%s%s%s%s", JSON_FIELDS, *store.era ? "Store-Era: " : "",
            store.era, *store.era ? "\r\n" : "");
  ash_http_conn_respond (conn, status, fields, strlen (fields), text, strlen (text));
}

static void
answer_json (struct ash_http_conn *conn, json_t *object)
{
  char *text = json_dumps (object, JSON_COMPACT);

  answer_text (conn, 200, text);
  free (text);
  json_decref (object);
}

/* @return a parameter of the query, or an empty text. */
static struct text
parameter (const struct ash_http_conn *conn, const char *name)
{
  struct text value = { .length = 0 };
  size_t length = strlen (name);

  for (const char *at = strchr (conn->reader.head.target, '?'); at; at = strchr (at + 1, '&'))
    if (strncmp (at + 1, name, length) == 0 && at[1 + length] == '=')
      {
        const char *start = at + 2 + length;

        if (!decode (start, strcspn (start, "&"), &value))
          value.length = 0;
        break;
      }
  return value;
}

static uint64_t
number_of (const struct ash_http_conn *conn, const char *name)
{
  struct text value = parameter (conn, name);
  char digits[24];

  snprintf (digits, sizeof digits, "%.*s", (int) value.length, (const char *) value.bytes);
  return strtoull (digits, NULL, 10);
}

/* @return the item with the lowest key from @p from on, or above @p above; NULL: none. */
static const struct item *
find_next (const struct text *prefix, const struct text *from, const struct text *above)
{
  const struct item *item;
  const struct item *next = NULL;

  DL_FOREACH (store.items, item)
    if (item->value && has_prefix (&item->key, prefix) && compare (&item->key, from) >= 0 &&
        (!above || compare (&item->key, above) > 0) &&
        (!next || compare (&item->key, &next->key) < 0) && is_newest (item))
      next = item;
  return next;
}

/* ---- the random list ---- */

static void
random_key (struct text *key)
{
  size_t prefix_bytes = strlen (SERVERS_PREFIX);

  memcpy (key->bytes, SERVERS_PREFIX, prefix_bytes);
  key->length = prefix_bytes + standin_fuzz_name (&store.random, key->bytes + prefix_bytes,
                                                  KEY_MAX_BYTES - prefix_bytes);
}

/* Whether the item describes a server. */
static bool
is_server (const struct item *item)
{
  size_t prefix_bytes = strlen (SERVERS_PREFIX);

  return item->value && strcmp (item->value, SOUND_VALUE) == 0 &&
         standin_fuzz_is_server (item->key.bytes + prefix_bytes, item->key.length - prefix_bytes);
}

static size_t
count_items (void)
{
  struct text prefix = { .length = strlen (SERVERS_PREFIX) };
  size_t count = 0;

  memcpy (prefix.bytes, SERVERS_PREFIX, prefix.length);
  for (const struct item *item = find_next (&prefix, &prefix, NULL); item;
       item = find_next (&prefix, &prefix, &item->key))
    count++;
  return count;
}

static void
put_random (void)
{
  struct text key;

  random_key (&key);
  add_item (&key, ash_random_below (&store.random, 4) ? SOUND_VALUE : "no entry");
}

static void
remove_random (void)
{
  struct text prefix = { .length = strlen (SERVERS_PREFIX) };
  struct text from;
  const struct item *item;

  memcpy (prefix.bytes, SERVERS_PREFIX, prefix.length);
  random_key (&from);
  item = find_next (&prefix, &from, NULL);
  if (item)
    add_item (&item->key, NULL);
}

static void
clear_items (void)
{
  struct item *item;
  struct item *next;

  DL_FOREACH_SAFE (store.items, item, next)
    if (item->key.length > strlen (SERVERS_PREFIX) &&
        memcmp (item->key.bytes, SERVERS_PREFIX, strlen (SERVERS_PREFIX)) == 0)
      {
        DL_DELETE (store.items, item);
        free (item->value);
        free (item);
      }
  store.oldest_watch_revision = ++store.revision;
}

static void
reset_counts (void)
{
  store.pages_asked = 0;
  store.odd_answers = 0;
  store.items_most = count_items ();
}

static void
begin_fuzz (uint64_t seed)
{
  static const size_t page_items[] = { 1, 2, 3, 7, 50, 500 };
  uint32_t count;

  ash_random_init (&store.random, seed);
  clear_items ();
  count = 1 + ash_random_below (&store.random, FUZZ_ENTRIES);
  for (uint32_t i = 0; i < count; i++)
    put_random ();
  store.page_items =
      page_items[ash_random_below (&store.random, sizeof page_items / sizeof page_items[0])];
  store.changes_left = FUZZ_CHANGES;
  reset_counts ();
}

/* Changes some entries while a list is read. */
static void
change_some (void)
{
  size_t items;

  if (!store.changes_left)
    return;
  for (uint32_t i = ash_random_below (&store.random, 3); i && store.changes_left; i--)
    {
      store.changes_left--;
      if (ash_random_below (&store.random, 2))
        put_random ();
      else
        remove_random ();
    }
  items = count_items ();
  if (items > store.items_most)
    store.items_most = items;
}

static void
answer_model (struct ash_http_conn *conn)
{
  struct text prefix = { .length = strlen (SERVERS_PREFIX) };
  struct ash_buffer lines = { 0 };

  memcpy (prefix.bytes, SERVERS_PREFIX, prefix.length);
  for (const struct item *item = find_next (&prefix, &prefix, NULL); item;
       item = find_next (&prefix, &prefix, &item->key))
    if (is_server (item))
      ash_buffer_printf (&lines, "%.*s\n", (int) (item->key.length - prefix.length),
                         (const char *) item->key.bytes + prefix.length);
  ash_http_conn_respond (conn, 200, "", 0, lines.length ? lines.bytes + lines.start : NULL,
                         lines.length);
  ash_buffer_finish (&lines);
}

/* ---- answers ---- */

/* How an answer to a request for a page is odd. */
enum odd
{
  ODD_NOT,
  ODD_REFUSED,
  ODD_SAME,
  ODD_EMPTY,
};

static enum odd
odd_of (const struct text *from)
{
  if (store.changes_left && !ash_random_below (&store.random, 6))
    return (enum odd) (1 + ash_random_below (&store.random, 3));
  if (!from->length || !*store.odd)
    return ODD_NOT;
  if (strcmp (store.odd, "refused") == 0)
    return ODD_REFUSED;
  if (strcmp (store.odd, "same") == 0)
    return ODD_SAME;
  return strcmp (store.odd, "empty") == 0 ? ODD_EMPTY : ODD_NOT;
}

static void
answer_range (struct ash_http_conn *conn)
{
  struct text prefix = parameter (conn, "PathPrefix");
  struct text from = parameter (conn, "SinceRevision");
  bool is_servers = prefix.length == strlen (SERVERS_PREFIX);
  enum odd odd = is_servers ? odd_of (&from) : ODD_NOT;
  json_t *items = json_array ();
  const struct item *item;
  bool more;

  if (is_servers)
    {
      change_some ();
      store.pages_asked++;
      store.odd_answers += odd != ODD_NOT;
    }
  if (odd == ODD_SAME)
    from.length = 0;
  item = odd == ODD_EMPTY ? NULL : find_next (&prefix, &from, NULL);
  while (item && json_array_size (items) < store.page_items)
    {
      if (compare (&item->key, &store.spoiled) == 0)
        odd = ODD_REFUSED;
      json_array_append_new (items, to_json (item));
      item = find_next (&prefix, &from, &item->key);
    }
  more = item || odd == ODD_EMPTY;
  if (odd == ODD_REFUSED)
    {
      json_decref (items);
      answer_text (conn, 400, "");
      return;
    }
  answer_json (conn, json_pack ("{s:o, s:b, s:I}", "Items", items, "MorePages", (int) more,
                                "StoreRevision", (json_int_t) store.revision));
}

static void
answer_counts (struct ash_http_conn *conn)
{
  char text[96];
  int length = snprintf (text, sizeof text, "pages=%u odd=%u items=%zu page_items=%zu ",
                         store.pages_asked, store.odd_answers, store.items_most, store.page_items);

  ash_http_conn_respond (conn, 200, "", 0, text, (size_t) length);
}

/* Answers with the writes since the requested revision; without any, only if the wait is over.
 * @return whether it answered. */
static bool
answer_watch (struct ash_http_conn *conn, bool due)
{
  struct text prefix = parameter (conn, "PathPrefix");
  uint64_t since = number_of (conn, "SinceRevision");
  json_t *events = json_array ();
  const struct item *item;

  DL_FOREACH (store.items, item)
    if (item->revision > since && has_prefix (&item->key, &prefix))
      json_array_append_new (events, to_json (item));
  if (!json_array_size (events) && !due)
    {
      json_decref (events);
      return false;
    }
  answer_json (conn, json_pack ("{s:o, s:I}", "events", events, "StoreRevision",
                                (json_int_t) store.revision));
  return true;
}

static void
begin_watch (struct ash_http_conn *conn)
{
  uint64_t since = number_of (conn, "SinceRevision");

  if (since < store.oldest_watch_revision || since > store.revision)
    answer_text (conn, 410, "");
  else if (!answer_watch (conn, false))
    conn->request = conn; /* on_tick() answers it */
}

static void
drop_pending (void)
{
  struct ash_http_conn *conn;

  DL_FOREACH (store.listener.conns, conn)
    if (conn->request)
      conn->request = &never_answered;
}

static void
restore (uint64_t revision)
{
  struct ash_http_conn *conn;
  struct item *item;
  struct item *next;

  DL_FOREACH_SAFE (store.items, item, next)
    if (item->revision > revision)
      {
        DL_DELETE (store.items, item);
        free (item->value);
        free (item);
      }
  store.revision = revision;
  snprintf (store.era, sizeof store.era, "%llu", strtoull (store.era, NULL, 10) + 1);
  DL_FOREACH (store.listener.conns, conn)
    if (conn->request && !conn->is_closed)
      {
        conn->request = NULL;
        ash_stream_reset (&conn->stream);
        conn->is_closed = true;
      }
}

/* Answers with the bytes that the test has set. */
static void
answer_raw (struct ash_http_conn *conn)
{
  standin_raw_send (conn, store.raw, "");
  conn->request = &endless_answer;
  if (strstr (store.raw, "\\*"))
    return;
  standin_raw_end (conn, strcmp (store.mode, "reset") == 0);
}

/* @return the request's body as a string, to be freed. */
static char *
copy_body (const struct ash_http_conn *conn)
{
  const char *bytes = (const char *) conn->body.bytes;

  return conn->body.length ? strndup (bytes + conn->body.start, conn->body.length) : strdup ("");
}

static void
control (struct ash_http_conn *conn, const char *target)
{
  const char *argument = strchr (target, '?');
  char *body = copy_body (conn);
  struct text key;

  argument = argument ? argument + 1 : "";
  if (!decode (argument, strlen (argument), &key))
    key.length = 0;
  if (strncmp (target, "/put", 4) == 0)
    add_item (&key, body);
  else if (strncmp (target, "/raw", 4) == 0)
    {
      free (store.raw);
      store.raw = *body ? strdup (body) : NULL;
    }
  else if (strncmp (target, "/remove", 7) == 0)
    add_item (&key, NULL);
  else if (strncmp (target, "/pages", 6) == 0)
    store.page_items = strtoul (argument, NULL, 10);
  else if (strncmp (target, "/odd", 4) == 0)
    snprintf (store.odd, sizeof store.odd, "%s", argument);
  else if (strncmp (target, "/spoil", 6) == 0)
    store.spoiled = key;
  else if (strncmp (target, "/fuzz", 5) == 0)
    begin_fuzz (strtoull (argument, NULL, 10));
  else if (strncmp (target, "/settle", 7) == 0)
    store.changes_left = 0;
  else if (strncmp (target, "/counts", 7) == 0)
    reset_counts ();
  else if (strncmp (target, "/deafen", 7) == 0)
    drop_pending ();
  else if (strncmp (target, "/era", 4) == 0)
    snprintf (store.era, sizeof store.era, "%s", argument);
  else if (strncmp (target, "/restore", 8) == 0)
    restore (strtoull (argument, NULL, 10));
  else if (strcmp (argument, "forget") == 0)
    store.oldest_watch_revision = store.revision;
  else
    snprintf (store.mode, sizeof store.mode, "%s", argument);
  free (body);
  ash_http_conn_respond (conn, 200, "", 0, "", 0);
}

/* @return by how much answers are delayed. */
static int64_t
delay_ms (void)
{
  size_t length = strlen ("slow");

  return strncmp (store.mode, "slow", length) == 0 ? strtoll (store.mode + length, NULL, 10) : 0;
}

static void
answer_request (struct ash_http_conn *conn)
{
  const char *target = conn->reader.head.target;

  if (!is_target (target))
    ash_http_conn_respond (conn, 400, "", 0, "", 0);
  else if (strcmp (target, "/model") == 0)
    answer_model (conn);
  else if (strcmp (target, "/counts") == 0)
    answer_counts (conn);
  else if (strncmp (target, "/kv-range", 9) == 0)
    answer_range (conn);
  else if (strncmp (target, "/kv-watch", 9) == 0)
    begin_watch (conn);
  else
    ash_http_conn_respond (conn, 404, "", 0, "", 0);
}

static void
on_request (struct ash_http_conn *conn)
{
  if (strcmp (conn->reader.head.method, "PUT") == 0)
    control (conn, conn->reader.head.target);
  else if (store.raw)
    answer_raw (conn);
  else if (strcmp (store.mode, "busy") == 0)
    ash_http_conn_respond (conn, 503, "", 0, "", 0);
  else if (strcmp (store.mode, "silent") == 0)
    return;
  else if (delay_ms ())
    conn->request = &delayed_request;
  else
    answer_request (conn);
}

static void
on_disconnected (struct ash_http_conn *conn)
{
  conn->request = NULL;
}

static const struct ash_conn_handler handler = { on_request, on_disconnected, NULL };

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_time now = ash_clock_now ();
  struct ash_http_conn *conn = NULL;
  struct ash_http_conn *next = NULL;

  (void) loop;
  (void) timer;
  (void) events;
  DL_FOREACH_SAFE (store.listener.conns, conn, next)
    {
      int64_t wait_ms;

      if (!conn->request || conn->request == &never_answered || conn->is_closed)
        continue;
      if (conn->request == &endless_answer)
        {
          standin_raw_repeat (conn, store.raw ? store.raw : "",
                              strcmp (store.mode, "trickle") ? STANDIN_RAW_QUEUE_BYTES : 1);
          continue;
        }
      wait_ms = (int64_t) number_of (conn, "WaitMs");
      if (strcmp (store.mode, "silent") == 0)
        continue; /* neither answered nor cut */
      if (conn->request == &delayed_request)
        {
          if (ash_time_diff (conn->since, now) < delay_ms ())
            continue;
          conn->request = NULL;
          answer_request (conn);
        }
      else if (strcmp (store.mode, "ok") != 0 && !delay_ms ())
        {
          conn->request = NULL;
          ash_stream_reset (&conn->stream);
          conn->is_closed = true;
        }
      else if (answer_watch (conn, ash_time_diff (conn->since, now) >= wait_ms))
        conn->request = NULL;
    }
}

int
main (int argc, char **argv)
{
  struct ev_loop *loop = ev_default_loop (EVFLAG_AUTO);
  char address[32];

  if (argc != 2 || sodium_init () < 0)
    {
      fprintf (stderr, "usage: standin-store PORT\n");
      return EXIT_FAILURE;
    }
  store.page_items = PAGE_ITEMS;
  snprintf (store.mode, sizeof store.mode, "ok");
  snprintf (address, sizeof address, "127.0.0.1:%s", argv[1]);
  if (!ash_http_listen (&store.listener, loop, address, &handler, NULL))
    {
      perror (address);
      return EXIT_FAILURE;
    }
  ev_timer_init (&store.tick, on_tick, WATCH_TICK_S, WATCH_TICK_S);
  ev_timer_start (loop, &store.tick);
  ev_run (loop, 0);
  return EXIT_SUCCESS;
}
