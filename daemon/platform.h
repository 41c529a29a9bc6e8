/**
 * @file
 * The reader of the platform: a long-poll watch of the configuration and a
 * read of the list of boxes, with back-off while it does not answer.
 */
#ifndef ASH_PLATFORM_H
#define ASH_PLATFORM_H

#include "daemon/daemon.h"

/** Who gets what the platform says. */
struct ash_platform_handler
{
  void (*document) (void *data, uint64_t revision, const char *text, size_t text_bytes);
  void (*box) (void *data, const char *name, bool leaving);
  bool (*should_read) (void *data); /**< or others read, and tell */
  void *data;
};

struct ash_platform;

/** One kind of read, repeated. */
struct ash_platform_read
{
  struct ash_platform *platform;
  bool running;
  bool is_list;
  uint32_t status;
  uint64_t revision;
  char *body;
  size_t body_bytes;
  uint32_t failures; /**< in a row */
  ev_timer timer;    /**< until the next read */
};

/** The reader. */
struct ash_platform
{
  struct ash_daemon *daemon;
  struct ash_log log;
  struct ash_platform_handler handler;
  struct ash_random random;
  struct ash_platform_read config;
  struct ash_platform_read list;
  uint64_t seen_revision; /**< of the last document read */
  bool reads;             /**< the last read of the configuration went well, and goes on */
};

/** Starts reading. */
void ash_platform_init (struct ash_platform *platform,
                        struct ash_daemon *daemon,
                        const struct ash_platform_handler *handler);

/** @return whether its last read failed: not so if it has not read as yet. */
bool ash_platform_failed (const struct ash_platform *platform);

/** Stops the timers; running reads end with the HTTP client. */
void ash_platform_finish (struct ash_platform *platform);

#endif
