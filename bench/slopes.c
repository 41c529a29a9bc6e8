/**
 * @file
 * Measures how memory and CPU time of the real code grow, for docs/CAPACITY.md: bytes per
 * account, endpoint, ledger entry and request; microseconds per routing decision, message
 * and check of a document row; each at several sizes. Prints Markdown tables to standard
 * output.
 */
#include "common/clock.h"
#include "net/frame.h"
#include "test/session.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#define SERVICES 18
#define ACCOUNT_KEY "account-%u"

/* ---- configuration documents ---- */

static char *
make_document (uint32_t accounts, uint32_t endpoints, uint32_t entries, size_t *length)
{
  char *text = NULL;
  FILE *out = open_memstream (&text, length);

  fprintf (out, "{\"hall\":[{\"name\":\"h\"}],\"class\":[{\"name\":\"c\"}],\"service\":[");
  for (uint32_t i = 0; i < SERVICES; i++)
    fprintf (out, "%s{\"name\":\"s%u\",\"homes_since_s\":1}", i ? "," : "", i);
  fprintf (out, "],\"account\":[");
  for (uint32_t i = 0; i < accounts; i++)
    {
      uint8_t hash[ASH_KEY_HASH_BYTES];
      char key[32];

      snprintf (key, sizeof key, ACCOUNT_KEY, i);
      ash_key_hash (key, strlen (key), hash);
      fprintf (out,
               "%s{\"name\":\"%s\",\"class\":\"c\",\"rate_per_s\":1000000,\"burst\":1000000,"
               "\"entries\":1000,\"key_hash\":\"",
               i ? "," : "", key);
      for (size_t b = 0; b < sizeof hash; b++)
        fprintf (out, "%02x", hash[b]);
      fprintf (out, "\"}");
    }
  fprintf (out, "],\"entry\":[");
  for (uint32_t i = 0; i < entries; i++)
    fprintf (out,
             "%s{\"box\":\"e%u\",\"hall\":\"h\",\"http\":\"127.0.0.1:1\",\"peer\":"
             "\"127.0.0.1:2\"}",
             i ? "," : "", i);
  fprintf (out, "],\"endpoint\":[");
  for (uint32_t i = 0; i < endpoints; i++)
    fprintf (out, "%s{\"box\":\"m%u\",\"service\":\"s%u\",\"hall\":\"h\",\"peer\":\"127.0.0.1:3\"}",
             i ? "," : "", i, i % SERVICES);
  fprintf (out, "]}");
  fclose (out);
  return text;
}

static size_t
used_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

static void
measure_document (uint32_t accounts, uint32_t endpoints, const char *what, uint32_t rows)
{
  size_t length;
  char *text = make_document (accounts, endpoints, 410, &length);
  struct ash_findings findings;
  struct ash_document document;
  size_t before = used_bytes ();
  int64_t start_us = ash_clock_now_us ();
  int64_t took_us;

  ash_findings_init (&findings, "bench");
  ash_document_init (&document, 1, text, length, &findings);
  took_us = ash_clock_now_us () - start_us;
  printf ("| %s | %u | %.1f | %.1f | %.1f | %s |\n", what, rows, (double) length / rows,
          (double) (used_bytes () - before) / rows, (double) took_us / rows,
          length > ASH_DOCUMENT_MAX_BYTES ? "above 1 MiB: refused" : "");
  ash_findings_finish (&findings);
  ash_document_finish (&document);
  free (text);
}

/* ---- entry ---- */

static uint64_t emitted;

static void
on_emitted (void *data, struct session *session, const struct Ash__Event *event)
{
  (void) data;
  (void) session;
  (void) event;
  emitted++;
}

static void
start_entry (struct session *session, uint32_t accounts, uint32_t endpoints)
{
  size_t length;
  char *text = make_document (accounts, endpoints, 8, &length);
  struct Ash__LinkUp up = ASH__LINK_UP__INIT;
  char name[16];

  session->core = SESSION_ENTRY;
  session_settings (&session->settings, "e0", true);
  session->emitted = on_emitted;
  session_init (session, 1, (struct ash_time){ 1000 });
  session_offer_config (session, (struct ash_time){ 1000 }, 1, text, length);
  free (text);
  up.role = ASH__ROLE__ENDPOINT;
  for (uint32_t i = 0; i < endpoints; i++)
    {
      snprintf (name, sizeof name, "m%u", i);
      up.incarnation = i + 1;
      session_deliver_message (session, (struct ash_time){ 1000 }, name, ASH__EVENT__KIND_LINK_UP,
                               &up);
    }
}

static void
call (struct session *session, uint64_t number, const char *key)
{
  struct Ash__Call message = ASH__CALL__INIT;
  uint8_t hash[ASH_KEY_HASH_BYTES];
  char text[32];

  snprintf (text, sizeof text, ACCOUNT_KEY, 0u);
  ash_key_hash (text, strlen (text), hash);
  message.call = number;
  message.service = ash_proto_text ("s3");
  message.method = ash_proto_text ("POST");
  message.path = ash_proto_text ("/v1/chat/completions");
  message.key_hash.data = hash;
  message.key_hash.len = sizeof hash;
  message.stream = true;
  message.unix_s = 1000000;
  if (key)
    {
      message.idempotency_key = ash_proto_text (key);
      message.caller_attempt = 1;
      message.no_repeat = true;
    }
  session_deliver_message (session, (struct ash_time){ 2000 }, "", ASH__EVENT__KIND_CALL, &message);
}

