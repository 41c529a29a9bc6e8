/**
 * @file
 * Unit tests of configuration deltas, the choice of entries that read the platform, isolated
 * entries, and related settings.
 */
#include "common/random.h"
#include "controllers/addresses.h"
#include "controllers/config_delta.h"
#include "controllers/readers.h"
#include "test/unit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TEXT_MAX 20000
#define ROWS 200

/* ---- deltas ---- */

struct rows
{
  uint32_t count;
  uint32_t numbers[ROWS];
};

static void
write_rows (const struct rows *rows, uint64_t revision, struct ash_config_text *text, char *bytes)
{
  size_t length = 0;

  for (uint32_t i = 0; i < rows->count; i++)
    length += (size_t) sprintf (bytes + length, "[[account]]\nname = \"a%u\"\nrate = 100\n%s",
                                rows->numbers[i], rows->numbers[i] % 7 ? "" : "burst = 9\n");
  /* Some texts lack the final newline. */
  if (rows->count % 2)
    length--;
  *text = (struct ash_config_text){ revision, bytes, length };
}

static void
change_rows (struct ash_random *random, struct rows *rows)
{
  for (uint32_t edits = ash_random_below (random, 4); edits > 0; edits--)
    {
      uint32_t at = rows->count ? ash_random_below (random, rows->count) : 0;
      uint32_t rest = rows->count - at;

      if (ash_random_below (random, 3) == 0 && rows->count < ROWS)
        {
          memmove (&rows->numbers[at + 1], &rows->numbers[at], rest * sizeof rows->numbers[0]);
          rows->count++;
        }
      else if (ash_random_below (random, 2) == 0 && rows->count)
        {
          memmove (&rows->numbers[at], &rows->numbers[at + 1],
                   (rest - 1) * sizeof rows->numbers[0]);
          rows->count--;
        }
      if (at < rows->count)
        rows->numbers[at] = ash_random_below (random, 1000);
    }
}

/* For random edits: the delta yields the published text byte by byte, and does not apply to another
 * base text or revision. */
static void
test_any_delta (void)
{
  static char bytes[2][TEXT_MAX];
  struct ash_random random;
  struct rows rows = { 0 };
  struct ash_config_text base;
  struct ash_config_text after;

  ash_random_init (&random, 5);
  for (int round = 0; round < 2000; round++)
    {
      struct Ash__ConfigDelta *delta;
      size_t length = 0;
      char *result;

      write_rows (&rows, 1, &base, bytes[0]);
      change_rows (&random, &rows);
      write_rows (&rows, 2, &after, bytes[1]);
      delta = ash_config_delta_make (&base, &after);
      result = ash_config_delta_apply (&base, delta, &length);
      CU_ASSERT_EQUAL (length, after.length);
      CU_ASSERT (result && memcmp (result, after.bytes, length) == 0);
      free (result);
      if (base.length)
        {
          bytes[0][base.length / 2] ^= 1;
          CU_ASSERT_PTR_NULL (ash_config_delta_apply (&base, delta, &length));
          bytes[0][base.length / 2] ^= 1;
        }
      base.revision = 3;
      CU_ASSERT_PTR_NULL (ash_config_delta_apply (&base, delta, &length));
      ash__config_delta__free_unpacked (delta, NULL);
    }
}

/* Guards against deltas that resend a whole document which is a single long line. Stores may
 * publish 1,573 routes as one line of half a megabyte. When configurations changed in quick
 * succession, a router that forwarded them whole to its hall and also led the map changes could
 * send nothing else for 3 s: its peers considered it dead, and two groups of ranks stalled. */
static void
test_one_line_delta (void)
{
  static const char *const versions[] = { "{\"Version\":7,\"Routes\":[",
                                          "{\"Version\":9,\"Routes\":[" };
  static char bytes[2][TEXT_MAX];
  struct ash_config_text texts[2];
  struct Ash__ConfigDelta *delta;
  size_t length;
  size_t new_bytes = 0;
  char *result;

  for (int i = 0; i < 2; i++)
    {
      int at = sprintf (bytes[i], "%s", versions[i]);

      for (int row = 0; row < ROWS; row++)
        at += sprintf (bytes[i] + at, "%s{\"Name\":\"r-%d\",\"TimeoutMs\":%d}", row ? "," : "", row,
                       i && row == 100 ? 4000 : 8000);
      at += sprintf (bytes[i] + at, "],\"Limits\":{}}");
      texts[i] = (struct ash_config_text){ 7 + 2 * (uint64_t) i, bytes[i], (size_t) at };
    }
  delta = ash_config_delta_make (&texts[0], &texts[1]);
  for (size_t i = 0; i < delta->n_pieces; i++)
    new_bytes += delta->pieces[i]->text.len;
  CU_ASSERT (new_bytes < 200);
  result = ash_config_delta_apply (&texts[0], delta, &length);
  CU_ASSERT_EQUAL (length, texts[1].length);
  CU_ASSERT (result && memcmp (result, texts[1].bytes, length) == 0);
  free (result);
  ash__config_delta__free_unpacked (delta, NULL);
}

