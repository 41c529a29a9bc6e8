/**
 * @file
 * Unit tests of peer links, with two processes' links on one event loop over loopback.
 */
#include "common/id.h"
#include "net/peer.h"
#include "test/unit.h"

#include <stdlib.h>
#include <string.h>

/* More iterations of the event loop than two boxes need to complete a handshake. */
#define HANDSHAKE_ITERATIONS 12

static uint64_t
no_revision (void *data)
{
  (void) data;
  return 0;
}

static void
empty_heartbeat (void *data, const char *box, struct Ash__Heartbeat *heartbeat)
{
  (void) data;
  (void) box;
  (void) heartbeat;
}

static void
ignore_event (void *data, const struct Ash__Event *event)
{
  (void) data;
  (void) event;
}

static bool
is_wanted_never (void *data, const char *box, const char *address)
{
  (void) data;
  (void) box;
  (void) address;
  return false;
}

static void
open_peers (struct ash_peers *peers,
            struct ev_loop *loop,
            const char *box,
            const struct ash_log_sink *sink)
{
  *peers = (struct ash_peers){
    .settings = { "127.0.0.1:0", 1000, 5000, 1000 },
    .identity = { .box = box, .role = ASH__ROLE__ENTRY, .incarnation = ash_hash_text (box) },
    .log = { sink, "peer" },
    .handler = { ignore_event, NULL },
    .revision = no_revision,
    .heartbeat = empty_heartbeat,
  };
  CU_ASSERT_FATAL (ash_peers_init (peers, loop));
}

static void
iterate (struct ev_loop *loop, int count)
{
  for (int i = 0; i < count; i++)
    ev_run (loop, EVRUN_NOWAIT);
}

/* @return the log of two boxes, the first of which dials the second and stops to want the link
 * after some iterations of the event loop. */
static char *
drop_dial_after (int iterations)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct ash_log_sink sink = { .level = ASH_LOG_DEBUG, .box = "x" };
  struct ash_peers first;
  struct ash_peers second;
  char address[32];
  char *text = NULL;
  size_t length = 0;

  sink.out = open_memstream (&text, &length);
  open_peers (&first, loop, "first", &sink);
  open_peers (&second, loop, "second", &sink);
  snprintf (address, sizeof address, "127.0.0.1:%u", ash_peers_port (&second));
  ash_peers_dial (&first, "", address);
  iterate (loop, iterations);
  ash_peers_drop_dials (&first, is_wanted_never, NULL);
  iterate (loop, HANDSHAKE_ITERATIONS);
  CU_ASSERT_PTR_NULL (first.links);
  CU_ASSERT_PTR_NULL (second.links);
  ash_peers_finish (&first);
  ash_peers_finish (&second);
  ev_loop_destroy (loop);
  fclose (sink.out);
  return text;
}

/* A box that dropped an address in the middle of the handshake went on as the accepting side, and
 * logged that the peer had another fleet key. */
static void
test_dropped_in_handshake (void)
{
  bool any_up = false;

  for (int i = 0; i < HANDSHAKE_ITERATIONS; i++)
    {
      char *log = drop_dial_after (i);

      CU_ASSERT_PTR_NULL (strstr (log, " peer_refused "));
      any_up = any_up || strstr (log, " link_up ");
      free (log);
    }
  CU_ASSERT (any_up);
}

void
add_peer_tests (CU_pSuite suite)
{
  CU_add_test (suite, "peers: an address dropped in the handshake", test_dropped_in_handshake);
}
