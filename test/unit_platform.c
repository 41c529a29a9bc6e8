/**
 * @file
 * Unit tests of the platform's formats, and of HTTP: messages, event streams, and TCP keep-alive of
 * connections.
 */
#include "common/random.h"
#include "net/event_stream.h"
#include "net/http_client.h"
#include "net/http_message.h"
#include "net/stream.h"
#include "net/url.h"
#include "platform/directory.h"
#include "platform/message.h"
#include "platform/rank.h"
#include "platform/store.h"
#include "test/unit.h"

#include <ctype.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* ---- the platform's formats ---- */

static void
test_rank_formats (void)
{
  static const char report_text[] =
      "{\"Stage\":\"unified\",\"Queued\":1,\"Active\":12,\"step\":812,\"Map\":3,\"Prepared\":4,"
      "\"Armed\":0,\"held\":815,\"pace\":1.5,\"group\":{\"Name\":\"g0-1\",\"epoch\":2,\"rank\":5,"
      "\"State\":\"open\",\"size\":8}}";
  static const char lists_text[] =
      "{\"epoch\":2,\"step\":9,\"Map\":{\"Version\":3,\"Experts\":"
      "[[0,4],[1]]},\"Prepared\":{\"Version\":6,\"Experts\":[[0],[1]]}}";
  struct ash_rank_report report;
  struct ash_layer_map map = {
    .layer_count = 2, .rank_count = 1, .slot_count = 2, .expert_count = 8
  };
  struct ash_rank_order order = { ASH_RANK_PREPARE, 0, 2, 7, 0 };
  struct ash_buffer out = { 0 };
  struct ash_buffer body = { 0 };
  struct ash_rank_lists lists;

  CU_ASSERT (ash_platform_report_read (report_text, sizeof report_text - 1, &report));
  CU_ASSERT_STRING_EQUAL (report.group, "g0-1");
  CU_ASSERT (report.epoch == 2 && report.rank == 5 && report.rank_count == 8 && !report.broken);
  CU_ASSERT (report.step == 812 && report.map == 3 && report.prepared == 4 && report.held == 815);
  CU_ASSERT_FALSE (ash_platform_report_read ("nothing", 7, &report));
  CU_ASSERT (ash_platform_lists_read (lists_text, sizeof lists_text - 1, 0, &map, &lists));
  CU_ASSERT (lists.epoch == 2 && lists.prepared == 6);
  CU_ASSERT (map.version == 3 && map.slots[0][0][1] == 4 && map.slots[1][0][1] == ASH_NO_EXPERT);
  ash_platform_order_body (&body, &order, &map);
  ash_platform_rank_order (&out, "x:1", &body);
  ash_buffer_append (&out, "", 1);
  CU_ASSERT_PTR_NOT_NULL (strstr ((char *) out.bytes, "\"Operation\":\"prepare\""));
  CU_ASSERT_PTR_NOT_NULL (strstr ((char *) out.bytes, "\"Map\":[[[0,4]],[[1]]]"));
  ash_buffer_finish (&out);
  ash_buffer_finish (&body);
  /* Expert 4 does not exist. */
  map.expert_count = 4;
  CU_ASSERT_FALSE (ash_platform_lists_read (lists_text, sizeof lists_text - 1, 0, &map, &lists));
}

static void
count_item (void *data, const struct ash_store_item *item)
{
  uint32_t *seen = data;

  seen[0]++;
  seen[1] += item->removed;
  if (strcmp (item->name, "i-1") == 0 && item->value_bytes == 5)
    seen[2] += memcmp (item->value, "hello", 5) == 0;
  seen[3] += !item->removed && item->value_bytes == 0;
}

static void
test_store_format (void)
{
  static const char text[] =
      "{\"Items\":[{\"PrivateKey\":\"servers/i-1\",\"Value\":\"aGVsbG8=\",\"Revision\":3},"
      "{\"PrivateKey\":\"servers/i-2\",\"Revision\":4,\"Removed\":true},"
      "{\"PrivateKey\":\"other/key\",\"Value\":\"aGVsbG8=\"},"
      "{\"PrivateKey\":\"servers/i-3\",\"Value\":\"not base 64!\"}],"
      "\"MorePages\":true,\"StoreRevision\":9}";
  uint32_t seen[4] = { 0 };
  struct ash_store_item_handler taker = { count_item, seen };
  struct ash_store_answer answer;

  CU_ASSERT (ash_platform_store_read (text, sizeof text - 1, &taker, &answer));
  /* An item whose value can't be decoded still counts as an item: it replaces the previous
   * value. */
  CU_ASSERT (seen[0] == 3 && seen[1] == 1 && seen[2] == 1 && seen[3] == 1);
  CU_ASSERT (answer.revision == 9 && answer.more);
  CU_ASSERT (strcmp (answer.next_page, "servers/i-3") > 0);
  CU_ASSERT_FALSE (ash_platform_store_read ("{}", 2, &taker, &answer));
}

