/**
 * @file
 * Strict decoder of the chunked transfer coding (RFC 9112, 7.1). http_parser, as it is usually
 * built, accepts any two bytes after a chunk, line ends without CR, and anything behind a chunk's
 * size, so that it may see other boundaries than the next parser. No I/O.
 */
#ifndef ASH_HTTP_CHUNKS_H
#define ASH_HTTP_CHUNKS_H

#include "net/buffer.h"

/** What follows next in a chunked body. */
enum ash_http_chunks_state
{
  ASH_CHUNKS_SIZE,     /**< the line with a chunk's size */
  ASH_CHUNKS_DATA,     /**< a chunk's data */
  ASH_CHUNKS_DATA_END, /**< the line end after a chunk's data */
  ASH_CHUNKS_TRAILER,  /**< a line of the trailer, or the empty line that ends the body */
  ASH_CHUNKS_DONE,
  ASH_CHUNKS_MALFORMED,
};

/** A decoder of one body. */
struct ash_http_chunks
{
  enum ash_http_chunks_state state;
  uint64_t left_bytes;    /**< rest of the current chunk's data */
  uint32_t trailer_bytes; /**< size of the trailer so far */
  struct ash_buffer line; /**< the current line as far as it was read, with its CR */
};

/** A piece of the decoded body; refers to the bytes that were fed. */
struct ash_http_chunk_data
{
  const uint8_t *bytes;
  size_t length;
};

void ash_http_chunks_init (struct ash_http_chunks *chunks);
void ash_http_chunks_finish (struct ash_http_chunks *chunks);

/**
 * Decodes up to one piece of data; is to be called again with the rest, until the body is done or
 * malformed.
 * @param data receives the piece; its length is 0 if there is none.
 * @return the number of bytes consumed; 0 only if @p length is 0, or the body is done or malformed.
 */
size_t ash_http_chunks_feed (struct ash_http_chunks *chunks,
                             const uint8_t *bytes,
                             size_t length,
                             struct ash_http_chunk_data *data);

#endif
