/**
 * @file
 * Answers that the command-line tool reads, from a server in a thread that answers with any bytes.
 */
#include "test/unit.h"

#include "cli/print.h"
#include "cli/send.h"
#include "test/unit_server.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define TEXT(text) text, sizeof (text) - 1
#define RAN "HTTP/1.1 200 OK\r\nAsh-Outcome: ran\r\n"

static const struct answer_case heads[] = {
  { TEXT (RAN "Content-Length: 12\r\n\r\n") },
  { TEXT (RAN "Content-Length: 0\r\n\r\n") },
  { TEXT (RAN "Transfer-Encoding: chunked\r\n\r\n") },
  { TEXT (RAN "Connection: close\r\n\r\n") },
  { TEXT ("HTTP/1.0 200 OK\r\nAsh-Outcome: ran\r\n\r\n") },
  { TEXT ("HTTP/1.1 100 Continue\r\n\r\n" RAN "Content-Length: 0\r\n\r\n") },
  { TEXT ("HTTP/1.1 503 Full\r\nAsh-Outcome: not-run\r\nContent-Length: 0\r\n\r\n") },
};

static struct
{
  struct ev_loop *loop;
  ev_async stop;
  pthread_t thread;
  struct unit_server server;
  char url[64];
  struct ash_cli_answer answer;
} world;

static void
on_stop (struct ev_loop *loop, ev_async *stop, int events)
{
  (void) stop;
  (void) events;
  ev_break (loop, EVBREAK_ALL);
}

static void *
serve (void *data)
{
  (void) data;
  ev_run (world.loop, 0);
  return NULL;
}

static void
start (void)
{
  memset (&world, 0, sizeof world);
  world.loop = ev_loop_new (EVFLAG_AUTO);
  CU_ASSERT_TRUE_FATAL (unit_server_start (&world.server, world.loop));
  snprintf (world.url, sizeof world.url, "http://%s/", world.server.address);
  ev_async_init (&world.stop, on_stop);
  ev_async_start (world.loop, &world.stop);
  pthread_create (&world.thread, NULL, serve, NULL);
}

static void
finish (void)
{
  ev_async_send (world.loop, &world.stop);
  pthread_join (world.thread, NULL);
  unit_server_finish (&world.server);
  ev_loop_destroy (world.loop);
}

static void
fetch (const char *text, size_t length, enum unit_server_end end)
{
  struct ash_cli_request request = { .url = world.url, .method = "POST" };

  world.server.answer = (struct answer_case){ text, length };
  world.server.end = end;
  ash_cli_fetch (&request, &world.answer);
}

/* Guards against an answer that is cut within its head, after each byte, by a close or a reset, and
 * that ashctl reports as complete, with an outcome. */
static void
test_cut_heads (void)
{
  start ();
  for (int end = UNIT_SERVER_CLOSES; end <= UNIT_SERVER_RESETS; end++)
    for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++)
      for (size_t length = 0; length < heads[i].length; length++)
        {
          const struct ash_cli_answer *answer = &world.answer;
          bool ok;

          fetch (heads[i].text, length, (enum unit_server_end) end);
          ok = !answer->whole && !answer->status && answer->connected && !*answer->outcome &&
               !answer->body && *answer->error;
          CU_ASSERT (ok);
          if (!ok)
            printf ("\n  status %ld, whole %d, outcome %s: %.*s", answer->status, answer->whole,
                    answer->outcome, (int) length, heads[i].text);
          ash_cli_answer_finish (&world.answer);
        }
  finish ();
}

/* Whole answers, however their bodies are delimited. */
static void
test_whole (void)
{
  static const char *const texts[] = {
    RAN "Content-Length: 5\r\n\r\nhello",
    RAN "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    RAN "\r\nhello",
    "HTTP/1.1 100 Continue\r\n\r\n" RAN "Content-Length: 5\r\n\r\nhello",
  };

  start ();
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      const char *body;

      fetch (texts[i], strlen (texts[i]), UNIT_SERVER_CLOSES);
      body = world.answer.body ? world.answer.body : "";
      CU_ASSERT (world.answer.whole && world.answer.status == 200 && !*world.answer.error);
      CU_ASSERT_STRING_EQUAL (world.answer.outcome, "ran");
      CU_ASSERT_STRING_EQUAL (body, "hello");
      ash_cli_answer_finish (&world.answer);
    }
  finish ();
}

/* Names that mean something in a query reached the entry as other names. */
static void
test_names_in_targets (void)
{
  struct ash_cli_send send = { .account = "R&D +1%", .service = "a=b#c?/d", .path = "/x" };
  char target[32] = "";

  start ();
  world.url[strlen (world.url) - 1] = '\0'; /* without its slash */
  send.entry = world.url;
  send.request.method = "GET";
  /* The addresses are asked for, and name no other entry: the request goes to the same one. */
  world.server.answer = (struct answer_case){ TEXT (RAN "Content-Length: 0\r\n\r\n") };
  world.server.end = UNIT_SERVER_CLOSES;
  ash_cli_send (&send, &world.answer);
  CU_ASSERT_STRING_EQUAL (world.server.targets,
                          "/v1/addresses?account=R%26D%20%2B1%25&service=a%3Db%23c%3F%2Fd\n/x\n");
  ash_cli_answer_finish (&world.answer);
  finish ();
  CU_ASSERT (ash_cli_append_name (target, sizeof target, "/v1/x/", "a/b"));
  CU_ASSERT_STRING_EQUAL (target, "/v1/x/a%2Fb");
  CU_ASSERT_FALSE (ash_cli_append_name (target, sizeof target, "/", "&&&&&&&&&&"));
  target[0] = '\0';
  CU_ASSERT_FALSE (ash_cli_append_name (target, 4, "/v1/x/", "a"));
}

/* Escape sequences of answers and logs reached the terminal. */
static void
test_print (void)
{
  static const char text[] = "a\tb\n\x1b[2J\r\x7f\xc2\x9b\xc3\xa4";
  char out[64] = "";

  for (int is_terminal = 0; is_terminal < 2; is_terminal++)
    {
      FILE *file = fmemopen (out, sizeof out, "w");

      CU_ASSERT_PTR_NOT_NULL_FATAL (file);
      ash_cli_print (file, is_terminal, text, sizeof text - 1);
      fclose (file);
      CU_ASSERT_STRING_EQUAL (out,
                              is_terminal ? "a\tb\n\\x1B[2J\\x0D\\x7F\\xC2\\x9B\xc3\xa4" : text);
    }
}

void
add_cli_tests (CU_pSuite suite)
{
  CU_add_test (suite, "ashctl: names in targets", test_names_in_targets);
  CU_add_test (suite, "ashctl: texts on a terminal", test_print);
  CU_add_test (suite, "ashctl: answers cut within their heads", test_cut_heads);
  CU_add_test (suite, "ashctl: whole answers", test_whole);
}