/* A changed row among many gives a short delta. Pieces beyond the end of the base text are
 * rejected. */
static void
test_short_delta (void)
{
  static char bytes[2][TEXT_MAX];
  struct rows rows = { .count = ROWS };
  struct ash_config_text base;
  struct ash_config_text after;
  struct Ash__ConfigDelta *delta;
  size_t length;

  for (uint32_t i = 0; i < ROWS; i++)
    rows.numbers[i] = i;
  write_rows (&rows, 1, &base, bytes[0]);
  rows.numbers[20] = 5000;
  rows.numbers[150] = 5001;
  write_rows (&rows, 2, &after, bytes[1]);
  delta = ash_config_delta_make (&base, &after);
  CU_ASSERT (ash__config_delta__get_packed_size (delta) < 300);
  delta->pieces[0]->length = UINT32_MAX;
  CU_ASSERT_PTR_NULL (ash_config_delta_apply (&base, delta, &length));
  delta->pieces[0]->from = UINT32_MAX;
  delta->pieces[0]->length = 2;
  CU_ASSERT_PTR_NULL (ash_config_delta_apply (&base, delta, &length));
  ash__config_delta__free_unpacked (delta, NULL);
}

/* ---- entries that read the platform, isolated entries, settings ---- */

#define HALLS "[[hall]]\nname='h'\n[[hall]]\nname='i'\n"
#define ENTRY(name, hall)                                                                          \
  "[[entry]]\nbox='" name "'\nhall='" hall "'\nhttp='127.0.0.1:1'\npeer='127.0.0.1:2'\n"
#define FOUR_ENTRIES ENTRY ("a", "h") ENTRY ("b", "h") ENTRY ("c", "h") ENTRY ("d", "i")
#define ACCOUNT                                                                                    \
  "[[class]]\nname='c'\n[[account]]\nname='x'\nclass='c'\nentries=4\nkey_hash='"                   \
  "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff'\n"

static const char *const names[] = { "a", "b", "c", "d" };

static void
init_four_entries (struct ash_config *config, struct ash_membership *membership)
{
  static const char text[] = HALLS FOUR_ENTRIES ACCOUNT;
  struct ash_findings findings;

  ash_config_init (config);
  ash_membership_init (membership);
  ash_findings_init (&findings, "test");
  CU_ASSERT_EQUAL (
      ash_config_offer (config, (struct ash_time){ 1 }, 1, text, strlen (text), 1000, &findings),
      ASH_CONFIG_ACCEPTED);
  ash_findings_finish (&findings);
}

/* Delivers one heartbeat from each of the four entries; it reports whether that entry reads the
 * platform. */
static void
deliver_heartbeats (struct ash_membership *membership, const bool reads[4])
{
  for (int i = 0; i < 4; i++)
    {
      struct Ash__Heartbeat heartbeat = ASH__HEARTBEAT__INIT;

      heartbeat.reads_platform = reads[i];
      ash_membership_link_up (membership, (struct ash_time){ 1 }, names[i], ASH__ROLE__ENTRY,
                              (uint64_t) i + 1, 1);
      ash_membership_heartbeat (membership, names[i], &heartbeat);
    }
}

/* Of three entries in a hall two read the platform; the only entry of the other hall reads it too.
 * When a reader reports that it can't, or disconnects, the third entry takes over. */
static void
test_readers (void)
{
  struct ash_membership membership;
  struct ash_config config;
  bool reads[4] = { true, true, true, true };
  int readers = 0;
  int idle = -1;
  int other = -1;

  ash_config_init (&config);
  ash_membership_init (&membership);
  CU_ASSERT (ash_readers_should_read (&config, &membership, "a", 2));
  init_four_entries (&config, &membership);
  CU_ASSERT (ash_readers_should_read (&config, &membership, "nobody", 2));
  CU_ASSERT_FALSE (ash_readers_any (&membership));
  deliver_heartbeats (&membership, reads);
  CU_ASSERT (ash_readers_any (&membership));
  for (int i = 0; i < 3; i++)
    {
      bool should = ash_readers_should_read (&config, &membership, names[i], 2);

      readers += should;
      if (should)
        other = i;
      else
        idle = i;
    }
  CU_ASSERT_EQUAL (readers, 2);
  CU_ASSERT (ash_readers_should_read (&config, &membership, "d", 2));
  reads[other] = false;
  deliver_heartbeats (&membership, reads);
  CU_ASSERT (idle >= 0 && ash_readers_should_read (&config, &membership, names[idle], 2));
  reads[other] = true;
  deliver_heartbeats (&membership, reads);
  ash_membership_link_down (&membership, names[other]);
  CU_ASSERT (idle >= 0 && ash_readers_should_read (&config, &membership, names[idle], 2));
  ash_membership_finish (&membership);
  ash_config_finish (&config);
}

/* An entry that is connected to only a few of the other entries must not remove the unconnected
 * ones from the addresses that it gives to callers. */
