/**
 * @file
 * A router as a real process before stand-ins of the platform, for tests: a store,
 * two servers of one service, and callers that write bytes as they like.
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
  char id[16];
  uint32_t incarnations;
};

/** What a link can stand before. */
enum testbed_link_kind
{
  TESTBED_LINK_SERVERS,                                        /**< one a server */
  TESTBED_LINK_RANKS = TESTBED_LINK_SERVERS + TESTBED_SERVERS, /**< one a rank */
  TESTBED_LINK_PEERS = TESTBED_LINK_RANKS + TESTBED_RANKS, /**< one a router, from its peer_port */
  TESTBED_LINK_CALLERS = TESTBED_LINK_PEERS + TESTBED_ROUTERS, /**< before the first router */
  TESTBED_LINK_STORE,
  TESTBED_LINKS,
};

/** How connections that are open fall silent. */
enum testbed_silence
{
  TESTBED_SILENT_BOTH = 1,
  TESTBED_SILENT_ANSWERS,  /**< no answer comes; what is asked still arrives */
  TESTBED_SILENT_REQUESTS, /**< nothing that is asked arrives */
};

/** A link that connections can be silenced at: test/standin_link.c. */
struct testbed_link
{
  pid_t pid;
  uint16_t port;
  uint16_t control;
};

/** All of it. */
struct testbed
{
  char folder[64];
  pid_t store;
  uint16_t store_port;
  struct testbed_server servers[TESTBED_SERVERS];
  struct testbed_router routers[TESTBED_ROUTERS];
  pid_t group; /**< of ranks; started by testbed_start_group() */
  uint16_t ranks[TESTBED_RANKS];
  bool linked; /**< connections pass links */
  bool suspendable;
  int64_t ahead_ms;
  struct testbed_link links[TESTBED_LINKS];
  uint32_t version;
  bool has_key;           /**< the published account has its key */
  uint32_t store_wait_ms; /**< of routers started from now on: how long their questions wait */
  uint32_t list_wait_ms;
  uint32_t short_wait_ms; /**< at those that ask often */
  uint32_t wait_ms;       /**< of routers started from now on: how long a request waits for room */
  const char *grace;      /**< their line of settings for the time to stop */
};

/** What a caller got. */
struct testbed_answer
{
  int status;    /**< 0: none */
  bool complete; /**< as far as its framing tells */
  char text[TESTBED_ANSWER_BYTES];
  char body[TESTBED_ANSWER_BYTES];
};

/** Starts store and servers, publishes, and starts the first router. */
void testbed_start (struct testbed *testbed);

/** The same, with a link before all that is connected to. */
void testbed_start_linked (struct testbed *testbed);

/** The same; routers that are started may find their clock ahead, see testbed_advance_boot_clock().
 */
void testbed_start_suspendable (struct testbed *testbed);

/** The clock that counts suspended time runs ahead by so much more, for all routers. */
void testbed_advance_boot_clock (struct testbed *testbed, int64_t ms);

/** Silences the connections that are open at a link, for good and without an end. */
void testbed_silence (struct testbed *testbed, int link, enum testbed_silence silence);

/** @return the connections that a link has taken so far. */
int testbed_link_accepted (struct testbed *testbed, int link);

void testbed_stop (struct testbed *testbed);

/** Starts a router (again). */
void testbed_start_router (struct testbed *testbed, int r);

/** Starts a group of ranks and lists them as the service "model", whose route is /model/. */
void testbed_start_group (struct testbed *testbed);

/** @return a number of the group's state: see test/standin_ranks.c. */
long testbed_group_state (struct testbed *testbed, const char *name);

/** Waits until it says that it is ready, or not. @return false after 10 s. */
bool testbed_wait_ready (struct testbed *testbed, int r, bool ready);

/** Publishes the configuration of routes, with a new version. */
void testbed_publish (struct testbed *testbed);

/** Publishes any text as the configuration. */
void testbed_publish_text (struct testbed *testbed, const char *text);

/** Puts a server into the store's list. @param state "ready" or "draining". */
void testbed_list_server (struct testbed *testbed, int s, const char *state);

/** Starts servers that have ended again, each with another id, and lists them in place of the
 * former. @return how many there were. */
int testbed_restart_servers (struct testbed *testbed);

/** A call to a stand-in or a page of a router. @return the body. */
const char *testbed_fetch (uint16_t port, const char *method, const char *target, const char *body);

/** Connects to a router's frontend_port. @return a socket. */
int testbed_connect (struct testbed *testbed, int r);

/** Writes a text. */
void testbed_send (int fd, const char *text);

/** Reads one answer, until it is complete or the connection ends. */
void testbed_read (int fd, struct testbed_answer *answer);

/**
 * A request on a connection of its own.
 * @param path as "/safe/x"; @param action for X-Do, or NULL; @param more further header lines.
 */
void testbed_call (struct testbed *testbed,
                   const char *id,
                   const char *path,
                   const char *action,
                   const char *more,
                   struct testbed_answer *answer);

/** The same at any router. */
void testbed_call_at (struct testbed *testbed,
                      int r,
                      const char *id,
                      const char *path,
                      const char *action,
                      const char *more,
                      struct testbed_answer *answer);

/** @return how often that request arrived at any server. */
int testbed_count_runs (struct testbed *testbed, const char *id);

/** @return whether the router's log holds the text. */
bool testbed_logged (struct testbed *testbed, int r, const char *text);

/** @return in how many lines of a router's log the text stands. */
int testbed_count_logged (struct testbed *testbed, int r, const char *text);

/** Waits until it does. @return false after 10 s. */
bool testbed_wait_logged (struct testbed *testbed, int r, const char *text);

#endif
