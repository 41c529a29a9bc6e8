/**
 * @file
 * What the router reads from the platform's store: the configuration and the list
 * of endpoints. Each is read whole once and then watched for changes; nothing is
 * ever written. While the store does not answer, peers may give what they have.
 */
#ifndef ASH_STORE_H
#define ASH_STORE_H

#include "common/clock.h"
#include "controllers/tombstones.h"
#include "net/http_call.h"
#include "platform/store.h"
#include "proto/event.h"

#include <ev.h>
#include <uthash.h>

struct ash_router;

/** Parts that are read, each on its own. */
#define ASH_STORE_PARTS 2

/** What a reader is doing. */
enum ash_store_state
{
  ASH_STORE_DELAYED,   /**< until its timer */
  ASH_STORE_LISTING,   /**< all items are being read */
  ASH_STORE_WATCHING,  /**< the next change is awaited */
  ASH_STORE_FOLLOWING, /**< others of the hall ask, and tell what is new */
};

/** Reads one part. */
struct ash_store_reader
{
  struct ash_router *router;
  enum ash_store_part part;
  enum ash_store_state state;
  struct ash_http_call call;
  struct ash_buffer answer;
  uint16_t status;
  enum ash_store_era era_status; /**< what the answer says of the store's era */
  uint64_t era;
  uint64_t place;           /**< where the watch goes on; 0: all must be read first */
  char page[256];           /**< of the listing; empty: the first */
  uint32_t listing;         /**< number of the listing under way, to see what it misses */
  struct ash_time asked;    /**< when the question that is under way was */
  uint32_t wait_ms;         /**< how long the store may hold it */
  struct ash_time due;      /**< a later answer shows that the store was silent */
  struct ash_time answered; /**< the last sound answer */
  struct ash_time failing_since;
  struct ash_time trouble; /**< when the store was last known to be away */
  bool answers;            /**< the last question was answered */
  bool changed;            /**< the last answer changed the list of endpoints */
  struct ash_time changed_at;
  uint32_t burst;     /**< answers that changed it, close together */
  uint32_t failures;  /**< in a row */
  uint32_t timeouts;  /**< among them: answers due at once that did not come in time */
  bool just_listed;   /**< all has just been read; the first question for changes is to come */
  bool paused;        /**< this process was stopped: what others told meanwhile is lost */
  bool distrust_idle; /**< the last question was given up: kept connections may be as silent */
  ev_timer timer;
};

/** An entry of the list as it stands in the store, for peers. */
struct ash_store_entry
{
  char id[ASH_DIRECT_NAME_BYTES];
  uint8_t *value;
  size_t value_bytes;
  uint64_t digest;  /**< of what it says */
  uint64_t place;   /**< in the store's history, up to which this is known to hold */
  uint32_t listing; /**< the last one read from the store that had it */
  UT_hash_handle hh;
};

/** What an answer has changed, for those that follow. */
struct ash_store_changes
{
  char (*ids)[ASH_DIRECT_NAME_BYTES];
  uint32_t count;
  uint32_t room;
};

/** The store as this router sees it. */
struct ash_store
{
  struct ash_router *router;
  struct ash_http_pool pool;
  struct ash_store_reader readers[ASH_STORE_PARTS];
  struct ash_store_entry *entries;
  uint64_t digest; /**< of all entries: the same for the same ones, in whatever order */
  uint64_t era;    /**< of what is known here: see controllers/store_position.h */
  struct ash_tombstones tombstones;
  struct ash_store_changes changes;
  uint64_t calls;                  /**< questions asked */
  struct ash_time uncertain_until; /**< what is missing may have lapsed, as far as peers tell */
};

/** Starts reading. @return false if the address is none. */
bool ash_store_open (struct ash_store *store, struct ash_router *router);

void ash_store_close (struct ash_store *store);

/** @return whether the store answers questions for that part, as far as this router knows. */
bool ash_store_is_answering (const struct ash_store *store, enum ash_store_part part);

/** @return whether what is new is to be awaited from the store itself: it answers and is asked. */
bool ash_store_is_polled (const struct ash_store *store, enum ash_store_part part);

/** @return whether others of the hall ask for that part, and tell what is new. */
bool ash_store_is_followed (const struct ash_store *store, enum ash_store_part part);

/**
 * Something else shows that the question that waits for that part's next change is silent: it
 * is given up and asked anew, for an answer at once.
 */
void ash_store_restart_watch (struct ash_store *store, enum ash_store_part part, const char *why);

/**
 * Peers have had a newer list since then, which did not come here. What it lacks may have lapsed in
 * a silence of the store that this process has not noticed, and is used on for a short while.
 */
void ash_store_expect_lapses (struct ash_store *store, struct ash_time since);

/** Time goes on: who asks often from now on does not wait for a question that may take long. */
void ash_store_tick (struct ash_store *store, struct ash_time now);

/** The process was paused: what is under way is asked anew. */
void ash_store_resume (struct ash_store *store);

/** Fills a list for a peer; its arrays are freed by ash_store_list_free(). */
bool ash_store_fill_list (const struct ash_store *store, struct Ash__EndpointList *list);
void ash_store_list_free (struct Ash__EndpointList *list);

/**
 * Takes a peer's list, or its changes, if it is newer than what is known here.
 * @return false if there are changes before these that did not come: the whole list is needed.
 */
bool ash_store_apply_list (struct ash_store *store,
                           const struct Ash__EndpointList *list,
                           const char *source);

#endif
