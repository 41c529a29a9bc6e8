/**
 * @file
 * The ledger of an endpoint: what became of each request that reached it. The
 * agent starts an id only if the ledger does not hold it, and writes a refusal
 * before it tells it; that is what "at most once" and "not run" rest on.
 */
#ifndef ASH_LEDGER_H
#define ASH_LEDGER_H

#include "common/clock.h"
#include "common/id.h"
#include "options/option.h"
#include "proto/event.h"

#include <uthash.h>

/** What became of a request. */
enum ash_record_state
{
  ASH_RECORD_NEW, /**< in none of the ledger's lists */
  ASH_RECORD_QUEUED,
  ASH_RECORD_RUNNING,
  ASH_RECORD_FINISHED,
  ASH_RECORD_REFUSED,
};

/** An entry that is to get the answer. */
struct ash_watcher
{
  char peer[ASH_NAME_BYTES];
  uint64_t attempt;
  struct ash_watcher *next;
};

/** The tail of an answer that is kept for resuming and for late askers. */
struct ash_answer
{
  uint32_t status; /**< 0: no head yet */
  char *content_type;
  uint64_t base; /**< offset of the first byte kept */
  uint8_t *bytes;
  size_t length;
  size_t capacity;
};

/** A request in the ledger. */
struct ash_record
{
  struct ash_id id;
  enum ash_record_state state;
  bool keyed;
  bool no_repeat;
  bool whole;            /**< finished: the engine ended it properly */
  int reason;            /**< enum Ash__Reason: why refused or broken */
  int outcome;           /**< enum Ash__Outcome told with a refusal */
  uint32_t refused_upto; /**< caller's attempts that the refusal covers */
  bool disowned;         /**< another endpoint is its home now: it never runs here */
  uint64_t run;          /**< names it towards the engine */
  uint32_t priority;
  uint32_t wait_ms;
  struct ash_time arrived;
  struct ash_time started;
  struct ash_time deadline;
  struct ash_time orphan_since; /**< nobody watches since then; NEVER if watched */
  struct ash_time expires;      /**< of finished and refused ones */
  struct ash_watcher *watchers;
  struct Ash__Submit *submit; /**< while queued; freed by the start */
  struct ash_answer answer;
  struct ash_record *prev; /**< in one of the ledger's lists */
  struct ash_record *next;
  UT_hash_handle hh;
};

/** The ledger, with its records in lists by what happens to them next. */
struct ash_ledger
{
  struct ash_record *records; /**< by id */
  struct ash_record *queued;  /**< by priority, then deadline */
  struct ash_record *running;
  struct ash_record *ended;       /**< without a key, in the order of expiry */
  struct ash_record *ended_keyed; /**< with a key, in the order of expiry */
  uint32_t count;
  uint32_t queued_count;
  uint32_t running_count;
  uint64_t kept_bytes; /**< of answers of ended records */
};

void ash_ledger_init (struct ash_ledger *ledger);
void ash_ledger_finish (struct ash_ledger *ledger);

/** @return the record, or NULL. */
struct ash_record *ash_ledger_find (const struct ash_ledger *ledger, struct ash_id id);

/** @return the running record of that run, or NULL. */
struct ash_record *ash_ledger_find_run (const struct ash_ledger *ledger, uint64_t run);

/** Adds a record that is in no list yet; NULL without memory. */
struct ash_record *ash_ledger_add (struct ash_ledger *ledger, struct ash_id id);

/** Puts a record into the queue, by priority and deadline. */
void ash_ledger_enqueue (struct ash_ledger *ledger, struct ash_record *record);

/** Moves a queued record to the running ones. */
void ash_ledger_start (struct ash_ledger *ledger, struct ash_record *record);

/**
 * Writes down how a record ended, finished or refused, and until when that is
 * remembered.
 */
void ash_ledger_end (struct ash_ledger *ledger,
                     struct ash_record *record,
                     enum ash_record_state state,
                     struct ash_time expires);

/** Takes a refused record back for a later attempt: it is in no list then. */
void ash_ledger_reopen (struct ash_ledger *ledger, struct ash_record *record);

/** Forgets what has expired, and answers above @p keep_bytes, oldest first. */
void ash_ledger_expire (struct ash_ledger *ledger, struct ash_time now, uint64_t keep_bytes);

/** Adds bytes to an answer and lets go of its start above @p keep_bytes. */
bool ash_answer_append (struct ash_answer *answer,
                        const uint8_t *bytes,
                        size_t length,
                        size_t keep_bytes);

/** @return the watcher of that box and attempt, or NULL. */
struct ash_watcher *
ash_record_watcher (const struct ash_record *record, const char *peer, uint64_t attempt);

/** Adds a watcher, if it is not one yet. */
bool ash_record_watch (struct ash_record *record, const char *peer, uint64_t attempt);

/** Removes and frees a watcher. */
void ash_record_unwatch (struct ash_record *record, struct ash_watcher *watcher);

/** Removes all watchers of a box. @return whether there was one. */
bool ash_record_unwatch_box (struct ash_record *record, const char *peer);

#endif
