/**
 * @file
 * Peer links: TCP connections between the ashspindle processes of a fleet. Received messages, and
 * links going up and down, are passed to one handler as events; messages are sent by box name.
 *
 * A frame is a 4-byte length, a packed Event, and after the handshake a MAC over the frame's
 * sequence number and payload, keyed per link and direction, so that no frame can be replayed,
 * inserted, or moved to another link. A link that receives no frame for link_silence_ms is closed
 * and its buffers are discarded; a link whose frame is delayed by more than that is closed too.
 * This bounds the age of the messages that are handled.
 */
#ifndef ASH_PEER_H
#define ASH_PEER_H

#include "common/log.h"
#include "common/random.h"
#include "options/option.h"
#include "proto/event.h"

#include <ev.h>

#define ASH_PEER_KEY_BYTES 32

struct ash_link;
struct ash_dial;

/** Identity of this process, sent to its peers in the hello. */
struct ash_peer_identity
{
  const char *box;
  Ash__Role role;
  uint64_t incarnation;
  uint8_t fleet_key[ASH_PEER_KEY_BYTES];
};

/** Listening address and timeouts of links. */
struct ash_peer_settings
{
  const char *listen; /**< IP:PORT */
  uint32_t heartbeat_ms;
  uint32_t link_silence_ms; /**< a link that receives no frame for this time is closed; longer if
                               the peer sends heartbeats at a longer period */
  uint32_t dial_retry_ms;   /**< mean delay before reconnecting */
};

/** All peer links of a process. */
struct ash_peers
{
  struct ev_loop *loop;
  struct ash_peer_settings settings;
  struct ash_peer_identity identity;
  struct ash_log log;
  struct ash_random random;
  struct ash_sink handler; /**< receives events; their `peer` is the sender's box */
  uint64_t (*revision) (void *data);
  /** Fills in the heartbeat to a box; its arrays are freed after sending. */
  void (*heartbeat) (void *data, const char *box, struct Ash__Heartbeat *heartbeat);
  /** @return the heartbeat period in ms for a box, at least heartbeat_ms of the settings. NULL: the
   * settings apply to all boxes. */
  uint32_t (*period_ms) (void *data, const char *box);
  void *data; /**< argument of revision, heartbeat and period_ms */
  int listen_fd;
  ev_io listen_io;
  ev_timer timer;
  struct ash_link *links;
  struct ash_dial *dials;
  uint64_t bytes_in;
  uint64_t bytes_out;
};

/**
 * Starts listening at the address of the settings. The address is exclusive: binding fails
 * while a suspended earlier process still holds the address, so that no two agents of a box are
 * active.
 * @return false with errno set on failure.
 */
bool ash_peers_init (struct ash_peers *peers, struct ev_loop *loop);

void ash_peers_finish (struct ash_peers *peers);

/** @return the listening port, or 0 on error. */
uint16_t ash_peers_port (const struct ash_peers *peers);

/**
 * Adds an address to which a link is kept: it is dialled again whenever the link is down.
 * @param box the name of the box there, or "" if it is not known yet.
 */
void ash_peers_dial (struct ash_peers *peers, const char *box, const char *address);

/** Removes all dial addresses for which @p wanted returns false, and closes their links. */
void ash_peers_drop_dials (struct ash_peers *peers,
                           bool (*wanted) (void *data, const char *box, const char *address),
                           void *data);

/** Queues an event for a box. @return false if there is no link to it. */
bool ash_peers_send (struct ash_peers *peers, const char *box, const struct Ash__Event *event);

/** Sends a heartbeat on all links immediately. */
void ash_peers_send_heartbeats (struct ash_peers *peers);

/** Sends a heartbeat to one box immediately, if there is a link. */
void ash_peers_send_heartbeat (struct ash_peers *peers, const char *box);

/** Closes all links after this process was suspended, as their buffered messages are outdated. */
void ash_peers_close_links (struct ash_peers *peers);

#endif
