/**
 * @file
 * Limits on external input: the HTTP port and the peer port of a real entry get input that is too
 * large, too slow, malformed or forged. The entry must reject it and still serve other callers.
 */
#include "common/id.h"
#include "net/frame.h"
#include "net/handshake.h"
#include "test/fleet.h"
#include "test/raw.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_TRIED 12
#define DAEMON_SETTINGS                                                                            \
  "heartbeat_ms = 100\nlink_silence_ms = 600\ndial_retry_ms = 50\nid_life_ms = 20000\n"            \
  "guard_ms = 0\nupload_ms = 400\nidle_ms = 1000\nbody_max_bytes = 1000\nconnections_max = 8\n"

static struct fleet fleet;
static uint8_t fleet_key[ASH_FRAME_KEY_BYTES];

static void
assert_still_serves (void)
{
  struct fleet_call call;

  fleet_begin_chat (&fleet, &call, 0, true, 2);
  fleet_wait_call (&call);
  CU_ASSERT (fleet_stream_ok (&call.answer, 2));
  ash_cli_answer_finish (&call.answer);
}

static void
post_raw (const char *body, struct ash_cli_answer *answer)
{
  char url[128];
  struct ash_cli_request request = {
    .url = url, .method = "POST", .key = "fleet-test-key", .body = body
  };

  snprintf (url, sizeof url, "http://127.0.0.1:%u/v1/completions", fleet.entries[0].http_port);
  ash_cli_fetch (&request, answer);
}

/* ---- HTTP ---- */

static void
test_malformed (void)
{
  static const char *const bodies[] = { "{\"model\":\n  \"model\",, }", "{\"model\":7}",
                                        "{\"model\":\"model\",\"stream\":1}", "[]" };
  static const char *const parts[] = { "line 2, column", "'model'", "'stream'", "'model'" };

  for (size_t i = 0; i < sizeof bodies / sizeof bodies[0]; i++)
    {
      struct ash_cli_answer answer = { 0 };

      post_raw (bodies[i], &answer);
      CU_ASSERT_EQUAL (answer.status, 400);
      CU_ASSERT_STRING_EQUAL (answer.outcome, "not-run");
      CU_ASSERT_PTR_NOT_NULL (strstr (answer.body ? answer.body : "", parts[i]));
      ash_cli_answer_finish (&answer);
    }
  assert_still_serves ();
}

static void
test_large_body (void)
{
  struct ash_cli_answer answer = { 0 };
  char body[2001];

  memset (body, ' ', sizeof body - 1);
  body[sizeof body - 1] = '\0';
  post_raw (body, &answer);
  CU_ASSERT_EQUAL (answer.status, 413);
  CU_ASSERT_STRING_EQUAL (answer.outcome, "not-run");
  ash_cli_answer_finish (&answer);
  assert_still_serves ();
}

static void
test_large_headers (void)
{
  static char text[65536];
  static char header[60000];
  int fd = raw_connect (fleet.entries[0].http_port);

  memset (header, 'x', sizeof header);
  raw_send (fd, "GET /healthz HTTP/1.1\r\nX: ", 26);
  raw_send (fd, header, sizeof header);
  raw_send (fd, "\r\n\r\n", 4);
  CU_ASSERT (raw_read_until_closed (fd, text, sizeof text));
  CU_ASSERT_PTR_NULL (strstr (text, " 200 "));
  assert_still_serves ();
}

static void
test_slow_sender (void)
{
  static const char start[] =
      "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{";
  char text[4096];
  int fd = raw_connect (fleet.entries[0].http_port);

  raw_send (fd, start, sizeof start - 1);
  CU_ASSERT (raw_read_until_closed (fd, text, sizeof text));
  /* Sends endless headers, one byte every 150 ms, so that the idle timeout alone can't end it. */
  fd = raw_connect (fleet.entries[0].http_port);
  for (int i = 0; i < 12; i++)
    {
      raw_send (fd, "X", 1);
      fleet_sleep_ms (150);
    }
  CU_ASSERT (raw_read_until_closed (fd, text, sizeof text));
  assert_still_serves ();
}

static void
test_many_connections (void)
{
  int fds[CONNECTIONS_TRIED];
  char text[64];

  for (int i = 0; i < CONNECTIONS_TRIED; i++)
    fds[i] = raw_connect (fleet.entries[0].http_port);
  /* Connections above the limit are rejected; accepted ones are closed when they time out. */
  for (int i = 0; i < CONNECTIONS_TRIED; i++)
    CU_ASSERT (fds[i] < 0 || raw_read_until_closed (fds[i], text, sizeof text));
  assert_still_serves ();
}

/* ---- peer links ---- */

static int
open_peer (void)
{
  return raw_connect (fleet.entries[0].peer_port);
}