static void
test_url_escape (void)
{
  char text[32];
  char byte[2] = "";

  CU_ASSERT (ash_url_escape (text, sizeof text, "servers/a-b_c.d~9"));
  CU_ASSERT_STRING_EQUAL (text, "servers%2Fa-b_c.d~9");
  CU_ASSERT (ash_url_escape (text, sizeof text, "&+#% \xc3\xa4"));
  CU_ASSERT_STRING_EQUAL (text, "%26%2B%23%25%20%C3%A4");
  /* No byte other than those of RFC 3986's unreserved set stays as it is. */
  for (int i = 1; i < 256; i++)
    {
      byte[0] = (char) i;
      CU_ASSERT (ash_url_escape (text, sizeof text, byte));
      CU_ASSERT_EQUAL (strlen (text) == 1, (i < 128 && isalnum (i)) || strchr ("-._~", i) != NULL);
    }
  CU_ASSERT (ash_url_escape (text, 4, "&"));
  CU_ASSERT_FALSE (ash_url_escape (text, 3, "&"));
  CU_ASSERT_FALSE (ash_url_escape (text, 0, ""));
}

/* One key that is no text made a whole page unreadable, and a list with it. */
static void
test_odd_keys (void)
{
  static const char *const odd[] = {
    "servers/a\\u0000b",       "servers/i-1\\u0000",       "op/evacuate/hall\\u0000",
    "op/config\\u0000",        "servers/a\\ud800",         "servers/a\\udc00b",
    "servers/a\\ud800\\u0041", "servers/a\\ud800\\ud800b", "servers/a\xff",
    "servers/a\xc3",           "servers/a\xe2\x82",        "servers/a\xed\xa0\x80",
    "servers/a\xf8\x88\x80z",  "servers/a\xc0\x80",        "servers/\xf4\x90\x80\x80",
  };

  for (size_t i = 0; i < sizeof odd / sizeof odd[0]; i++)
    for (int last = 0; last < 2; last++)
      {
        static const char sound[] = "{\"PrivateKey\":\"servers/i-1\",\"Value\":\"aGVsbG8=\"}";
        uint32_t seen[4] = { 0 };
        struct ash_store_item_handler taker = { count_item, seen };
        struct ash_store_answer answer;
        char text[400];
        int length = snprintf (
            text, sizeof text,
            "{\"Items\":[%s%s{\"PrivateKey\":\"%s\",\"Value\":\"\"}%s%s],\"MorePages\":true,"
            "\"StoreRevision\":9}",
            last ? sound : "", last ? "," : "", odd[i], last ? "" : ",", last ? "" : sound);

        CU_ASSERT (ash_platform_store_read (text, (size_t) length, &taker, &answer));
        CU_ASSERT_EQUAL (seen[2], 1);
        CU_ASSERT (strcmp (answer.next_page, last ? "" : "servers/i-1") > 0);
      }
}

static void
count_kind (void *data, const struct ash_store_item *item)
{
  uint32_t *seen = data;

  seen[item->kind]++;
}

static void
test_foreign_keys (void)
{
  static const char text[] =
      "{\"Items\":[{\"PrivateKey\":\"op/config\"},{\"PrivateKey\":\"op/config\\u0000\"},"
      "{\"PrivateKey\":\"op/evacuate/a b\"},{\"PrivateKey\":\"op/evacuate/a\\u0000b\"},"
      "{\"PrivateKey\":\"servers/i-1\"},{\"PrivateKey\":\"servers/i-1\\u0000\"},"
      "{\"PrivateKey\":\"servers/\"},{\"PrivateKey\":\"servers/a b\"},"
      "{\"PrivateKey\":\"servers/a/b\"},{\"PrivateKey\":\"servers/a\\r\\nX: 1\"},"
      "{\"PrivateKey\":7},{\"Value\":\"\"}],\"StoreRevision\":9}";
  uint32_t seen[4] = { 0 };
  struct ash_store_item_handler taker = { count_kind, seen };
  struct ash_store_answer answer;

  CU_ASSERT (ash_platform_store_read (text, sizeof text - 1, &taker, &answer));
  CU_ASSERT (seen[ASH_STORE_ITEM_CONFIG] == 1 && seen[ASH_STORE_ITEM_EVACUATION] == 1);
  CU_ASSERT (seen[ASH_STORE_ITEM_SERVER] == 1 && seen[ASH_STORE_ITEM_FOREIGN] == 6);
}