static void
disconnect_caller (struct session *session, uint64_t number)
{
  struct Ash__CallerGone gone = ASH__CALLER_GONE__INIT;

  gone.call = number;
  session_deliver_message (session, (struct ash_time){ 2000 }, "", ASH__EVENT__KIND_CALLER_GONE,
                           &gone);
}

static void
measure_decisions (uint32_t endpoints)
{
  struct session session = { 0 };
  size_t before = used_bytes ();
  size_t entry_bytes;
  int64_t start_us;
  double unkeyed_us;
  double keyed_us;
  const uint32_t rounds = 2000;
  char key[32];

  start_entry (&session, 10, endpoints);
  entry_bytes = used_bytes () - before;
  start_us = ash_clock_now_us ();
  for (uint32_t i = 0; i < rounds; i++)
    {
      call (&session, i + 1, NULL);
      disconnect_caller (&session, i + 1);
    }
  unkeyed_us = (double) (ash_clock_now_us () - start_us) / rounds;
  start_us = ash_clock_now_us ();
  for (uint32_t i = 0; i < rounds; i++)
    {
      snprintf (key, sizeof key, "k%u", i);
      call (&session, rounds + i + 1, key);
      disconnect_caller (&session, rounds + i + 1);
    }
  keyed_us = (double) (ash_clock_now_us () - start_us) / rounds;
  printf ("| %u | %.0f | %.2f | %.2f |\n", endpoints, (double) entry_bytes / endpoints, unkeyed_us,
          keyed_us);
  session_finish (&session);
}

static void
measure_requests (uint32_t count)
{
  struct session session = { 0 };
  struct Ash__Tick tick = ASH__TICK__INIT;
  size_t before;
  size_t bytes;
  int64_t start_us;

  start_entry (&session, 10, 440);
  before = used_bytes ();
  for (uint32_t i = 0; i < count; i++)
    call (&session, i + 1, NULL);
  bytes = used_bytes () - before;
  start_us = ash_clock_now_us ();
  session_deliver_message (&session, (struct ash_time){ 2050 }, "", ASH__EVENT__KIND_TICK, &tick);
  printf ("| request in an entry | %u | %.0f | %.3f a tick |\n", count, (double) bytes / count,
          (double) (ash_clock_now_us () - start_us) / count);
  session_finish (&session);
}

/* ---- agent ---- */

static void
start_agent (struct session *session, uint32_t slots)
{
  session->core = SESSION_AGENT;
  session_settings (&session->settings, "m0", false);
  session->settings.slots = slots;
  session->settings.ledger_max = 1000000;
  session->emitted = on_emitted;
  session_init (session, 1, (struct ash_time){ 1000 });
}

static void
submit_one (struct session *session, uint64_t number)
{
  struct Ash__Submit submit = ASH__SUBMIT__INIT;

  submit.id_hi = number;
  submit.incarnation = 1;
  submit.attempt = number;
  submit.budget_ms = 30000;
  submit.service = ash_proto_text ("s3");
  submit.method = ash_proto_text ("POST");
  submit.path = ash_proto_text ("/v1/chat/completions");
  session_deliver_message (session, (struct ash_time){ 2000 }, "e0", ASH__EVENT__KIND_SUBMIT,
                           &submit);
}

static void
measure_ledger (uint32_t count)
{
  struct session session = { 0 };
  struct Ash__EngineEnd end = ASH__ENGINE_END__INIT;
  size_t before;
  int64_t start_us;
  double took_us;

  start_agent (&session, 32);
  before = used_bytes ();
  start_us = ash_clock_now_us ();
  end.whole = true;
  for (uint32_t i = 1; i <= count; i++)
    {
      submit_one (&session, i);
      end.run = i;
      session_deliver_message (&session, (struct ash_time){ 2000 }, "", ASH__EVENT__KIND_ENGINE_END,
                               &end);
    }
  took_us = (double) (ash_clock_now_us () - start_us) / count;
  printf ("| ledger entry, ended, no answer kept | %u | %.0f | %.2f submit to end |\n", count,
          (double) (used_bytes () - before) / count, took_us);
  session_finish (&session);
}

