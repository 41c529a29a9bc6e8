/**
 * @file
 * A fleet of real processes on loopback for the fault tests: entries, agents and stand-ins, which
 * are started, stopped, killed and paused by their process ids.
 */
#ifndef ASH_TEST_FLEET_H
#define ASH_TEST_FLEET_H

#include "cli/fetch.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define FLEET_ENTRIES 2
#define FLEET_MODELS 2
#define FLEET_ENDPOINTS 3 /* the model endpoints, then one plain service */
#define FLEET_STOCK 2     /* index of the plain service's endpoint */

/** A box of the fleet: an entry, or an endpoint with its engine and the link to its agent. */
struct fleet_box
{
  char name[32];
  pid_t pid;
  long log_start; /**< size of the log, in bytes, when the present process was started */
  uint16_t peer_port;
  uint16_t http_port;     /**< an entry's own port, or the port of an endpoint's engine */
  uint16_t link_port;     /**< endpoints: port of the stand-in link to the agent */
  uint16_t control_port;  /**< endpoints: control port of the stand-in link */
  uint16_t platform_port; /**< entries: the platform that it reads; 0: the fleet's */
  pid_t engine;
  pid_t link;
};

/** The processes of the fleet, their ports and the folder of their settings and logs. */
struct fleet
{
  char folder[64];
  uint16_t platform_port;
  pid_t platform;
  struct fleet_box entries[FLEET_ENTRIES];
  struct fleet_box endpoints[FLEET_ENDPOINTS];
  const char *extra; /**< TOML lines added to the settings of each daemon; borrowed */
};

/** A call that runs in its own thread. Its answer is valid after fleet_wait_call(). */
struct fleet_call
{
  pthread_t thread;
  char url[256];
  char key[256];
  struct ash_cli_request request;
  struct ash_cli_answer answer;
  int64_t started_ms;
  int64_t took_ms;
};

/** Starts all processes and waits until each entry has each endpoint as live, for 10 s at most.
 * @param extra settings that are added to each daemon's; must outlive the fleet */
void fleet_start (struct fleet *fleet, const char *extra);

/** Kills all processes that still run and removes the folder, unless FLEET_KEEP is set. */
void fleet_stop (struct fleet *fleet);

/** Starts one daemon, or restarts it after it has ended. */
void fleet_start_entry (struct fleet *fleet, int e);
void fleet_start_endpoint (struct fleet *fleet, int a);

/** Waits until an entry has exactly that many live endpoints. @return false after 10 s. */
bool fleet_wait_live (struct fleet *fleet, int e, int count);

/** Sends a signal (0: none) to a process, waits until it ends and clears its id. A process that
 * does not end within a minute is killed.
 * @return its exit status, or -1 if a signal killed it */
int fleet_end_process (pid_t *pid, int signal);

/** Begins a chat completion with an answer of @p tokens tokens. */
void
fleet_begin_chat (struct fleet *fleet, struct fleet_call *call, int e, bool stream, int tokens);

/** Begins an order: a call of the plain service that must not be repeated.
 * @param key the idempotency key, or NULL
 * @param attempt the caller's attempt with this key, from 1; 0: not sent
 * @param deadline_ms 0: the default */
void fleet_begin_order (struct fleet *fleet,
                        struct fleet_call *call,
                        int e,
                        const char *key,
                        unsigned attempt,
                        int work_ms,
                        unsigned deadline_ms);

/** Requests a minted idempotency key for a service from an entry. @return false on failure. */
bool fleet_mint_key (struct fleet *fleet, int e, const char *service, char key[256]);

/** Waits for the answer of a call. */
void fleet_wait_call (struct fleet_call *call);

/** @return how many runs of a request an endpoint's engine has recorded as "runs" (begun), "ended"
 * or "cancelled", selected by @p kind; of all requests if @p id is NULL */
int fleet_count_runs (struct fleet *fleet, int a, const char *id, const char *kind);

/** Posts a control call, such as "/control?mode=1", to a stand-in. */
void fleet_control (uint16_t port, const char *path_and_query);

/** Makes a stand-in answer requests whose path contains @p path with @p bytes and then close, or
 * reset, the connection; see standin_serve(). @param bytes NULL: proper answers again */
void fleet_cut_answers (uint16_t port, const char *path, const char *bytes, bool reset);

/** @return how many requests a stand-in has answered so. */
int fleet_count_cut_answers (uint16_t port);

/** Publishes the fleet's document with text appended, as the given revision. */
void fleet_publish (struct fleet *fleet, const char *more, uint64_t revision);

/** @return the revision of an entry's active configuration, from its /v1/status. */
int64_t fleet_revision (struct fleet *fleet, int e);

/** @return whether a streamed answer is whole, with exactly the tokens of its own request. */
bool fleet_stream_ok (const struct ash_cli_answer *answer, int tokens);

void fleet_sleep_ms (int64_t wait_ms);
int64_t fleet_now_ms (void);

/** Starts a program of the build folder with its output appended to FOLDER/LOG_NAME.log. Up to six
 * arguments follow the name, then NULL. */
pid_t fleet_spawn (const char *folder, const char *log_name, const char *name, ...);

/** Waits until a loopback port accepts connections. @return false after 10 s. */
bool fleet_wait_port (uint16_t port);

/** Starts a stand-in of the platform that serves the folder's published.toml, and waits until it
 * accepts connections. */
pid_t fleet_start_platform (const char *folder, const char *log_name, uint16_t port);

/** Reserves free consecutive loopback ports, at most 64; exits if there are none. */
void fleet_free_ports (uint16_t *ports, int count);

/** @return the present size of a process's log in bytes. */
long fleet_log_bytes (const char *folder, const char *log_name);

/** @return how many lines of a log contain the text, from the byte @p start_bytes on. */
int
fleet_count_lines (const char *folder, const char *log_name, long start_bytes, const char *text);

/** @return how many lines that a daemon's present process has logged contain the text. */
int fleet_count_log_lines (struct fleet *fleet, const char *box, const char *text);

#endif
