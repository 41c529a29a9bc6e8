/**
 * @file
 * Reads from the platform: watches the configuration by long polling and polls the list of boxes,
 * with back-off while the platform does not answer.
 */
#ifndef ASH_PLATFORM_READER_H
#define ASH_PLATFORM_READER_H

#include "controllers/peer_version.h"
#include "daemon/daemon.h"

/** Callbacks for data read from the platform. */
struct ash_platform_reader_handler
{
  /** A new configuration document. */
  void (*document) (void *data, uint64_t revision, const char *text, size_t text_bytes);
  /** A row of the list of boxes. */
  void (*box) (void *data, const char *name, bool leaving);
  bool (*should_read) (void *data); /**< false: peers read the platform and send what they get */
  void *data;
};

struct ash_platform_reader;

/** A repeated read of one resource. */
struct ash_platform_read
{
  struct ash_platform_reader *platform;
  struct ash_fetch *fetch; /**< the read in progress; NULL: none */
  bool is_list;            /**< reads the list of boxes, not the configuration */
  bool is_long_poll; /**< the platform may delay its answer to the last read until there is a new
                        document */
  struct ash_time sent_at; /**< when the last read was sent */
  uint64_t after_revision; /**< the last read requested a revision newer than this */
  uint32_t status;         /**< HTTP status of the answer; 0: none or too long */
  uint64_t revision;       /**< revision of the document in the answer */
  char *body;
  size_t body_bytes;
  uint32_t failures; /**< consecutive failed reads */
  ev_timer timer;    /**< starts the next read */
};

/** Reads the configuration and the list of boxes from the platform's HTTP interface. */
struct ash_platform_reader
{
  struct ash_daemon *daemon;
  struct ash_log log;
  struct ash_platform_reader_handler handler;
  struct ash_random random;
  struct ash_platform_read config;
  struct ash_platform_read list;
  uint64_t read_revision;                 /**< revision of the last document read */
  uint64_t confirmed_revision;            /**< own reads missed no revision up to this one */
  struct ash_peer_version peer_revisions; /**< active revisions of peers */
  bool is_reading; /**< the last read of the configuration succeeded and reading continues */
};

/** Starts reading. @p handler is copied. */
void ash_platform_reader_init (struct ash_platform_reader *platform,
                               struct ash_daemon *daemon,
                               const struct ash_platform_reader_handler *handler);

/** A peer has reported its active revision. */
void ash_platform_reader_peer_revision (struct ash_platform_reader *platform,
                                        struct ash_time now,
                                        uint64_t revision);

/** Runs the timers: restarts a watch that does not deliver a revision that peers have. */
void ash_platform_reader_tick (struct ash_platform_reader *platform, struct ash_time now);

/** @return whether the last read of the configuration failed; false before the first read. */
bool ash_platform_reader_failed (const struct ash_platform_reader *platform);

/** Stops the timers. Reads in progress end with the HTTP client. */
void ash_platform_reader_finish (struct ash_platform_reader *platform);

#endif
