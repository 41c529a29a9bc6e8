/**
 * @file
 * Strict parser of HTTP/1.1 messages. Anything that two parsers could interpret differently (bare
 * line feeds, folded lines, several lengths, unsupported transfer codings) is an error, which
 * prevents request smuggling. Uses http_parser, and adds the checks that it lacks. No I/O.
 */
#ifndef ASH_HTTP_MESSAGE_H
#define ASH_HTTP_MESSAGE_H

#include "net/http_chunks.h"

#include <http_parser.h>

/** Maximum number of header fields; more is an error. */
#define ASH_HTTP_FIELDS_MAX 64

/** No limit on the size of a body. */
#define ASH_HTTP_BODY_UNBOUNDED (UINT64_MAX - 1)

/** A client gives up when it has received this many bytes before its response: interim responses,
 * and late responses to other requests, which may come without end. */
#define ASH_HTTP_SKIPPED_MAX_BYTES (1024 * 1024)

enum ash_http_kind
{
  ASH_HTTP_REQUEST,
  ASH_HTTP_RESPONSE,
};

/** A header field; both strings are NUL-terminated. */
struct ash_http_field
{
  const char *name;
  const char *value;
};

/** The head of a message. Its strings are owned by the reader and valid until the next message. */
struct ash_http_head
{
  const char *method; /**< method of a request */
  const char *target; /**< target of a request, byte for byte as received */
  uint16_t status;    /**< status code of a response */
  bool http_1_0;
  bool keep_alive;
  uint64_t length; /**< value of Content-Length; UINT64_MAX: none */
  bool framed;     /**< the body is delimited by its status, its length or chunks, not by the
                        connection's close */
  uint32_t field_count;
  struct ash_http_field fields[ASH_HTTP_FIELDS_MAX];
};

/** Parse errors. */
enum ash_http_error
{
  ASH_HTTP_OK,
  ASH_HTTP_MALFORMED,
  ASH_HTTP_HEAD_TOO_LARGE,
  ASH_HTTP_BODY_TOO_LARGE,
  ASH_HTTP_UNSUPPORTED_CODING, /**< a transfer coding other than chunked */
};

/** Callbacks of a reader: `head` once per message, `body` for each piece of the body. They may set
 * the reader's `error`, which ends the message. */
struct ash_http_handler
{
  void (*head) (void *data, const struct ash_http_head *head);
  void (*body) (void *data, const uint8_t *bytes, size_t length);
};

/** Parser of consecutive messages on a connection. */
struct ash_http_reader
{
  enum ash_http_kind kind;
  uint32_t head_max_bytes;
  uint64_t body_max_bytes;
  const struct ash_http_handler *handler;
  void *data;
  bool no_body; /**< set by the owner: the message is the response to a HEAD request */
  bool started; /**< a byte of the current message was read */
  bool done;    /**< the current message is complete */
  enum ash_http_error error;
  /* private */
  http_parser parser;
  struct ash_buffer text; /* target, names and values of the head, each NUL-terminated */
  struct ash_buffer line; /* status line of a response, as far as it was read */
  bool in_status_line;
  bool is_chunked; /* the body is decoded by `chunks`; http_parser has finished the head */
  struct ash_http_chunks chunks;
  uint32_t offsets[2 * ASH_HTTP_FIELDS_MAX];
  uint32_t target_offset;
  bool in_value;
  bool in_head;
  uint8_t last_byte;  /* last byte of the head parsed so far */
  uint32_t line_ends; /* consecutive line ends so far; two end the head */
  uint32_t head_bytes;
  uint64_t body_bytes;
  struct ash_http_head head;
};

void ash_http_reader_init (struct ash_http_reader *reader,
                           enum ash_http_kind kind,
                           const struct ash_http_handler *handler,
                           void *data);

void ash_http_reader_finish (struct ash_http_reader *reader);

/** Prepares the reader for the next message on the connection. */
void ash_http_reader_next (struct ash_http_reader *reader);

/**
 * Parses bytes, up to the end of the current message. Sets `done` or `error`.
 * @return the number of bytes consumed; the bytes after them belong to the next message.
 */
size_t ash_http_reader_feed (struct ash_http_reader *reader, const uint8_t *bytes, size_t length);

/** Handles the end of the connection. @return whether it completes the current message. */
bool ash_http_reader_eof (struct ash_http_reader *reader);

/** @return the value of the first field of that name, or NULL. */
const char *ash_http_field (const struct ash_http_head *head, const char *name);

/** @return whether a response with that status can have a body (RFC 9112, 6.3). */
bool ash_http_status_has_body (uint16_t status);

/** @return whether a comma-separated list holds the word. */
bool ash_http_list_has (const char *list, const char *word);

/** @return whether the field is hop-by-hop, and must not be forwarded. */
bool ash_http_field_is_hop (const struct ash_http_head *head, const char *name);

/** @return the reason phrase of a status code. */
const char *ash_http_reason_phrase (uint16_t status);

#endif