/* The next page skipped names with a character below the one that was appended to the last key. */
static void
test_key_after (void)
{
  static const struct
  {
    const char *key;
    size_t key_bytes;
    const char *page;
  } rows[] = {
    { "servers/m-x", 11, "servers/m-x " },
    { "servers/m-x y", 13, "servers/m-x y " },
    { "servers/a\0b", 11, "servers/a " },
    { "servers/a\r\nb", 12, "servers/a " },
    { "servers/a\x7f", 10, "servers/a\xf4\x8f\xbf\xbf" },
    { "servers/a\xef\xbf\xbd"
      "b",
      13, "servers/a\xf4\x8f\xbf\xbf" },
    { "servers/\xc3\xa4", 10, "servers/\xc3\xa4 " },
    { "", 0, " " },
  };
  struct ash_random random;
  char page[ASH_STORE_PAGE_BYTES];
  char later[ASH_STORE_PAGE_BYTES];
  char key[400];

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      ash_store_key_after (page, rows[i].key, rows[i].key_bytes);
      CU_ASSERT_STRING_EQUAL (page, rows[i].page);
    }
  /* Any key, also one longer than the store's are: what follows is above it, and advances. */
  ash_random_init (&random, 7);
  for (int i = 0; i < 20000; i++)
    {
      size_t length = ash_random_below (&random, i % 2 ? 12 : sizeof key);

      for (size_t k = 0; k < length; k++)
        key[k] = (char) (1 + ash_random_below (&random, 0x7e));
      ash_store_key_after (page, key, length);
      key[length < sizeof key ? length : sizeof key - 1] = '\0';
      CU_ASSERT (strcmp (page, key) > 0);
      ash_store_key_after (later, page, strlen (page));
      CU_ASSERT (strcmp (later, page) > 0 || strlen (page) > 160);
    }
}

#define LISTED_KEYS 40

/* A list of which some keys can't be had. */
struct spoiled_list
{
  char keys[LISTED_KEYS][8]; /* in order */
  bool is_spoiled[LISTED_KEYS];
  bool is_read[LISTED_KEYS];
  size_t page_items;
};

static int
compare_keys (const void *a, const void *b)
{
  return strcmp (a, b);
}

static void
make_list (struct spoiled_list *list, struct ash_random *random)
{
  *list = (struct spoiled_list){ .page_items = 1 + ash_random_below (random, 9) };
  for (int i = 0; i < LISTED_KEYS; i++)
    snprintf (list->keys[i], sizeof list->keys[i], "s/%c%c%02d",
              'a' + (int) ash_random_below (random, 3), '~' - (int) ash_random_below (random, 3),
              i);
  qsort (list->keys, LISTED_KEYS, sizeof list->keys[0], compare_keys);
  for (uint32_t i = ash_random_below (random, 4); i; i--)
    list->is_spoiled[ash_random_below (random, LISTED_KEYS)] = true;
}

/* Reads the page at pages->page, or leaves it out. @return whether the list has been read. */
static bool
read_list_page (struct spoiled_list *list, struct ash_store_pages *pages)
{
  char next[ASH_STORE_PAGE_BYTES] = "";
  size_t first = 0;
  size_t end;

  while (first < LISTED_KEYS && strcmp (list->keys[first], pages->page) < 0)
    first++;
  end = first + list->page_items < LISTED_KEYS ? first + list->page_items : LISTED_KEYS;
  for (size_t i = first; i < end; i++)
    if (list->is_spoiled[i])
      {
        ash_store_pages_skip (pages, strlen ("s/"));
        return false;
      }
  for (size_t i = first; i < end; i++)
    list->is_read[i] = true;
  if (first < end)
    ash_store_key_after (next, list->keys[end - 1], strlen (list->keys[end - 1]));
  return ash_store_pages_advance (pages, end < LISTED_KEYS, next) == ASH_STORE_PAGES_END;
}

/* Reads until only what can't be had is left. @return whether nothing is. */
static bool
read_around (struct spoiled_list *list, struct ash_store_pages *pages)
{
  for (int calls = 0; calls < 200; calls++)
    {
      if (read_list_page (list, pages))
        return true;
      if (pages->filling || !*pages->page)
        return false;
    }
  CU_FAIL ("pages are asked for without end");
  return false;
}

static bool
is_left_out (const struct ash_store_pages *pages, const char *key)
{
  return !*pages->page ||
         (strcmp (key, pages->gap) >= 0 && (!*pages->gap_end || strcmp (key, pages->gap_end) < 0));
}

/* What can be had is read, what can't be had is all that is left, and is read once it can be. */
static void
test_store_pages (void)
{
  struct spoiled_list list;
  struct ash_random random;

  ash_random_init (&random, 5);
  for (int round = 0; round < 5000; round++)
    {
      struct ash_store_pages pages = { 0 };
      bool has_ended;

      make_list (&list, &random);
      has_ended = read_around (&list, &pages);
      for (int i = 0; i < LISTED_KEYS; i++)
        CU_ASSERT (list.is_read[i] || (!has_ended && is_left_out (&pages, list.keys[i])));
      memset (list.is_spoiled, 0, sizeof list.is_spoiled);
      for (int calls = 0; !has_ended && calls <= LISTED_KEYS; calls++)
        has_ended = read_list_page (&list, &pages);
      CU_ASSERT (has_ended);
      for (int i = 0; i < LISTED_KEYS; i++)
        CU_ASSERT (list.is_read[i]);
    }
}

/* An answer whose revisions are none would move the router's position to where no later answer
 * counts: nothing of it is used. */
