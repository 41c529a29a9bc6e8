/**
 * @file
 * The reader of the platform: a long-poll watch of the configuration and a
 * read of the list of boxes, with back-off while it does not answer.
 */
#ifndef ASH_PLATFORM_READER_H
#define ASH_PLATFORM_READER_H

#include "controllers/peer_version.h"
#include "daemon/daemon.h"

/** Who gets what the platform says. */
struct ash_platform_reader_handler
{
  void (*document) (void *data, uint64_t revision, const char *text, size_t text_bytes);
  void (*box) (void *data, const char *name, bool leaving);
  bool (*should_read) (void *data); /**< or others read, and tell */
  void *data;
};

struct ash_platform_reader;

/** One kind of read, repeated. */
struct ash_platform_read
{
  struct ash_platform_reader *platform;
  struct ash_fetch *fetch; /**< under way; NULL: none */
  bool is_list;
  bool is_long_poll;       /**< it is a watch, which may be silent for as long as nothing is new */
  struct ash_time sent_at; /**< when it was sent */
  uint64_t after_revision; /**< the revision that it asks for newer ones than */
  uint32_t status;
  uint64_t revision;
  char *body;
  size_t body_bytes;
  uint32_t failures; /**< in a row */
  ev_timer timer;    /**< until the next read */
};

/** The reader. */
struct ash_platform_reader
{
  struct ash_daemon *daemon;
  struct ash_log log;
  struct ash_platform_reader_handler handler;
  struct ash_random random;
  struct ash_platform_read config;
  struct ash_platform_read list;
  uint64_t seen_revision;      /**< of the last document read */
  uint64_t confirmed_revision; /**< its own questions were answered as to revisions up to this */
  struct ash_peer_version peer_revisions; /**< revisions that peers have in force */
  bool is_reading; /**< the last read of the configuration went well, and goes on */
};

/** Starts reading. */
void ash_platform_reader_init (struct ash_platform_reader *platform,
                               struct ash_daemon *daemon,
                               const struct ash_platform_reader_handler *handler);

/** A peer tells which revision it has in force. */
void ash_platform_reader_peer_revision (struct ash_platform_reader *platform,
                                        struct ash_time now,
                                        uint64_t revision);

/** Time goes on: a watch that does not bring what peers have is sent_at anew. */
void ash_platform_reader_tick (struct ash_platform_reader *platform, struct ash_time now);

/** @return whether its last read failed: not so if it has not read as yet. */
bool ash_platform_reader_failed (const struct ash_platform_reader *platform);

/** Stops the timers; running is_reading end with the HTTP client. */
void ash_platform_reader_finish (struct ash_platform_reader *platform);

#endif
