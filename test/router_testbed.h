/**
 * @file
 * A testbed of real processes: routers, and stand-ins for the platform, which are a store, two
 * servers of one service and a group of ranks. Callers write raw bytes.
 */
#ifndef ASH_TEST_ROUTER_TESTBED_H
#define ASH_TEST_ROUTER_TESTBED_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define TESTBED_SERVERS 2
#define TESTBED_ROUTERS 4
#define TESTBED_RANKS 4
#define TESTBED_ANSWER_BYTES 65536

/** A router's process and ports. */
struct testbed_router
{
  pid_t pid;
  long log_start; /**< size of the log, in bytes, when the present process was started */
  uint16_t frontend_port;
  uint16_t readiness_port;
  uint16_t directory_port;
  uint16_t peer_port;
  uint16_t metrics_port;
};

/** A server's process. */
struct testbed_server
{
  pid_t pid;
  uint16_t port;
  char name[8];
  char id[16]; /**< of the current incarnation */
  uint32_t incarnations;
};

/** The link in front of each process; an index into testbed.links. */
enum testbed_link_kind
{
  TESTBED_LINK_SERVERS,                                        /**< one per server */
  TESTBED_LINK_RANKS = TESTBED_LINK_SERVERS + TESTBED_SERVERS, /**< one per rank */
  TESTBED_LINK_PEERS =
      TESTBED_LINK_RANKS + TESTBED_RANKS, /**< one per router, for links from its peers */
  TESTBED_LINK_CALLERS =
      TESTBED_LINK_PEERS + TESTBED_ROUTERS, /**< in front of the first router's frontend */
  TESTBED_LINK_STORE,
  TESTBED_LINKS,
};

/** In which direction the open connections of a link stop passing bytes. */
enum testbed_silence
{
  TESTBED_SILENT_BOTH = 1,
  TESTBED_SILENT_ANSWERS,  /**< requests still arrive, answers don't */
  TESTBED_SILENT_REQUESTS, /**< requests no longer arrive, answers still do */
};

/** A proxy that can silence its open connections: test/standin_link.c. */
struct testbed_link
{
  pid_t pid;
  uint16_t port;
  uint16_t control;
};

/** The processes of a test and the settings of routers that are started from now on. */
struct testbed
{
  char folder[64];
  pid_t store;
  uint16_t store_port;
  struct testbed_server servers[TESTBED_SERVERS];
  struct testbed_router routers[TESTBED_ROUTERS];
  pid_t group; /**< the group of ranks; started by testbed_start_group() */
  uint16_t ranks[TESTBED_RANKS];
  bool linked;      /**< connections pass through the links */
  bool suspendable; /**< routers use the clock of test/standin_clock.c */
  int64_t ahead_ms; /**< how far the routers' CLOCK_BOOTTIME is ahead */
  struct testbed_link links[TESTBED_LINKS];
  uint32_t version; /**< of the configuration published last */
  bool has_key;     /**< the published account has the key "key-1" */
  uint32_t store_wait_ms;
  uint32_t list_wait_ms;
  uint32_t short_wait_ms;
  uint32_t wait_ms;     /**< how long a request may wait for a free slot */
  const char *grace;    /**< settings line with grace_s, the time for a planned stop */
  const char *odd_hall; /**< hall of the routers with odd numbers; NULL: that of all others */
};

/** What a caller received. */
struct testbed_answer
{
  int status;    /**< 0: no answer */
  bool complete; /**< according to its framing */
  char text[TESTBED_ANSWER_BYTES];
  char body[TESTBED_ANSWER_BYTES];
};

/** Starts the store and the servers and lists the servers, then starts the first router. Publishes
 * no configuration. */
void testbed_start (struct testbed *testbed);

/** Like testbed_start(), with a proxy (struct testbed_link) in front of each process. */
void testbed_start_linked (struct testbed *testbed);

/** Like testbed_start_linked(); routers use a clock that testbed_advance_boot_clock() moves. */
void testbed_start_suspendable (struct testbed *testbed);

/** Moves the clock that counts suspended time (CLOCK_BOOTTIME) ahead by @p ms more, for all
 * routers. */
void testbed_advance_boot_clock (struct testbed *testbed, int64_t ms);

/** Makes the connections that are open at a link silent for good: bytes are no longer passed, and
 * they are not closed. New connections work. */
void testbed_silence (struct testbed *testbed, int link, enum testbed_silence silence);

/** @return how many connections a link has accepted so far. */
int testbed_link_accepted (struct testbed *testbed, int link);

void testbed_stop (struct testbed *testbed);

/** Starts a router, or restarts one that was ended. */
void testbed_start_router (struct testbed *testbed, int r);

/** Starts a group of ranks and lists them as the service "model", for the route /model/. */
void testbed_start_group (struct testbed *testbed);

/** @return a number from the group's state, or -1. @param name its name in the answer to GET
 * /state, see test/standin_ranks.c. */
long testbed_group_state (struct testbed *testbed, const char *name);

/** Waits until the router's readiness page reports @p ready. @return false after 10 s. */
bool testbed_wait_ready (struct testbed *testbed, int r, bool ready);

/** Publishes the configuration with a higher version. */
void testbed_publish (struct testbed *testbed);

/** Publishes a text as the configuration, valid or not. */
void testbed_publish_text (struct testbed *testbed, const char *text);

/** Writes the store's entry of server @p s. @param state "ready" or "draining". */
void testbed_list_server (struct testbed *testbed, int s, const char *state);

/** Restarts the servers that have crashed, each with a new id, and lists them in place of their
 * former entries. @return how many there were. */
int testbed_restart_servers (struct testbed *testbed);

/** Makes an HTTP call to a stand-in, or to a page of a router. @return the body, valid until the
 * next call. */
const char *testbed_fetch (uint16_t port, const char *method, const char *target, const char *body);

/** Connects to a router's frontend. @return a socket, or -1. */
int testbed_connect (struct testbed *testbed, int r);

/** Writes a text; stops early if the peer has closed the connection. */
void testbed_send (int fd, const char *text);

/** Reads one answer, until it is complete or the connection closes. */
void testbed_read (int fd, struct testbed_answer *answer);

/**
 * Sends a request to the first router on a new connection, and reads the answer.
 * @param path as "/safe/x"; @param action the value of X-Do (test/standin_server.c), or NULL;
 * @param more further header lines, each with its line end.
 */
void testbed_call (struct testbed *testbed,
                   const char *id,
                   const char *path,
                   const char *action,
                   const char *more,
                   struct testbed_answer *answer);

/** Like testbed_call(), to router @p r. */
void testbed_call_at (struct testbed *testbed,
                      int r,
                      const char *id,
                      const char *path,
                      const char *action,
                      const char *more,
                      struct testbed_answer *answer);

/** Checks that the answer's body has each event of the range exactly once. */
void testbed_expect_events (const struct testbed_answer *answer, int first, int last);

/** @return how many requests with that attempt id the servers have received. */
int testbed_count_runs (struct testbed *testbed, const char *id);

/** @return whether a line that the router's present process has logged contains the text. */
bool testbed_logged (struct testbed *testbed, int r, const char *text);

/** @return how many lines that the router's present process has logged contain the text. */
int testbed_count_logged (struct testbed *testbed, int r, const char *text);

/** Waits until the router's present process has logged the text. @return false after 10 s. */
bool testbed_wait_logged (struct testbed *testbed, int r, const char *text);

#endif
