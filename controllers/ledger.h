/**
 * @file
 * The ledger of an endpoint: the state and result of each request that reached it. The agent starts
 * a request only if the ledger has no record of its id, and records a refusal before sending it.
 * The guarantees "at most once" and "not run" depend on both.
 */
#ifndef ASH_LEDGER_H
#define ASH_LEDGER_H

#include "common/clock.h"
#include "common/id.h"
#include "options/option.h"
#include "proto/event.h"

#include <uthash.h>

/** State of a request. */
enum ash_record_state
{
  ASH_RECORD_NEW, /**< not in any of the ledger's lists */
  ASH_RECORD_QUEUED,
  ASH_RECORD_RUNNING,
  ASH_RECORD_FINISHED,
  ASH_RECORD_REFUSED,
};

/** An entry that gets the answer, or the refusal, of a request. */
struct ash_watcher
{
  char peer[ASH_NAME_BYTES];
  uint64_t attempt;
  struct ash_watcher *next;
};

/** The last part of an answer, kept for entries that resume it or attach late. */
struct ash_answer
{
  uint32_t status; /**< HTTP status; 0: not known yet */
  char *content_type;
  uint64_t base; /**< offset in the answer of the first byte kept */
  uint8_t *bytes;
  size_t length;
  size_t capacity;
};

/** A request in the ledger. */
struct ash_record
{
  struct ash_id id;
  enum ash_record_state state;
  bool keyed; /**< the request has a key: the caller may submit it again through another entry */
  bool no_repeat;        /**< must not run more than once */
  bool whole;            /**< if finished: the answer is complete */
  int reason;            /**< enum Ash__Reason: why the request was refused or is incomplete */
  int outcome;           /**< enum Ash__Outcome to send with a refusal */
  uint32_t refused_upto; /**< highest of the caller's attempts that the refusal covers */
  bool disowned; /**< another endpoint is the key's home now: the request must never run here */
  uint64_t run;  /**< number of the run, identifies it in messages with the engine */
  uint32_t priority;
  uint32_t wait_ms; /**< time spent in the queue */
  struct ash_time arrived;
  struct ash_time started;
  struct ash_time deadline;
  struct ash_time
      orphan_since; /**< since when the record has no watcher; ASH_TIME_NEVER if it has one */
  struct ash_time expires; /**< if finished or refused: when the record is deleted */
  struct ash_watcher *watchers;
  struct Ash__Submit *submit; /**< owned, while queued; freed when the run starts */
  struct ash_answer answer;
  struct ash_record *prev; /**< links in one of the ledger's lists */
  struct ash_record *next;
  UT_hash_handle hh;
};

/** The ledger: all records by id, and in one list per state. */
struct ash_ledger
{
  struct ash_record *records; /**< hash table by id */
  struct ash_record *queued;  /**< ordered by priority, then by deadline */
  struct ash_record *running;
  struct ash_record *ended;       /**< finished or refused, without a key, ordered by expiry */
  struct ash_record *ended_keyed; /**< finished or refused, with a key, ordered by expiry */
  uint32_t count;
  uint32_t queued_count;
  uint32_t running_count;
  uint64_t kept_bytes; /**< total bytes of answers of ended records */
};

void ash_ledger_init (struct ash_ledger *ledger);
void ash_ledger_finish (struct ash_ledger *ledger);

/** @return the record, or NULL. */
struct ash_record *ash_ledger_find (const struct ash_ledger *ledger, struct ash_id id);

/** @return the record whose current run has that number, or NULL. */
struct ash_record *ash_ledger_find_run (const struct ash_ledger *ledger, uint64_t run);

/**
 * Adds a record in state NEW. @return the record, owned by the ledger, or NULL if memory is short.
 */
struct ash_record *ash_ledger_add (struct ash_ledger *ledger, struct ash_id id);

/** Inserts a record into the queue, ordered by priority, then deadline. */
void ash_ledger_enqueue (struct ash_ledger *ledger, struct ash_record *record);

/** Moves a queued record to the running ones. */
void ash_ledger_start (struct ash_ledger *ledger, struct ash_record *record);

/**
 * Records the end of a request and when the record expires.
 * @param state ASH_RECORD_FINISHED or ASH_RECORD_REFUSED.
 */
void ash_ledger_end (struct ash_ledger *ledger,
                     struct ash_record *record,
                     enum ash_record_state state,
                     struct ash_time expires);

/** Sets a refused record back to state NEW for a later attempt. */
void ash_ledger_reopen (struct ash_ledger *ledger, struct ash_record *record);

/** Deletes expired records, and frees the oldest answers while all ended ones together exceed @p
 * keep_bytes. */
void ash_ledger_expire (struct ash_ledger *ledger, struct ash_time now, uint64_t keep_bytes);

/** Appends bytes to an answer, and drops its start so that at least the last @p keep_bytes are
 * kept. @return false if memory is short. */
bool ash_answer_append (struct ash_answer *answer,
                        const uint8_t *bytes,
                        size_t length,
                        size_t keep_bytes);

/** @return the watcher of that box and attempt, or NULL. */
struct ash_watcher *
ash_record_watcher (const struct ash_record *record, const char *peer, uint64_t attempt);

/** Adds a watcher unless it exists already. @return false if memory is short. */
bool ash_record_watch (struct ash_record *record, const char *peer, uint64_t attempt);

/** Removes and frees a watcher. */
void ash_record_unwatch (struct ash_record *record, struct ash_watcher *watcher);

/** Removes all watchers of a box. @return whether there were any. */
bool ash_record_unwatch_box (struct ash_record *record, const char *peer);

#endif