static void
test_store_revisions (void)
{
  static const char *const odd[] = {
    "-1", "1.5", "\"9\"", "null", "1e3", "1000000000000", "9223372036854775807", "[9]",
  };
  uint32_t seen[4] = { 0 };
  struct ash_store_item_handler taker = { count_item, seen };
  struct ash_store_answer answer;
  char text[256];
  int length;

  for (size_t i = 0; i < sizeof odd / sizeof odd[0]; i++)
    {
      length =
          snprintf (text, sizeof text,
                    "{\"Items\":[{\"PrivateKey\":\"servers/i-1\",\"Revision\":3,\"Value\":\"\"}],"
                    "\"StoreRevision\":%s}",
                    odd[i]);
      CU_ASSERT_FALSE (ash_platform_store_read (text, (size_t) length, &taker, &answer));
      length =
          snprintf (text, sizeof text,
                    "{\"events\":[{\"PrivateKey\":\"servers/i-1\",\"Revision\":3,\"Value\":\"\"},"
                    "{\"PrivateKey\":\"servers/i-2\",\"Revision\":%s,\"Value\":\"\"}],"
                    "\"StoreRevision\":9}",
                    odd[i]);
      CU_ASSERT_FALSE (ash_platform_store_read (text, (size_t) length, &taker, &answer));
    }
  length = snprintf (text, sizeof text, "{\"Items\":[7],\"StoreRevision\":9}");
  CU_ASSERT_FALSE (ash_platform_store_read (text, (size_t) length, &taker, &answer));
  length = snprintf (text, sizeof text, "{\"Items\":[]}");
  CU_ASSERT_FALSE (ash_platform_store_read (text, (size_t) length, &taker, &answer));
  CU_ASSERT_EQUAL (seen[0], 0);
}

/* @return the member of the entry that is invalid, or an empty text. */
static const char *
read_entry (const char *text, struct ash_direct_facts *facts)
{
  const char *wrong = ash_platform_server_read ("i", (const uint8_t *) text, strlen (text), facts);

  return wrong ? wrong : "";
}

#define ENTRY "\"Service\":\"s\",\"Address\":\"1.2.3.4:5\",\"Zone\":\"z\""

/* Entries of other writers must be checked: an unknown state was treated as ready, and slots of
 * another type as 0. */
static void
test_server_entries (void)
{
  static const char *const odd_addresses[] = { "1.2.3.4:65536", "1.2.3.4:0",   "1.2.3.4:-1",
                                               "1.2.3.4:",      "1.2.3.4",     "1.2.3.4:80x",
                                               "1.2.3.256:80",  "host:80",     ":80",
                                               "1.2.3.4:1e3",   "1.2.3.4: 80", "[::1]:80" };
  struct ash_direct_facts facts;

  CU_ASSERT_STRING_EQUAL (
      read_entry ("{" ENTRY ",\"Slots\":6,\"State\":\"ready\",\"born\":7,\"more\":[]}", &facts),
      "");
  CU_ASSERT (facts.slots == 6 && !facts.draining && facts.born_ms == 7);
  CU_ASSERT_STRING_EQUAL (read_entry ("{" ENTRY ",\"Slots\":6,\"State\":\"draining\"}", &facts),
                          "");
  CU_ASSERT (facts.draining && facts.born_ms == 0);
  CU_ASSERT_STRING_EQUAL (read_entry ("{" ENTRY ",\"Slots\":6,\"State\":\"asleep\"}", &facts),
                          "State");
  CU_ASSERT_STRING_EQUAL (read_entry ("{" ENTRY ",\"Slots\":6,\"State\":1}", &facts), "State");
  CU_ASSERT_STRING_EQUAL (read_entry ("{" ENTRY ",\"Slots\":6}", &facts), "State");
  CU_ASSERT_STRING_EQUAL (read_entry ("{" ENTRY ",\"Slots\":\"6\",\"State\":\"ready\"}", &facts),
                          "Slots");
  CU_ASSERT_STRING_EQUAL (read_entry ("{" ENTRY ",\"Slots\":-1,\"State\":\"ready\"}", &facts),
                          "Slots");
  CU_ASSERT_STRING_EQUAL (read_entry ("{" ENTRY ",\"Slots\":0,\"State\":\"ready\"}", &facts),
                          "Slots");
  CU_ASSERT_STRING_EQUAL (
      read_entry ("{" ENTRY ",\"Slots\":4294967290,\"State\":\"ready\"}", &facts), "Slots");
  CU_ASSERT_STRING_EQUAL (
      read_entry ("{" ENTRY ",\"Slots\":6,\"State\":\"ready\",\"born\":\"7\"}", &facts), "born");
  CU_ASSERT_STRING_EQUAL (
      read_entry ("{\"Service\":\"s\",\"Address\":\"1.2.3.4:5\",\"Slots\":6,\"State\":\"ready\"}",
                  &facts),
      "Zone");
  CU_ASSERT_STRING_EQUAL (
      read_entry ("{\"Address\":\"1.2.3.4:5\",\"Zone\":\"z\",\"Slots\":6,\"State\":\"ready\"}",
                  &facts),
      "Service");
  CU_ASSERT_STRING_EQUAL (
      read_entry (
          "{\"Service\":\"s\",\"Address\":5,\"Zone\":\"z\",\"Slots\":6,\"State\":\"ready\"}",
          &facts),
      "Address");
  for (size_t i = 0; i < sizeof odd_addresses / sizeof odd_addresses[0]; i++)
    {
      char text[160];

      snprintf (text, sizeof text,
                "{\"Service\":\"s\",\"Address\":\"%s\",\"Zone\":\"z\",\"Slots\":6,"
                "\"State\":\"ready\"}",
                odd_addresses[i]);
      CU_ASSERT_STRING_EQUAL (read_entry (text, &facts), "Address");
    }
  CU_ASSERT_STRING_EQUAL (read_entry ("{}", &facts), "Service");
  CU_ASSERT_STRING_EQUAL (read_entry ("[1]", &facts), "not a JSON object");
  CU_ASSERT_STRING_EQUAL (read_entry ("\xff\xfe", &facts), "not a JSON object");
  CU_ASSERT_STRING_EQUAL (read_entry ("", &facts), "not a JSON object");
}

