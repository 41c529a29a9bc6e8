/**
 * @file
 * Frames of a peer link: a 4-byte length, a packed event, and a MAC once the handshake is done.
 * No I/O.
 */
#ifndef ASH_FRAME_H
#define ASH_FRAME_H

#include "net/buffer.h"
#include "proto/event.h"

#define ASH_FRAME_HEADER_BYTES 4
#define ASH_FRAME_MAC_BYTES 16
#define ASH_FRAME_KEY_BYTES 32

/** Largest payload of a received frame: before the peer is authenticated, and after. */
#define ASH_FRAME_HELLO_MAX_BYTES 1024
#define ASH_FRAME_MAX_BYTES (4 * 1024 * 1024)

/** MAC state of one direction of a link. */
struct ash_frame_key
{
  bool on; /**< whether frames have a MAC; false during the handshake */
  uint8_t key[ASH_FRAME_KEY_BYTES];
  uint64_t number; /**< sequence number of the next frame; part of the MAC */
};

/**
 * Appends an event as a frame.
 * @return false if the event exceeds ASH_FRAME_MAX_BYTES, or if out of memory.
 */
bool
ash_frame_write (struct ash_buffer *out, struct ash_frame_key *key, const struct Ash__Event *event);

/** Results of ash_frame_read(). */
enum ash_frame_result
{
  ASH_FRAME_INCOMPLETE, /**< more bytes are needed */
  ASH_FRAME_COMPLETE,   /**< *event was allocated; the caller frees it with
                           ash__event__free_unpacked() */
  ASH_FRAME_INVALID,    /**< too large, wrong MAC or invalid event: the link must be closed */
};

/** Removes the next frame from the buffer and unpacks its event. */
enum ash_frame_result
ash_frame_read (struct ash_buffer *in, struct ash_frame_key *key, struct Ash__Event **event);

#endif
