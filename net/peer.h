/**
 * @file
 * Peer links: TCP between the system's own processes. The task owns its
 * sockets; it gives received messages, and links going up and down, to one
 * handler, and takes messages to send by box name.
 *
 * A frame is a 4-byte length, a packed Event, and after the handshake a MAC
 * under the session's key and the frame's number, so that no frame can be
 * replayed, put in, or moved to another link. A link without a frame for
 * link_silence_ms is closed and what is still in its buffers is thrown away:
 * that bounds how late a message can be.
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

/** Who this process is towards its peers. */
struct ash_peer_identity
{
  const char *box;
  Ash__Role role;
  uint64_t incarnation;
  uint8_t fleet_key[ASH_PEER_KEY_BYTES];
};

/** Where links are accepted, and their times. */
struct ash_peer_settings
{
  const char *listen; /**< IP:PORT */
  uint32_t heartbeat_ms;
  uint32_t link_silence_ms; /**< a link without a frame for so long is closed; longer if the peer's
                               heartbeats come less often */
  uint32_t dial_retry_ms;   /**< mean wait before a link is dialled again */
};

/** All links of a process. */
struct ash_peers
{
  struct ev_loop *loop;
  struct ash_peer_settings settings;
  struct ash_peer_identity identity;
  struct ash_log log;
  struct ash_random random;
  struct ash_sink handler; /**< gets events with the sender as peer */
  uint64_t (*revision) (void *data);
  /** Fills a heartbeat to that box. */
  void (*heartbeat) (void *data, const char *box, struct Ash__Heartbeat *heartbeat);
  /** @return ms between heartbeats to that box, not less than the settings'; NULL: as they say. */
  uint32_t (*period_ms) (void *data, const char *box);
  void *data; /**< for revision, heartbeat and period_ms */
  int listen_fd;
  ev_io listen_io;
  ev_timer timer;
  struct ash_link *links;
  struct ash_dial *dials;
  uint64_t bytes_in;
  uint64_t bytes_out;
};

/**
 * Binds the address of the settings, without sharing it: a paused predecessor
 * still holds it, so that no two agents of a box act.
 * @return false with errno set.
 */
bool ash_peers_init (struct ash_peers *peers, struct ev_loop *loop);

void ash_peers_finish (struct ash_peers *peers);

/** @return the port that is listened on. */
uint16_t ash_peers_port (const struct ash_peers *peers);

/**
 * Keeps a link to that address from now on.
 * @param box its name, or "" if it is not known yet.
 */
void ash_peers_dial (struct ash_peers *peers, const char *box, const char *address);

/** Gives up all dials that the filter does not want any more. */
void ash_peers_drop_dials (struct ash_peers *peers,
                           bool (*wanted) (void *data, const char *box, const char *address),
                           void *data);

/** Sends to a box. @return false if there is no link to it. */
bool ash_peers_send (struct ash_peers *peers, const char *box, const struct Ash__Event *event);

/** Sends a heartbeat on all links now. */
void ash_peers_send_heartbeats (struct ash_peers *peers);

/** Sends one to that box now, if there is a link. */
void ash_peers_send_heartbeat (struct ash_peers *peers, const char *box);

/** Closes all links, after a pause: what they hold is out of date. */
void ash_peers_close_links (struct ash_peers *peers);

#endif