static void
measure_stream (uint32_t streams)
{
  struct session session = { 0 };
  struct Ash__EngineHead head = ASH__ENGINE_HEAD__INIT;
  struct Ash__EngineData data = ASH__ENGINE_DATA__INIT;
  char token[150];
  size_t before;
  int64_t start_us;
  const uint32_t tokens = 100;

  memset (token, 'x', sizeof token);
  start_agent (&session, streams);
  before = used_bytes ();
  data.bytes.data = (uint8_t *) token;
  data.bytes.len = sizeof token;
  head.status = 200;
  for (uint32_t i = 1; i <= streams; i++)
    {
      submit_one (&session, i);
      head.run = i;
      session_deliver_message (&session, (struct ash_time){ 2000 }, "",
                               ASH__EVENT__KIND_ENGINE_HEAD, &head);
    }
  start_us = ash_clock_now_us ();
  for (uint32_t t = 0; t < tokens; t++)
    for (uint32_t i = 1; i <= streams; i++)
      {
        data.run = i;
        session_deliver_message (&session, (struct ash_time){ 2000 }, "",
                                 ASH__EVENT__KIND_ENGINE_DATA, &data);
      }
  printf ("| stream in an agent, 15 kB kept | %u | %.0f | %.2f a token |\n", streams,
          (double) (used_bytes () - before) / streams,
          (double) (ash_clock_now_us () - start_us) / (tokens * streams));
  session_finish (&session);
}

/* ---- frames ---- */

static void
measure_frame (const char *what, Ash__Event__KindCase kind, const void *message)
{
  struct ash_frame_key out_key = { .on = true, .key = { 1 } };
  struct ash_frame_key in_key = { .on = true, .key = { 1 } };
  struct ash_buffer buffer = { 0 };
  struct Ash__Event event = ASH__EVENT__INIT;
  struct Ash__Event *read;
  size_t length = 0;
  const uint32_t rounds = 20000;
  int64_t start_us = ash_clock_now_us ();

  event.kind_case = kind;
  event.heartbeat = (void *) (uintptr_t) message;
  event.sent_ms = 123456789;
  for (uint32_t i = 0; i < rounds; i++)
    {
      ash_frame_write (&buffer, &out_key, &event);
      length = buffer.length;
      if (ash_frame_read (&buffer, &in_key, &read) == ASH_FRAME_COMPLETE)
        ash__event__free_unpacked (read, NULL);
    }
  printf ("| %s | %zu | %.2f |\n", what, length,
          (double) (ash_clock_now_us () - start_us) / rounds);
  ash_buffer_finish (&buffer);
}

static void
measure_frames (void)
{
  struct Ash__Heartbeat heartbeat = ASH__HEARTBEAT__INIT;
  struct Ash__Submit submit = ASH__SUBMIT__INIT;
  struct Ash__Data data = ASH__DATA__INIT;
  uint8_t bytes[2000];

  memset (bytes, 'x', sizeof bytes);
  heartbeat.revision = 5000;
  heartbeat.in_flight = 20;
  heartbeat.queued = 3;
  heartbeat.step_us = 900000;
  measure_frame ("heartbeat", ASH__EVENT__KIND_HEARTBEAT, &heartbeat);
  submit.id_hi = submit.id_lo = submit.incarnation = UINT64_MAX;
  submit.attempt = 100000;
  submit.budget_ms = 30000;
  submit.service = ash_proto_text ("parts-model");
  submit.method = ash_proto_text ("POST");
  submit.path = ash_proto_text ("/v1/chat/completions");
  submit.content_type = ash_proto_text ("application/json");
  submit.body.data = bytes;
  submit.body.len = sizeof bytes;
  measure_frame ("submit, body of 2,000 bytes", ASH__EVENT__KIND_SUBMIT, &submit);
  data.id_hi = data.id_lo = data.incarnation = UINT64_MAX;
  data.attempt = 100000;
  data.offset = 10000;
  data.bytes.data = bytes;
  data.bytes.len = 150;
  measure_frame ("data, a token of 150 bytes", ASH__EVENT__KIND_DATA, &data);
}

int
main (void)
{
  static const uint32_t accounts[] = { 10, 1000, 5000, 11000, 44000 };
  static const uint32_t endpoints[] = { 19, 440, 2000, 7900 };
  static const uint32_t requests[] = { 100, 1000, 10000 };
  static const uint32_t records[] = { 1000, 10000, 100000 };
  static const uint32_t streams[] = { 8, 32, 128 };

  printf ("| document row | rows | text bytes | memory bytes | us to check | |\n"
          "|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < sizeof accounts / sizeof accounts[0]; i++)
    measure_document (accounts[i], 19, "account", accounts[i]);
  for (size_t i = 0; i < sizeof endpoints / sizeof endpoints[0]; i++)
    measure_document (10, endpoints[i], "endpoint", endpoints[i]);
  printf ("\n| endpoints known to an entry | bytes an endpoint | us a decision, free | us a "
          "decision, homed |\n|---|---|---|---|\n");
  for (size_t i = 0; i < sizeof endpoints / sizeof endpoints[0]; i++)
    measure_decisions (endpoints[i]);
  printf ("\n| state | count | bytes each | us each |\n|---|---|---|---|\n");
  for (size_t i = 0; i < sizeof requests / sizeof requests[0]; i++)
    measure_requests (requests[i]);
  for (size_t i = 0; i < sizeof records / sizeof records[0]; i++)
    measure_ledger (records[i]);
  for (size_t i = 0; i < sizeof streams / sizeof streams[0]; i++)
    measure_stream (streams[i]);
  printf ("\n| frame, written, signed, checked, read | bytes | us |\n|---|---|---|\n");
  measure_frames ();
  return EXIT_SUCCESS;
}