static void
test_isolated (void)
{
  static const bool reads[4] = { false, false, false, false };
  struct ash_settings settings;
  struct ash_membership membership;
  struct ash_config config;
  struct ash_addresses addresses;
  struct ash_random random;

  ash_random_init (&random, 1);
  ash_settings_init (&settings);
  strcpy (settings.box, "a");
  init_four_entries (&config, &membership);
  deliver_heartbeats (&membership, reads);
  CU_ASSERT_FALSE (ash_membership_isolated (&membership, &config.document, "a"));
  ash_membership_link_down (&membership, "b");
  ash_membership_tick (&membership, (struct ash_time){ 1000 }, &config.document, &settings);
  CU_ASSERT_FALSE (membership.isolated);
  ash_addresses_find (&addresses, &config.document, &membership, &settings, false,
                      &config.document.accounts[0], &random);
  CU_ASSERT_EQUAL (addresses.count, 3);
  ash_membership_link_down (&membership, "c");
  CU_ASSERT (ash_membership_isolated (&membership, &config.document, "a"));
  ash_membership_tick (&membership, (struct ash_time){ 2000 }, &config.document, &settings);
  CU_ASSERT (membership.isolated);
  ash_addresses_find (&addresses, &config.document, &membership, &settings, false,
                      &config.document.accounts[0], &random);
  CU_ASSERT_EQUAL (addresses.count, 4);
  CU_ASSERT_STRING_EQUAL (addresses.boxes[3]->name, "a");
  ash_membership_finish (&membership);
  ash_config_finish (&config);
}

/* suspect_ms must be at least twice heartbeat_ms: otherwise regular heartbeats could leave a box
 * suspect. */
static void
test_silence_settings (void)
{
  static const char start[] =
      "box = 'm'\nrole = 'endpoint'\nhall = 'h'\npeer_listen = '127.0.0.1:1'\n"
      "engine_url = 'http://127.0.0.1:2'\nfleet_key = "
      "'0000000000000000000000000000000000000000000000000000000000000007'\n"
      "heartbeat_ms = 1000\n";
  char text[512];
  struct ash_settings settings;
  struct ash_findings findings;

  ash_findings_init (&findings, "test");
  ash_settings_read (&settings, start, strlen (start), &findings);
  CU_ASSERT_EQUAL (findings.count, 1);
  CU_ASSERT (findings.count && strcmp (findings.items[0].key_path, "suspect_ms") == 0);
  ash_findings_finish (&findings);
  ash_findings_init (&findings, "test");
  snprintf (text, sizeof text, "%ssuspect_ms = 2000\n", start);
  ash_settings_read (&settings, text, strlen (text), &findings);
  CU_ASSERT_EQUAL (findings.count, 0);
  ash_findings_finish (&findings);
}

/* @param key_path receives the name of the first setting with a finding, or an empty text, when @p
 * more is appended to an entry's settings. */
static void
first_entry_finding (const char *more, char key_path[128])
{
  static const char start[] =
      "box = 'e'\nrole = 'entry'\nhall = 'h'\npeer_listen = '127.0.0.1:1'\n"
      "http_listen = '127.0.0.1:2'\nplatform_url = 'http://127.0.0.1:3'\nfleet_key = "
      "'0000000000000000000000000000000000000000000000000000000000000007'\n";
  char text[512];
  struct ash_settings settings;
  struct ash_findings findings;

  ash_findings_init (&findings, "test");
  snprintf (text, sizeof text, "%s%s", start, more);
  ash_settings_read (&settings, text, strlen (text), &findings);
  snprintf (key_path, 128, "%s", findings.count ? findings.items[0].key_path : "");
  ash_findings_finish (&findings);
}

/* A planned stop must last longer than callers keep the address: otherwise callers would still
 * connect to an entry that has exited. */
static void
test_grace_settings (void)
{
  static const struct
  {
    const char *more;
    const char *key_path;
  } cases[] = {
    { "", "" },
    { "grace_ms = 0\naddress_keep_ms = 20000\n", "" },
    { "grace_ms = 2001\n", "" },
    { "grace_ms = 2000\n", "grace_ms" },
    { "grace_ms = 999\naddress_keep_ms = 100\n", "grace_ms" },
    { "address_keep_ms = 8000\n", "" },
    { "grace_ms = 8000\naddress_keep_ms = 8000\n", "grace_ms" },
  };
  char key_path[128];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      first_entry_finding (cases[i].more, key_path);
      CU_ASSERT_STRING_EQUAL (key_path, cases[i].key_path);
    }
}

void
add_config_tests (CU_pSuite suite)
{
  CU_add_test (suite, "settings: silence and heartbeats", test_silence_settings);
  CU_add_test (suite, "settings: a planned stop's end", test_grace_settings);
  CU_add_test (suite, "configuration: any delta", test_any_delta);
  CU_add_test (suite, "configuration: a short delta", test_short_delta);
  CU_add_test (suite, "configuration: a delta of one long line", test_one_line_delta);
  CU_add_test (suite, "configuration: who reads the platform", test_readers);
  CU_add_test (suite, "membership: alone", test_isolated);
}