static const struct ash_http_head *kept_head;

static void
keep_head (void *data, const struct ash_http_head *head)
{
  (void) data;
  kept_head = head;
}

static void
ignore_body (void *data, const uint8_t *bytes, size_t length)
{
  (void) data;
  (void) bytes;
  (void) length;
}

static const struct ash_http_handler keeper = { keep_head, ignore_body };

static void
test_message_format (void)
{
  static const char text[] =
      "POST /a/b?c HTTP/1.1\r\nHost: h\r\nAshspindle-Attempt-Id: id-1\r\nTE: x\r\n"
      "Connection: X-Hop, Ashspindle-Attempt-Id\r\nX-Hop: 1\r\nX-Own: 2\r\n"
      "Ashspindle-Token-Count: 900,80\r\nAuthorization: bearer  key\r\n"
      "ashspindle-TENANT: forged\r\nAshspindle-Request-Urgency: 0\r\n\r\n";
  struct ash_http_reader reader;
  struct ash_request_fields facts;
  struct ash_endpoint_request_fields order = { .deadline_ms = 70,
                                               .endpoint_id = "i-1",
                                               .urgency = -1 };
  struct ash_buffer none = { 0 };
  struct ash_buffer out = { 0 };
  const char *sent;

  ash_http_reader_init (&reader, ASH_HTTP_REQUEST, &keeper, NULL);
  CU_ASSERT_EQUAL (ash_http_reader_feed (&reader, (const uint8_t *) text, sizeof text - 1),
                   sizeof text - 1);
  CU_ASSERT_PTR_NOT_NULL_FATAL (kept_head);
  ash_platform_request_read (kept_head, &facts);
  CU_ASSERT_STRING_EQUAL (facts.key, "key");
  CU_ASSERT (facts.prompt_tokens == 900 && facts.answer_tokens_max == 80);
  CU_ASSERT (ash_platform_request_write (&out, kept_head, &order, &none));
  ash_buffer_append (&out, "", 1);
  sent = (const char *) out.bytes;
  CU_ASSERT_EQUAL (strncmp (sent, "POST /a/b?c HTTP/1.1\r\nHost: h\r\n", 31), 0);
  /* The header fields that identify the request are kept even if Connection lists them; values that
   * the caller sets for fields of the system are removed. */
  CU_ASSERT_PTR_NOT_NULL (strstr (sent, "Ashspindle-Attempt-Id: id-1\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (sent, "X-Own: 2\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (sent, "Ashspindle-Deadline-Ms: 70\r\n"));
  CU_ASSERT_PTR_NULL (strstr (sent, "X-Hop"));
  CU_ASSERT_PTR_NULL (strstr (sent, "forged"));
  CU_ASSERT_PTR_NULL (strstr (sent, "Urgency"));
  CU_ASSERT_PTR_NULL (strstr (sent, "key"));
  CU_ASSERT_PTR_NULL (strstr (sent, "Content-Length"));
  ash_buffer_finish (&out);
  ash_http_reader_finish (&reader);
}

static struct ash_prompt_parts
read_parts (const char *value)
{
  struct ash_http_reader reader;
  struct ash_request_fields facts;
  char text[1024];
  int length =
      snprintf (text, sizeof text, "GET / HTTP/1.1\r\nAshspindle-Prefix-Hash: %s\r\n\r\n", value);

  ash_http_reader_init (&reader, ASH_HTTP_REQUEST, &keeper, NULL);
  kept_head = NULL;
  ash_http_reader_feed (&reader, (const uint8_t *) text, (size_t) length);
  CU_ASSERT_PTR_NOT_NULL_FATAL (kept_head);
  ash_platform_request_read (kept_head, &facts);
  ash_http_reader_finish (&reader);
  return facts.parts;
}

/* The parts of a prompt, without the last one. Damaged names and sizes, repeated parts and any
 * number of parts leave a bounded list. */
static void
test_prompt_parts (void)
{
  struct ash_prompt_parts parts = read_parts ("5c1e07a2:800, 91BD3F06:410,e4402b7d:250");
  char text[1024] = "";

  CU_ASSERT (parts.count == 2 && parts.ids[0] == 0x5c1e07a2 && parts.ids[1] == 0x91bd3f06);
  CU_ASSERT_EQUAL (read_parts ("").count, 0);
  CU_ASSERT_EQUAL (read_parts ("aa:1").count, 0);
  CU_ASSERT_EQUAL (read_parts ("aa:1,").count, 1);
  CU_ASSERT_EQUAL (read_parts (",:,:5,,").count, 0);
  CU_ASSERT_EQUAL (read_parts ("aa:1,bb:2,aa:1,AA,cc:3").count, 2);
  parts = read_parts ("no-hex:x,no-hex:y,11112222333344445:1,z");
  CU_ASSERT (parts.count == 2 && parts.ids[0] != parts.ids[1]);
  for (int i = 0; i < 100; i++)
    snprintf (text + strlen (text), sizeof text - strlen (text), "%x:1,", i);
  CU_ASSERT_EQUAL (read_parts (text).count, ASH_PROMPT_PARTS_MAX);
}

/* @return the endpoint's terms that an answer with that status and those header fields contains. */
static struct ash_endpoint_terms
read_terms (int status, const char *fields)
{
  struct ash_http_reader reader;
  struct ash_answer_fields facts;
  char text[256];
  int length =
      snprintf (text, sizeof text, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n%s\r\n", status, fields);

  ash_http_reader_init (&reader, ASH_HTTP_RESPONSE, &keeper, NULL);
  kept_head = NULL;
  ash_http_reader_feed (&reader, (const uint8_t *) text, (size_t) length);
  CU_ASSERT_PTR_NOT_NULL_FATAL (kept_head);
  ash_platform_answer_read (kept_head, &facts);
  ash_http_reader_finish (&reader);
  return facts.terms;
}

static void
test_terms_format (void)
{
  static const char *const no_numbers[] = { "", "none", "-1", "1.4x", "nan", "1,4" };
  char fields[64];

  CU_ASSERT_EQUAL (read_terms (200, "").limit_milli, 0);
  CU_ASSERT_EQUAL (read_terms (200, "Server-Limit: 1.4\r\n").limit_milli, 1400);
  CU_ASSERT_EQUAL (read_terms (503, "server-limit: 20\r\n").limit_milli, 20000);
  /* A limit that is out of range still counts as a limit. */
  CU_ASSERT_EQUAL (read_terms (200, "Server-Limit: 0\r\n").limit_milli, 1);
  CU_ASSERT_EQUAL (read_terms (200, "Server-Limit: 1e300\r\n").limit_milli, UINT32_MAX);
  for (size_t i = 0; i < sizeof no_numbers / sizeof no_numbers[0]; i++)
    {
      snprintf (fields, sizeof fields, "Server-Limit: %s\r\n", no_numbers[i]);
      CU_ASSERT_EQUAL (read_terms (200, fields).limit_milli, 0);
    }
  CU_ASSERT_EQUAL (read_terms (503, "Retry-After: 3\r\n").backoff_ms, 3000);
  CU_ASSERT_EQUAL (read_terms (503, "Retry-After: 0.25\r\n").backoff_ms, 250);
  CU_ASSERT_EQUAL (read_terms (503, "Retry-After: Thu, 03 Dec 2026 10:00:00 GMT\r\n").backoff_ms,
                   0);
  /* Retry-After counts only in answers that reject a request. */
  CU_ASSERT_EQUAL (read_terms (200, "Retry-After: 3\r\n").backoff_ms, 0);
  CU_ASSERT (read_terms (500, "Server-Leaving: 1\r\n").leaving);
  CU_ASSERT_FALSE (read_terms (200, "Server-Leaving: 0\r\n").leaving);
  CU_ASSERT_FALSE (read_terms (200, "").leaving);
}

static void
test_directory_format (void)
{
  const char *const addresses[] = { "10.0.0.1:80", "10.0.0.2:80" };
  struct ash_buffer out = { 0 };

  CU_ASSERT (ash_platform_directory_write (&out, addresses, 2, 1500));
  ash_buffer_append (&out, "", 1);
  CU_ASSERT_STRING_EQUAL ((char *) out.bytes,
                          "{\"Addresses\":[\"10.0.0.1:80\",\"10.0.0.2:80\"],\"TtlS\":2}");
  ash_buffer_finish (&out);
}

/* ---- HTTP messages ---- */

/* Reads @p text as one message, a byte at a time. @param done receives whether the message is
 * complete. @return the error. */
static enum ash_http_error
read_message (enum ash_http_kind kind, const char *text, bool *done)
{
  struct ash_http_reader reader;
  enum ash_http_error error;

  ash_http_reader_init (&reader, kind, &keeper, NULL);
  reader.body_max_bytes = 100;
  for (size_t i = 0; i < strlen (text) && !reader.error && !reader.done; i++)
    ash_http_reader_feed (&reader, (const uint8_t *) text + i, 1);
  error = reader.error;
  *done = reader.done || ash_http_reader_eof (&reader);
  ash_http_reader_finish (&reader);
  return error;
}

static void
test_strict_messages (void)
{
  static const struct
  {
    enum ash_http_kind kind;
    const char *text;
    enum ash_http_error error;
    bool done;
  } cases[] = {
    { ASH_HTTP_REQUEST, "GET / HTTP/1.1\r\nHost: x\r\n\r\n", ASH_HTTP_OK, true },
    { ASH_HTTP_REQUEST, "GET / HTTP/1.1\r\nHost : x\r\n\r\n", ASH_HTTP_MALFORMED, false },
    { ASH_HTTP_REQUEST, "GET / HTTP/1.1\r\nHo st: x\r\n\r\n", ASH_HTTP_MALFORMED, false },
    { ASH_HTTP_REQUEST, "GET / HTTP/1.1\nHost: x\n\n", ASH_HTTP_MALFORMED, false },
    { ASH_HTTP_REQUEST, "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", ASH_HTTP_MALFORMED, false },
    { ASH_HTTP_REQUEST, "GET / HTTP/1.1\r\nA: b\rc\r\n\r\n", ASH_HTTP_MALFORMED, false },
    { ASH_HTTP_REQUEST, "GET / HTTP/2.0\r\n\r\n", ASH_HTTP_MALFORMED, false },
    { ASH_HTTP_REQUEST, "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", ASH_HTTP_BODY_TOO_LARGE,
      false },
    { ASH_HTTP_REQUEST, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n", ASH_HTTP_OK,
      false },
    { ASH_HTTP_REQUEST, "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
      ASH_HTTP_UNSUPPORTED_CODING, false },
    { ASH_HTTP_REQUEST,
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
      ASH_HTTP_UNSUPPORTED_CODING, false },
    { ASH_HTTP_RESPONSE, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", ASH_HTTP_OK, true },
    { ASH_HTTP_RESPONSE, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", ASH_HTTP_OK, false },
    { ASH_HTTP_RESPONSE, "HTTP/1.1 200 OK\r\n\r\nto its end", ASH_HTTP_OK, true },
    { ASH_HTTP_RESPONSE, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
      ASH_HTTP_OK, false },
    { ASH_HTTP_RESPONSE, "rubbish", ASH_HTTP_MALFORMED, false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      bool done;
      enum ash_http_error error = read_message (cases[i].kind, cases[i].text, &done);

      CU_ASSERT_EQUAL (error, cases[i].error);
      CU_ASSERT_EQUAL (done, cases[i].done);
      if (error != cases[i].error || done != cases[i].done)
        printf ("\n%s\n", cases[i].text);
    }
}

/* ---- event streams ---- */

static void
test_events (void)
{
  static const char text[] = ": hello\n\nid: 7\ndata: a\ndata: b\n\nid:8\r\ndata: c\r\n\r\ndata: d";
  struct ash_event_stream stream;
  struct ash_stream_event event;
  int64_t ids[8];
  int count = 0;

  ash_event_stream_init (&stream);
  /* Fed a byte at a time, the parser yields the same events. */
  for (size_t i = 0; i < sizeof text - 1; i++)
    {
      CU_ASSERT (ash_event_stream_feed (&stream, (const uint8_t *) text + i, 1));
      while (ash_event_stream_next (&stream, &event))
        {
          ids[count++] = event.has_id ? event.id : -1;
          ash_event_stream_drop (&stream, &event);
        }
    }
  CU_ASSERT_EQUAL (count, 3);
  CU_ASSERT (ids[0] == -1 && ids[1] == 7 && ids[2] == 8);
  CU_ASSERT_FALSE (ash_event_stream_is_empty (&stream));
  ash_event_stream_finish (&stream);
}

/* Guards against events of a resumed stream that pass for one, so that one of them comes twice or
 * not at all: what is known of a broken event is forgotten with its bytes. */
static void
test_events_after_broken_one (void)
{
  static const char broken[] = "id: 4\ndata: more bytes than the next two events have\n";
  static const char *const next[] = { "id: 4\ndata: a\n\n", "id: 5\ndata: b\n\n" };
  struct ash_event_stream stream;
  struct ash_stream_event event;

  ash_event_stream_init (&stream);
  CU_ASSERT (ash_event_stream_feed (&stream, (const uint8_t *) broken, sizeof broken - 1));
  CU_ASSERT_FALSE (ash_event_stream_next (&stream, &event));
  ash_event_stream_finish (&stream);
  CU_ASSERT (ash_event_stream_is_empty (&stream));
  for (int i = 0; i < 2; i++)
    {
      CU_ASSERT (ash_event_stream_feed (&stream, (const uint8_t *) next[i], strlen (next[i])));
      CU_ASSERT_FATAL (ash_event_stream_next (&stream, &event));
      CU_ASSERT_EQUAL (event.length, strlen (next[i]));
      CU_ASSERT_EQUAL (event.id, 4 + i);
      ash_event_stream_drop (&stream, &event);
    }
  ash_event_stream_finish (&stream);
}

/* ---- connections ---- */

static int
option_of (int fd, int level, int name)
{
  int value = -1;
  socklen_t value_bytes = sizeof value;

  getsockopt (fd, level, name, &value, &value_bytes);
  return value;
}

/* Number of file descriptors that are searched, and the most iterations of the event loop until the
 * connection is open. */
#define OPEN_FILES 256
#define LOOP_TURNS 100

/* With TCP keep-alive and a user timeout the kernel closes a connection to an unreachable peer,
 * even when nothing is being sent. */
static void
test_keep_alive (void)
{
  static const struct ash_stream_handler handler = { 0 };
  struct ash_stream stream;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  CU_ASSERT_FATAL (fd >= 0);
  ash_stream_init (&stream, EV_DEFAULT, fd, &handler, NULL);
  ash_stream_keep_alive (&stream, 2000);
  CU_ASSERT_EQUAL (option_of (fd, SOL_SOCKET, SO_KEEPALIVE), 1);
  CU_ASSERT_EQUAL (option_of (fd, IPPROTO_TCP, TCP_KEEPIDLE), 1);
  CU_ASSERT_EQUAL (option_of (fd, IPPROTO_TCP, TCP_KEEPINTVL), 1);
  CU_ASSERT_EQUAL (option_of (fd, IPPROTO_TCP, TCP_KEEPCNT), 1);
  CU_ASSERT_EQUAL (option_of (fd, IPPROTO_TCP, TCP_USER_TIMEOUT), 2000);
  ash_stream_finish (&stream);
}

/* @return the descriptor of this process's socket that is connected to @p port, or -1. */
static int
socket_to (uint16_t port)
{
  for (int fd = 0; fd < OPEN_FILES; fd++)
    {
      struct sockaddr_in address = { 0 };
      socklen_t address_bytes = sizeof address;

      if (getpeername (fd, (struct sockaddr *) &address, &address_bytes) == 0 &&
          address.sin_family == AF_INET && ntohs (address.sin_port) == port)
        return fd;
    }
  return -1;
}

static void
fetch_nothing (void *data, enum ash_fetch_result result)
{
  (void) data;
  (void) result;
}

/* The libcurl connections with which an entry watches the platform must have TCP keep-alive too:
 * without it, an unreachable platform looked like one without changes until the watch timed out. */
static void
test_keep_alive_of_fetches (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t address_bytes = sizeof address;
  struct ash_fetch_handler handler = { .end = fetch_nothing };
  struct ash_http_client client;
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  char url[64];
  struct ash_fetch_request request = { .url = url, .method = "GET", .silence_ms = 2000 };
  int fd = -1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_FATAL (bind (listener, (struct sockaddr *) &address, sizeof address) == 0);
  CU_ASSERT_FATAL (listen (listener, 1) == 0);
  getsockname (listener, (struct sockaddr *) &address, &address_bytes);
  snprintf (url, sizeof url, "http://127.0.0.1:%u/", ntohs (address.sin_port));
  CU_ASSERT_FATAL (ash_http_client_init (&client, loop));
  CU_ASSERT_PTR_NOT_NULL (ash_http_client_start (&client, &request, &handler));
  for (int i = 0; i < LOOP_TURNS && fd < 0; i++)
    {
      ev_run (loop, EVRUN_ONCE);
      fd = socket_to (ntohs (address.sin_port));
    }
  CU_ASSERT_EQUAL (option_of (fd, SOL_SOCKET, SO_KEEPALIVE), 1);
  CU_ASSERT_EQUAL (option_of (fd, IPPROTO_TCP, TCP_KEEPIDLE), 1);
  CU_ASSERT_EQUAL (option_of (fd, IPPROTO_TCP, TCP_USER_TIMEOUT), 2000);
  ash_http_client_finish (&client);
  close (listener);
  ev_loop_destroy (loop);
}

void
add_platform_tests (CU_pSuite suite)
{
  CU_add_test (suite, "platform: ranks", test_rank_formats);
  CU_add_test (suite, "platform: store", test_store_format);
  CU_add_test (suite, "platform: texts in a request target", test_url_escape);
  CU_add_test (suite, "platform: keys that are no text", test_odd_keys);
  CU_add_test (suite, "platform: keys of no server", test_foreign_keys);
  CU_add_test (suite, "platform: where the next page starts", test_key_after);
  CU_add_test (suite, "platform: pages that can't be had", test_store_pages);
  CU_add_test (suite, "platform: revisions of the store", test_store_revisions);
  CU_add_test (suite, "platform: entries of other writers", test_server_entries);
  CU_add_test (suite, "platform: messages", test_message_format);
  CU_add_test (suite, "platform: parts of a prompt", test_prompt_parts);
  CU_add_test (suite, "platform: what endpoints say of how they want to be used",
               test_terms_format);
  CU_add_test (suite, "platform: directory", test_directory_format);
  CU_add_test (suite, "HTTP: strict messages", test_strict_messages);
  CU_add_test (suite, "event stream: whole events", test_events);
  CU_add_test (suite, "event stream: events after a broken one", test_events_after_broken_one);
  CU_add_test (suite, "connections: silence is noticed", test_keep_alive);
  CU_add_test (suite, "connections: silence is noticed, of fetches", test_keep_alive_of_fetches);
}
