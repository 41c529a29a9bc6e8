/**
 * @file
 * A router as a real process before stand-ins of the platform, for tests: a store,
 * two servers of one service, and callers that write bytes as they like.
 */
#ifndef ASH_TEST_ROUTER_WORLD_H
#define ASH_TEST_ROUTER_WORLD_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define WORLD_SERVERS 2
#define WORLD_ROUTERS 4
#define WORLD_RANKS 4
#define WORLD_ANSWER_BYTES 65536

/** A router's process and ports. */
struct world_router
{
  pid_t pid;
  uint16_t frontend;
  uint16_t readiness;
  uint16_t directory;
  uint16_t peers;
  uint16_t figures;
};

/** A server's process. */
struct world_server
{
  pid_t pid;
  uint16_t port;
  char name[8];
  char id[16];
  uint32_t lives;
};

/** What a link can stand before. */
enum world_link_kind
{
  WORLD_LINK_SERVERS,                                    /**< one a server */
  WORLD_LINK_RANKS = WORLD_LINK_SERVERS + WORLD_SERVERS, /**< one a rank */
  WORLD_LINK_PEERS = WORLD_LINK_RANKS + WORLD_RANKS,     /**< one a router, from its peers */
  WORLD_LINK_CALLERS = WORLD_LINK_PEERS + WORLD_ROUTERS, /**< before the first router */
  WORLD_LINK_STORE,
  WORLD_LINKS,
};

/** How connections that are open fall silent. */
enum world_silence
{
  WORLD_SILENT_BOTH = 1,
  WORLD_SILENT_BACK,  /**< no answer comes; what is asked still arrives */
  WORLD_SILENT_THERE, /**< nothing that is asked arrives */
};

/** A link that connections can be silenced at: test/standin_link.c. */
struct world_link
{
  pid_t pid;
  uint16_t port;
  uint16_t control;
};

/** All of it. */
struct world
{
  char folder[64];
  pid_t store;
  uint16_t store_port;
  struct world_server servers[WORLD_SERVERS];
  struct world_router routers[WORLD_ROUTERS];
  pid_t group; /**< of ranks; started by world_start_group() */
  uint16_t ranks[WORLD_RANKS];
  bool linked; /**< connections pass links */
  bool suspendable;
  int64_t ahead_ms;
  struct world_link links[WORLD_LINKS];
  uint32_t version;
  bool has_key;           /**< the published account has its key */
  uint32_t store_wait_ms; /**< of routers started from now on: how long their questions wait */
  uint32_t list_wait_ms;
  uint32_t short_wait_ms; /**< at those that ask often */
  uint32_t wait_ms;       /**< of routers started from now on: how long a request waits for room */
  const char *grace;      /**< their line of settings for the time to stop */
};

/** What a caller got. */
struct world_answer
{
  int status; /**< 0: none */
  bool whole; /**< as far as its framing tells */
  char text[WORLD_ANSWER_BYTES];
  char body[WORLD_ANSWER_BYTES];
};

/** Starts store and servers, publishes, and starts the first router. */
void world_start (struct world *world);

/** The same, with a link before all that is connected to. */
void world_start_linked (struct world *world);

/** The same; routers that are started may find their clock ahead, see world_clock_ahead(). */
void world_start_suspendable (struct world *world);

/** The clock that counts suspended time runs ahead by so much more, for all routers. */
void world_clock_ahead (struct world *world, int64_t ms);

/** Silences the connections that are open at a link, for good and without an end. */
void world_silence (struct world *world, int link, enum world_silence silence);

/** @return the connections that a link has taken so far. */
int world_link_taken (struct world *world, int link);

void world_stop (struct world *world);

/** Starts a router (again). */
void world_start_router (struct world *world, int r);

/** Starts a group of ranks and lists them as the service "model", whose route is /model/. */
void world_start_group (struct world *world);

/** @return a number of the group's state: see test/standin_ranks.c. */
long world_group (struct world *world, const char *name);

/** Waits until it says that it is ready, or not. @return false after 10 s. */
bool world_wait_ready (struct world *world, int r, bool ready);

/** Publishes the configuration of routes, with a new version. */
void world_publish (struct world *world);

/** Publishes any text as the configuration. */
void world_publish_text (struct world *world, const char *text);

/** Puts a server into the store's list. @param state "ready" or "draining". */
void world_list (struct world *world, int s, const char *state);

/** Starts servers that have ended again, each with another id, and lists them in place of the
 * former. @return how many there were. */
int world_revive (struct world *world);

/** A call to a stand-in or a page of a router. @return the body. */
const char *world_get (uint16_t port, const char *method, const char *target, const char *body);

/** Connects to a router's frontend. @return a socket. */
int world_connect (struct world *world, int r);

/** Writes a text. */
void world_send (int fd, const char *text);

/** Reads one answer, until it is whole or the connection ends. */
void world_read (int fd, struct world_answer *answer);

/**
 * A request on a connection of its own.
 * @param path as "/safe/x"; @param action for X-Do, or NULL; @param more further header lines.
 */
void world_call (struct world *world,
                 const char *id,
                 const char *path,
                 const char *action,
                 const char *more,
                 struct world_answer *answer);

/** The same at any router. */
void world_call_at (struct world *world,
                    int r,
                    const char *id,
                    const char *path,
                    const char *action,
                    const char *more,
                    struct world_answer *answer);

/** @return how often that request arrived at any server. */
int world_runs (struct world *world, const char *id);

/** @return whether the router's log holds the text. */
bool world_logged (struct world *world, int r, const char *text);

/** @return in how many lines of a router's log the text stands. */
int world_count_logged (struct world *world, int r, const char *text);

/** Waits until it does. @return false after 10 s. */
bool world_wait_logged (struct world *world, int r, const char *text);

#endif
