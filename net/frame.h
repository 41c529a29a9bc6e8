/**
 * @file
 * Frames of a peer link: length, packed event, MAC. No I/O here.
 */
#ifndef ASH_FRAME_H
#define ASH_FRAME_H

#include "net/buffer.h"
#include "proto/event.h"

#define ASH_FRAME_HEADER_BYTES 4
#define ASH_FRAME_MAC_BYTES 16
#define ASH_FRAME_KEY_BYTES 32

/** Largest frame before a peer has proved itself, and after. */
#define ASH_FRAME_HELLO_MAX_BYTES 1024
#define ASH_FRAME_MAX_BYTES (4 * 1024 * 1024)

/** One direction of a link. */
struct ash_frame_key
{
  bool on; /**< false during the handshake: no MAC */
  uint8_t key[ASH_FRAME_KEY_BYTES];
  uint64_t number; /**< of the next frame */
};

/** Appends an event as a frame. @return false without memory or if too large. */
bool
ash_frame_write (struct ash_buffer *out, struct ash_frame_key *key, const struct Ash__Event *event);

/** What ash_frame_read() found. */
enum ash_frame_result
{
  ASH_FRAME_INCOMPLETE, /**< not whole yet */
  ASH_FRAME_COMPLETE,   /**< *event is new, freed by ash__event__free_unpacked() */
  ASH_FRAME_INVALID,    /**< the link must be closed */
};

/** Takes the next frame off the buffer. */
enum ash_frame_result
ash_frame_read (struct ash_buffer *in, struct ash_frame_key *key, struct Ash__Event **event);

#endif
