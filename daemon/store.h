/**
 * @file
 * Reads the configuration and the list of endpoints from the platform's store. Each is read
 * completely once and then watched for changes; nothing is ever written. While the store does not
 * answer, peers may supply what they have.
 */
#ifndef ASH_STORE_H
#define ASH_STORE_H

#include "common/clock.h"
#include "controllers/seen_changes.h"
#include "controllers/tombstones.h"
#include "net/http_call.h"
#include "platform/store.h"
#include "proto/event.h"

#include <ev.h>
#include <uthash.h>

struct ash_router;

/** Parts of the store that are read, each by its own reader. */
#define ASH_STORE_PARTS 2

/** What a reader is doing. */
enum ash_store_state
{
  ASH_STORE_DELAYED,   /**< no request is active; the next one is sent when the timer expires */
  ASH_STORE_LISTING,   /**< a page of the complete contents has been requested */
  ASH_STORE_WATCHING,  /**< a long poll waits for the next change */
  ASH_STORE_FOLLOWING, /**< other routers of the hall poll the store and forward changes */
};

/** Reads one part of the store. */
struct ash_store_reader
{
  struct ash_router *router;
  enum ash_store_part part;
  enum ash_store_state state;
  struct ash_http_call call;
  struct ash_buffer answer;
  uint16_t status;
  enum ash_store_era era_status; /**< whether the answer has an era, and a valid one */
  uint64_t era;
  uint64_t position; /**< store position after which the watch continues; 0: everything must be read
                        first */
  struct ash_store_pages pages; /**< how far the list has been read; all zero: not at all */
  uint32_t listing_id; /**< number of the current listing; entries with another number are missing
                          from it */
  struct ash_time requested_at; /**< when the current request was sent */
  struct ash_time answer_began; /**< when the head of the current answer arrived */
  uint32_t wait_ms;             /**< how long the store may wait with its answer */
  struct ash_time overdue_at; /**< an answer after this time shows that the store was unavailable */
  struct ash_time last_answer; /**< when the last valid answer came */
  struct ash_time failing_since;
  struct ash_time last_outage; /**< when the store was last known to be unavailable */
  bool is_answering;           /**< the last request was answered */
  bool has_listed;   /**< all of the part is known: it was read to its end, or a peer sent it */
  bool list_changed; /**< the last answer changed the list of endpoints */
  struct ash_time list_changed_at;
  uint32_t burst;    /**< consecutive answers that changed the list, close together */
  uint32_t failures; /**< consecutive failed requests */
  uint32_t
      timeouts; /**< consecutive timeouts of requests that the store should answer immediately */
  bool just_listed;   /**< everything has just been read; the first watch is yet to start */
  bool was_suspended; /**< the process was suspended: changes that peers sent meanwhile are lost */
  bool distrust_idle; /**< the last request timed out: idle connections may be dead too and are not
                         used */
  ev_timer timer;
};

/** An entry of the list of endpoints as the store has it, kept for peers. */
struct ash_store_entry
{
  char id[ASH_DIRECT_NAME_BYTES];
  uint8_t *value;
  size_t value_bytes;
  uint64_t digest;     /**< digest of the entry's contents */
  uint64_t position;   /**< store position up to which the entry is known to be current */
  uint32_t listing_id; /**< number of the last listing that had this entry */
  UT_hash_handle hh;
};

/**
 * The ids of the entries that the store's last answer changed, to send to routers that don't poll
 * it.
 */
struct ash_store_changes
{
  char (*ids)[ASH_DIRECT_NAME_BYTES];
  uint32_t count;
  uint32_t capacity;
};

/** The router's view of the store. */
struct ash_store
{
  struct ash_router *router;
  struct ash_http_pool pool;
  struct ash_store_reader readers[ASH_STORE_PARTS];
  struct ash_store_entry *entries;
  uint64_t digest; /**< digest of all entries, independent of their order */
  uint64_t era;    /**< the store's era, increased when it is restored from an older copy */
  struct ash_tombstones tombstones;
  struct ash_store_changes changes;
  struct ash_seen_changes unusable; /**< entries that can't be used, so that each is logged once */
  uint64_t unusable_total;          /**< changes that left an entry unusable */
  uint64_t calls;                   /**< number of requests sent to the store */
  struct ash_time uncertain_until;  /**< until then entries may be missing only because they expired
                                       while the store was unavailable */
};

/** Starts reading. @return false: the store's address is invalid. */
bool ash_store_open (struct ash_store *store, struct ash_router *router);

void ash_store_close (struct ash_store *store);

/** @return whether the store answered the last request for that part. */
bool ash_store_is_answering (const struct ash_store *store, enum ash_store_part part);

/**
 * @return whether this router gets changes of that part directly from the store: it polls the
 * store, and the store answers.
 */
bool ash_store_is_polled (const struct ash_store *store, enum ash_store_part part);

/** @return whether the list of endpoints is known to its end. A router that can't read a page of it
 * serves from the others until then. */
bool ash_store_list_is_complete (const struct ash_store *store);

/** @return whether other routers of the hall poll the store for that part and forward changes. */
bool ash_store_is_followed (const struct ash_store *store, enum ash_store_part part);

/**
 * Cancels the watch of a part and reads the part again without a waiting time. To be called if
 * something other than the watch's own timeout indicates that its connection is dead.
 * @param why for the log.
 */
void ash_store_restart_watch (struct ash_store *store, enum ash_store_part part, const char *why);

/**
 * Handles the case that peers have had a newer list of endpoints than this router since @p since.
 * Entries that are missing from this router's list may have expired while the store was
 * unavailable, which this process did not notice. Their endpoints stay in use for a short time.
 */
void ash_store_expect_lapses (struct ash_store *store, struct ash_time since);

/**
 * Runs the timers: starts to poll if this router has become a reader, and replaces a watch that
 * waits longer than it now should.
 */
void ash_store_tick (struct ash_store *store, struct ash_time now);

/** After a suspension of this process: restarts the current requests. */
void ash_store_resume (struct ash_store *store);

/**
 * Fills a list for a peer; ash_store_list_free() frees its arrays. @return false: out of memory.
 */
bool ash_store_fill_list (const struct ash_store *store, struct Ash__EndpointList *list);
void ash_store_list_free (struct Ash__EndpointList *list);

/**
 * Applies a peer's list, or its changes, if it is newer than this router's list.
 * @param source the peer's box, for the log.
 * @return false: changes before these are missing, and the complete list is needed.
 */
bool ash_store_apply_list (struct ash_store *store,
                           const struct Ash__EndpointList *list,
                           const char *source);

#endif
