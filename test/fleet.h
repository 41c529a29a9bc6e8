/**
 * @file
 * A fleet of real processes on loopback for the fault tests: daemons and
 * stand-ins, started, stopped, killed and paused by their own process ids.
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
#define FLEET_ENDPOINTS 3 /* the models, then one plain service */
#define FLEET_STOCK 2     /* the plain service's index */

/** A box of the fleet. */
struct fleet_box
{
  char name[32];
  pid_t pid;
  uint16_t peer_port;
  uint16_t http_port;     /**< of an entry; of an endpoint: its engine's */
  uint16_t link_port;     /**< of an endpoint: the link before its agent */
  uint16_t control_port;  /**< of that link */
  uint16_t platform_port; /**< of an entry: where it reads; 0: the fleet's platform */
  pid_t engine;
  pid_t link;
};

/** The fleet. */
struct fleet
{
  char folder[64];
  uint16_t platform_port;
  pid_t platform;
  struct fleet_box entries[FLEET_ENTRIES];
  struct fleet_box endpoints[FLEET_ENDPOINTS];
  const char *extra; /**< settings added to each daemon's */
};

/** A call in a thread of its own. */
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

/** Starts everything and waits until each entry sees each endpoint. */
void fleet_start (struct fleet *fleet, const char *extra);

/** Ends what is left of it. */
void fleet_stop (struct fleet *fleet);

/** Starts one daemon (again). */
void fleet_start_entry (struct fleet *fleet, int e);
void fleet_start_endpoint (struct fleet *fleet, int a);

/** Waits until an entry sees so many endpoints live. @return false after 10 s. */
bool fleet_wait_live (struct fleet *fleet, int e, int count);

/** Ends a process by signal and waits for it. @return its exit status, or -1 if killed. */
int fleet_end_process (pid_t *pid, int signal);

/** Begins a chat completion; @p tokens as long. */
void
fleet_begin_chat (struct fleet *fleet, struct fleet_call *call, int e, bool stream, int tokens);

/** Begins an order: a plain call that may not be repeated. */
void fleet_begin_order (struct fleet *fleet,
                        struct fleet_call *call,
                        int e,
                        const char *key,
                        unsigned attempt,
                        int work_ms,
                        unsigned deadline_ms);

/** Mints a key for a service at an entry. @return false if that fails. */
bool fleet_mint_key (struct fleet *fleet, int e, const char *service, char key[256]);

/** Waits for its answer. */
void fleet_wait_call (struct fleet_call *call);

/** Runs of a request at an endpoint's engine, of kind "runs", "ended" or "cancelled";
 * of all requests if @p id is NULL. */
int fleet_count_runs (struct fleet *fleet, int a, const char *id, const char *kind);

/** Sets an engine's, a link's or the platform's behaviour: a query string. */
void fleet_control (uint16_t port, const char *path_and_query);

/** Publishes the fleet's document again, with more text. */
void fleet_publish (struct fleet *fleet, const char *more, uint64_t revision);

/** @return the configuration's revision at an entry, as its status says. */
int64_t fleet_revision (struct fleet *fleet, int e);

/** Whether a streamed answer is whole and all of it of its own request. */
bool fleet_stream_ok (const struct ash_cli_answer *answer, int tokens);

void fleet_sleep_ms (int64_t wait_ms);
int64_t fleet_now_ms (void);

/** Starts a program of the build with its output in FOLDER/LOG_NAME.log; the
 * arguments end with NULL. */
pid_t fleet_spawn (const char *folder, const char *log_name, const char *name, ...);

/** Finds ports of the loopback address that are free. */
void fleet_free_ports (uint16_t *ports, int count);

/** How many lines of a daemon's log hold the text. */
int fleet_count_log_lines (struct fleet *fleet, const char *box, const char *text);

#endif