/* Reads the challenge of a new link and stores its nonce in nonces->accept. */
static bool
read_challenge (int fd, struct ash_nonces *nonces)
{
  struct ash_frame_key no_key = { 0 };
  struct ash_buffer buffer = { 0 };
  struct Ash__Event *event = NULL;
  bool ok = false;

  while (ash_frame_read (&buffer, &no_key, &event) == ASH_FRAME_INCOMPLETE)
    {
      ssize_t n = recv (fd, ash_buffer_reserve (&buffer, 256), 256, 0);

      if (n <= 0)
        break;
      buffer.length += (size_t) n;
    }
  if (event && event->kind_case == ASH__EVENT__KIND_CHALLENGE &&
      event->challenge->nonce.len == ASH_NONCE_BYTES)
    {
      memcpy (nonces->accept, event->challenge->nonce.data, ASH_NONCE_BYTES);
      ok = true;
    }
  ash__event__free_unpacked (event, NULL);
  ash_buffer_finish (&buffer);
  return ok;
}

/* Appends a hello to the buffer, with a proof made with the key. */
static void
write_hello (struct ash_buffer *buffer, const struct ash_nonces *nonces, const uint8_t *key)
{
  struct ash_frame_key no_key = { 0 };
  struct Ash__Hello hello = ASH__HELLO__INIT;
  struct Ash__Event event = ASH__EVENT__INIT;
  uint8_t proof[ASH_PROOF_BYTES];

  hello.box = ash_proto_text ("stranger");
  hello.role = ASH__ROLE__ENTRY;
  hello.incarnation = 5;
  hello.nonce.data = (uint8_t *) (uintptr_t) nonces->dial;
  hello.nonce.len = ASH_NONCE_BYTES;
  ash_handshake_prove (key, nonces, ASH_SIDE_DIAL, &hello, proof);
  hello.proof.data = proof;
  hello.proof.len = sizeof proof;
  event.kind_case = ASH__EVENT__KIND_HELLO;
  event.hello = &hello;
  ash_frame_write (buffer, &no_key, &event);
}

static bool
is_link_up (void)
{
  fleet_sleep_ms (300);
  return fleet_count_log_lines (&fleet, "entry-1", "link_up box=entry-1 module=peer box=stranger") >
         0;
}

static void
test_garbage (void)
{
  static char bytes[100000];
  char text[4096];
  int fd = open_peer ();

  memset (bytes, 0xff, sizeof bytes);
  raw_send (fd, bytes, sizeof bytes);
  CU_ASSERT (raw_read_until_closed (fd, text, sizeof text));
  /* A connection that sends nothing is closed after link_silence_ms. */
  CU_ASSERT (raw_read_until_closed (open_peer (), text, sizeof text));
  assert_still_serves ();
}

static void
test_wrong_key (void)
{
  struct ash_nonces nonces = { { 0 }, { 1 } };
  struct ash_buffer buffer = { 0 };
  uint8_t wrong[ASH_FRAME_KEY_BYTES] = { 9 };
  char text[4096];
  int fd = open_peer ();

  CU_ASSERT (read_challenge (fd, &nonces));
  write_hello (&buffer, &nonces, wrong);
  raw_send (fd, buffer.bytes, buffer.length);
  CU_ASSERT (raw_read_until_closed (fd, text, sizeof text));
  CU_ASSERT_FALSE (is_link_up ());
  ash_buffer_finish (&buffer);
}

static void
test_replayed_hello (void)
{
  struct ash_nonces nonces = { { 0 }, { 1 } };
  struct ash_nonces other;
  struct ash_buffer buffer = { 0 };
  char text[4096];
  int fd = open_peer ();
  int replay;

  /* A hello with a valid proof for one link is sent on another link, which must be closed. */
  CU_ASSERT (read_challenge (fd, &nonces));
  write_hello (&buffer, &nonces, fleet_key);
  replay = open_peer ();
  CU_ASSERT (read_challenge (replay, &other));
  raw_send (replay, buffer.bytes, buffer.length);
  CU_ASSERT (raw_read_until_closed (replay, text, sizeof text));
  CU_ASSERT_FALSE (is_link_up ());
  /* The same hello is accepted on its own link, so the rejection above was due to the replay. */
  raw_send (fd, buffer.bytes, buffer.length);
  CU_ASSERT (is_link_up ());
  /* An unsigned frame on an established link closes the link. */
  raw_send (fd, buffer.bytes, buffer.length);
  CU_ASSERT (raw_read_until_closed (fd, text, sizeof text));
  assert_still_serves ();
  ash_buffer_finish (&buffer);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (sodium_init () < 0)
    return EXIT_FAILURE;
  /* Daemons of the fleet have a fleet_key of 63 zeros and a 7, in hexadecimal. */
  fleet_key[ASH_FRAME_KEY_BYTES - 1] = 7;
  fleet_start (&fleet, DAEMON_SETTINGS);
  CU_initialize_registry ();
  suite = CU_add_suite ("bounds", NULL, NULL);
  CU_add_test (suite, "http: malformed, with its place", test_malformed);
  CU_add_test (suite, "http: a body that is too large", test_large_body);
  CU_add_test (suite, "http: headers that are too large", test_large_headers);
  CU_add_test (suite, "http: slow senders", test_slow_sender);
  CU_add_test (suite, "http: too many connections", test_many_connections);
  CU_add_test (suite, "links: garbage and silence", test_garbage);
  CU_add_test (suite, "links: the wrong key", test_wrong_key);
  CU_add_test (suite, "links: a replayed hello", test_replayed_hello);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  fleet_stop (&fleet);
  return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
