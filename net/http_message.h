/**
 * @file
 * HTTP/1.1 messages, read strictly: what two parsers could read differently
 * (bare line feeds, folded lines, two lengths, odd codings) is an error, so that
 * no request can be smuggled inside another. Parsing is http_parser's; what it
 * lets pass is checked here. No I/O.
 */
#ifndef ASH_HTTP_MESSAGE_H
#define ASH_HTTP_MESSAGE_H

#include "net/buffer.h"

#include <http_parser.h>

/** Fields of one head at most; more is an error. */
#define ASH_HTTP_FIELDS_MAX 64

/** Which way a message goes. */
enum ash_http_kind
{
  ASH_HTTP_REQUEST,
  ASH_HTTP_RESPONSE,
};

/** A header field; both texts end with a zero. */
struct ash_http_field
{
  const char *name;
  const char *value;
};

/** The head of a message. */
struct ash_http_head
{
  const char *method; /**< of a request */
  const char *target; /**< of a request, byte for byte */
  uint16_t status;    /**< of a response */
  bool http_1_0;
  bool keep_alive;
  uint64_t length; /**< of the body; UINT64_MAX: not said */
  bool framed;     /**< its body's end shows without the connection's end */
  uint32_t field_count;
  struct ash_http_field fields[ASH_HTTP_FIELDS_MAX];
};

/** Why a message can't be read. */
enum ash_http_error
{
  ASH_HTTP_OK,
  ASH_HTTP_MALFORMED,
  ASH_HTTP_HEAD_TOO_LARGE,
  ASH_HTTP_BODY_TOO_LARGE,
  ASH_HTTP_UNSUPPORTED_CODING, /**< a transfer coding other than chunked */
};

/** What a reader gives; each may be called several times but for the head and the end. */
struct ash_http_handler
{
  void (*head) (void *data, const struct ash_http_head *head);
  void (*body) (void *data, const uint8_t *bytes, size_t length);
};

/** Reads one message after the other. */
struct ash_http_reader
{
  enum ash_http_kind kind;
  uint32_t head_max_bytes;
  uint64_t body_max_bytes;
  const struct ash_http_handler *handler;
  void *data;
  bool no_body; /**< the answer to a HEAD request */
  bool started; /**< a byte of the present message was read */
  bool done;    /**< the present message is whole */
  enum ash_http_error error;
  /* inside */
  http_parser parser;
  struct ash_buffer text; /* names and values of the head, each ended by a zero */
  uint32_t offsets[2 * ASH_HTTP_FIELDS_MAX];
  uint32_t target_offset;
  bool in_value;
  bool in_head;
  uint8_t last_byte;  /* byte of the head */
  uint32_t line_ends; /* line ends seen in a row, to find the head's end */
  uint32_t head_bytes;
  uint64_t body_bytes;
  struct ash_http_head head;
};

void ash_http_reader_init (struct ash_http_reader *reader,
                           enum ash_http_kind kind,
                           const struct ash_http_handler *handler,
                           void *data);

/** Frees what it holds. */
void ash_http_reader_finish (struct ash_http_reader *reader);

/** Makes it ready for the next message on the connection. */
void ash_http_reader_next (struct ash_http_reader *reader);

/**
 * Reads bytes, up to the end of the present message.
 * @return how many were taken; what follows belongs to the next message.
 */
size_t ash_http_reader_feed (struct ash_http_reader *reader, const uint8_t *bytes, size_t length);

/** The connection has ended in order. @return whether the present message is whole by that. */
bool ash_http_reader_eof (struct ash_http_reader *reader);

/** @return the value of the first field of that name, or NULL. */
const char *ash_http_field (const struct ash_http_head *head, const char *name);

/** @return whether a comma-separated list holds the word. */
bool ash_http_list_has (const char *list, const char *word);

/** @return whether the field concerns this one connection only. */
bool ash_http_field_is_hop (const struct ash_http_head *head, const char *name);

/** @return the usual words for a status. */
const char *ash_http_reason_phrase (uint16_t status);

#endif
