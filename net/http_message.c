#include "net/http_message.h"

#include "net/http_grammar.h"

#include <string.h>
#include <strings.h>

/* Limit on the size of a message head, unless the owner sets another. */
#define HEAD_DEFAULT_BYTES 16384
#define NO_OFFSET UINT32_MAX

#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

/* ---- the parser's callbacks ---- */

static int
append (struct ash_http_reader *reader, const char *at, size_t length)
{
  if (memchr (at, '\0', length) || !ash_buffer_append (&reader->text, at, length))
    {
      reader->error = ASH_HTTP_MALFORMED;
      return 1;
    }
  return 0;
}

static void
end_text (struct ash_http_reader *reader)
{
  if (reader->text.length && !ash_buffer_append (&reader->text, "", 1))
    reader->error = ASH_HTTP_MALFORMED;
}

static int
on_url (http_parser *parser, const char *at, size_t length)
{
  struct ash_http_reader *reader = parser->data;

  if (reader->target_offset == NO_OFFSET)
    reader->target_offset = (uint32_t) reader->text.length;
  return append (reader, at, length);
}

static int
on_field (http_parser *parser, const char *at, size_t length)
{
  struct ash_http_reader *reader = parser->data;
  struct ash_http_head *head = &reader->head;

  if (reader->in_value || !head->field_count)
    {
      if (head->field_count == ASH_HTTP_FIELDS_MAX)
        {
          reader->error = ASH_HTTP_HEAD_TOO_LARGE;
          return 1;
        }
      end_text (reader);
      reader->offsets[2 * head->field_count] = (uint32_t) reader->text.length;
      reader->offsets[2 * head->field_count + 1] = NO_OFFSET;
      head->field_count++;
      reader->in_value = false;
    }
  return append (reader, at, length);
}

static int
on_value (http_parser *parser, const char *at, size_t length)
{
  struct ash_http_reader *reader = parser->data;

  if (!reader->in_value)
    {
      end_text (reader);
      reader->offsets[2 * (reader->head.field_count - 1) + 1] = (uint32_t) reader->text.length;
      reader->in_value = true;
    }
  /* http_parser does not check the first character of a value. */
  if (!ash_http_is_text (at, length))
    {
      reader->error = ASH_HTTP_MALFORMED;
      return 1;
    }
  return append (reader, at, length);
}

/* Only "chunked" is supported, once and without other codings. */
static bool
transfer_coding_is_supported (const struct ash_http_head *head)
{
  uint32_t codings = 0;

  for (uint32_t i = 0; i < head->field_count; i++)
    if (strcasecmp (head->fields[i].name, "Transfer-Encoding") == 0)
      {
        codings++;
        if (strcasecmp (head->fields[i].value, "chunked") != 0)
          return false;
      }
  return codings <= 1;
}

/* http_parser accepts spaces in a field name, which other parsers may interpret differently. */
static bool
names_are_tokens (const struct ash_http_head *head)
{
  for (uint32_t i = 0; i < head->field_count; i++)
    if (!ash_http_is_token (head->fields[i].name, strlen (head->fields[i].name)))
      return false;
  return true;
}

/* Whether the body that a response's fields announce is one that its status can have. The length of
 * a 304 is that of another response. */
static bool
body_fits_status (const http_parser *parser, uint16_t status)
{
  bool announced = (parser->flags & F_CHUNKED) ||
                   (parser->content_length != UINT64_MAX && parser->content_length > 0);

  return !announced || ash_http_status_has_body (status) || status == STATUS_NOT_MODIFIED;
}

/* Removes the blanks after a field's value, which don't belong to it. http_parser removes those
 * before it. */
static void
trim_end (char *value)
{
  size_t length = strlen (value);

  while (length && (value[length - 1] == ' ' || value[length - 1] == '\t'))
    value[--length] = '\0';
}

static void
set_pointers (struct ash_http_reader *reader)
{
  struct ash_http_head *head = &reader->head;
  char *text = (char *) reader->text.bytes + reader->text.start;

  head->target = reader->target_offset == NO_OFFSET ? "" : text + reader->target_offset;
  for (uint32_t i = 0; i < head->field_count; i++)
    {
      uint32_t value = reader->offsets[2 * i + 1];

      if (value != NO_OFFSET)
        trim_end (text + value);
      head->fields[i].name = text + reader->offsets[2 * i];
      head->fields[i].value = value == NO_OFFSET ? "" : text + value;
    }
}

static int
on_head (http_parser *parser)
{
  struct ash_http_reader *reader = parser->data;
  struct ash_http_head *head = &reader->head;
  bool is_response = reader->kind == ASH_HTTP_RESPONSE;

  end_text (reader);
  if (reader->error)
    return -1;
  reader->in_head = false;
  set_pointers (reader);
  head->method = http_method_str ((enum http_method) parser->method);
  head->status = (uint16_t) parser->status_code;
  head->http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
  head->length = parser->content_length;
  head->framed = (parser->flags & F_CHUNKED) || parser->content_length != UINT64_MAX;
  /* http_should_keep_alive() depends on how the body is delimited, which is known here. */
  head->keep_alive = http_should_keep_alive (parser) != 0;
  if (!transfer_coding_is_supported (head) || (parser->flags & F_CHUNKED && head->http_1_0))
    reader->error = ASH_HTTP_UNSUPPORTED_CODING;
  else if (parser->http_major != 1 || !names_are_tokens (head))
    reader->error = ASH_HTTP_MALFORMED;
  /* No request asks for another protocol: what follows a 101 can't be read. */
  else if (is_response &&
           (head->status == STATUS_SWITCHING_PROTOCOLS || !body_fits_status (parser, head->status)))
    reader->error = ASH_HTTP_MALFORMED;
  else if (parser->content_length != UINT64_MAX && parser->content_length > reader->body_max_bytes)
    reader->error = ASH_HTTP_BODY_TOO_LARGE;
  if (reader->error)
    return -1;
  if (is_response && !ash_http_status_has_body (head->status))
    {
      reader->no_body = true;
      head->framed = true;
    }
  reader->handler->head (reader->data, head);
  if (reader->error)
    return -1;
  reader->is_chunked = (parser->flags & F_CHUNKED) && !reader->no_body;
  /* 1: http_parser reads no body. */
  return reader->no_body || reader->is_chunked ? 1 : 0;
}

static bool
handle_body (struct ash_http_reader *reader, const uint8_t *bytes, size_t length)
{
  reader->body_bytes += length;
  if (reader->body_bytes > reader->body_max_bytes)
    {
      reader->error = ASH_HTTP_BODY_TOO_LARGE;
      return false;
    }
  reader->handler->body (reader->data, bytes, length);
  return !reader->error;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  struct ash_http_reader *reader = parser->data;

  return handle_body (reader, (const uint8_t *) at, length) ? 0 : 1;
}

static int
on_complete (http_parser *parser)
{
  struct ash_http_reader *reader = parser->data;

  reader->done = !reader->is_chunked;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

/* ---- the reader ---- */

void
ash_http_reader_init (struct ash_http_reader *reader,
                      enum ash_http_kind kind,
                      const struct ash_http_handler *handler,
                      void *data)
{
  *reader = (struct ash_http_reader){
    .kind = kind,
    .head_max_bytes = HEAD_DEFAULT_BYTES,
    .body_max_bytes = ASH_HTTP_BODY_UNBOUNDED,
    .handler = handler,
    .data = data,
  };
  ash_http_reader_next (reader);
}

void
ash_http_reader_finish (struct ash_http_reader *reader)
{
  ash_buffer_finish (&reader->text);
  ash_buffer_finish (&reader->line);
  ash_http_chunks_finish (&reader->chunks);
}

void
ash_http_reader_next (struct ash_http_reader *reader)
{
  http_parser_init (&reader->parser,
                    reader->kind == ASH_HTTP_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
  reader->parser.data = reader;
  ash_buffer_consume (&reader->text, reader->text.length);
  ash_buffer_consume (&reader->line, reader->line.length);
  reader->in_status_line = reader->kind == ASH_HTTP_RESPONSE;
  reader->head.field_count = 0;
  reader->target_offset = NO_OFFSET;
  reader->in_value = false;
  reader->in_head = true;
  reader->started = false;
  reader->done = false;
  reader->error = ASH_HTTP_OK;
  reader->last_byte = 0;
  reader->line_ends = 0;
  reader->head_bytes = 0;
  reader->body_bytes = 0;
  reader->no_body = false;
  reader->is_chunked = false;
  ash_http_chunks_finish (&reader->chunks);
  ash_http_chunks_init (&reader->chunks);
}

/* Collects the status line, and checks it when it is complete: http_parser skips line ends before
 * it, and accepts status codes of any length and control characters behind them. */
static bool
scan_status_line (struct ash_http_reader *reader, uint8_t byte)
{
  if (byte == '\n')
    reader->in_status_line = false;
  if (byte == '\r')
    return ash_http_is_status_line ((const char *) reader->line.bytes + reader->line.start,
                                    reader->line.length);
  return byte == '\n' || ash_buffer_append (&reader->line, &byte, 1);
}

/* @return how many of the bytes belong to the head; 0 with `error` set on a bare CR or LF, a folded
 * line, a bad status line or a head that is too large. */
static size_t
scan_head (struct ash_http_reader *reader, const uint8_t *bytes, size_t length)
{
  for (size_t i = 0; i < length; i++)
    {
      uint8_t byte = bytes[i];

      if ((byte == '\n') != (reader->last_byte == '\r') ||
          (reader->line_ends && (byte == ' ' || byte == '\t')) ||
          (reader->in_status_line && !scan_status_line (reader, byte)))
        {
          reader->error = ASH_HTTP_MALFORMED;
          return 0;
        }
      reader->last_byte = byte;
      if (byte == '\n')
        reader->line_ends++;
      else if (byte != '\r')
        reader->line_ends = 0;
      if (++reader->head_bytes > reader->head_max_bytes)
        {
          reader->error = ASH_HTTP_HEAD_TOO_LARGE;
          return 0;
        }
      if (reader->line_ends == 2)
        return i + 1;
    }
  return length;
}

static size_t
execute (struct ash_http_reader *reader, const uint8_t *bytes, size_t length)
{
  size_t consumed =
      http_parser_execute (&reader->parser, &parser_settings, (const char *) bytes, length);

  if (reader->error)
    return consumed;
  if (!reader->done && !reader->is_chunked && HTTP_PARSER_ERRNO (&reader->parser) != HPE_OK)
    reader->error = ASH_HTTP_MALFORMED;
  return consumed;
}

/* Decodes a part of a chunked body. @return the number of bytes consumed. */
static size_t
feed_chunks (struct ash_http_reader *reader, const uint8_t *bytes, size_t length)
{
  struct ash_http_chunk_data data;
  size_t consumed = ash_http_chunks_feed (&reader->chunks, bytes, length, &data);

  if (data.length && !handle_body (reader, data.bytes, data.length))
    return consumed;
  if (reader->chunks.state == ASH_CHUNKS_MALFORMED)
    reader->error = ASH_HTTP_MALFORMED;
  reader->done = reader->chunks.state == ASH_CHUNKS_DONE;
  return consumed;
}

size_t
ash_http_reader_feed (struct ash_http_reader *reader, const uint8_t *bytes, size_t length)
{
  size_t consumed = 0;

  /* Empty lines before a request are ignored (RFC 9112, 2.2). */
  while (!reader->started && reader->kind == ASH_HTTP_REQUEST && length - consumed >= 2 &&
         memcmp (bytes + consumed, "\r\n", 2) == 0)
    consumed += 2;
  while (consumed < length && !reader->done && !reader->error)
    {
      size_t part = length - consumed;
      size_t head_part = 0;

      reader->started = true;
      if (reader->in_head)
        {
          head_part = scan_head (reader, bytes + consumed, part);
          if (reader->error)
            break;
          part = head_part;
        }
      if (reader->is_chunked)
        consumed += feed_chunks (reader, bytes + consumed, part);
      else
        consumed += execute (reader, bytes + consumed, part);
    }
  return consumed;
}

bool
ash_http_reader_eof (struct ash_http_reader *reader)
{
  if (!reader->started || reader->in_head || reader->error)
    return false;
  if (!reader->done && !reader->is_chunked)
    execute (reader, NULL, 0);
  return reader->done && !reader->error;
}

/* ---- fields ---- */

const char *
ash_http_field (const struct ash_http_head *head, const char *name)
{
  for (uint32_t i = 0; i < head->field_count; i++)
    if (strcasecmp (head->fields[i].name, name) == 0)
      return head->fields[i].value;
  return NULL;
}

bool
ash_http_status_has_body (uint16_t status)
{
  return status >= ASH_HTTP_STATUS_FINAL && status != STATUS_NO_CONTENT &&
         status != STATUS_NOT_MODIFIED;
}

bool
ash_http_list_has (const char *list, const char *word)
{
  size_t word_length = strlen (word);

  while (*list)
    {
      size_t length;

      list += strspn (list, " \t,");
      length = strcspn (list, " \t,");
      if (length == word_length && strncasecmp (list, word, length) == 0)
        return true;
      list += length;
    }
  return false;
}

bool
ash_http_field_is_hop (const struct ash_http_head *head, const char *name)
{
  /* RFC 9110, 7.6.1, and the fields that delimit the body; Expect is handled by the server here. */
  static const char *const hop[] = { "Connection",
                                     "Keep-Alive",
                                     "Proxy-Connection",
                                     "Proxy-Authorization",
                                     "Proxy-Authenticate",
                                     "TE",
                                     "Trailer",
                                     "Transfer-Encoding",
                                     "Upgrade",
                                     "Content-Length",
                                     "Expect" };

  for (size_t i = 0; i < sizeof hop / sizeof hop[0]; i++)
    if (strcasecmp (name, hop[i]) == 0)
      return true;
  for (uint32_t i = 0; i < head->field_count; i++)
    if (strcasecmp (head->fields[i].name, "Connection") == 0 &&
        ash_http_list_has (head->fields[i].value, name))
      return true;
  return false;
}

const char *
ash_http_reason_phrase (uint16_t status)
{
  switch (status)
    {
#define CASE(number, name, string)                                                                 \
  case number:                                                                                     \
    return #string;
      HTTP_STATUS_MAP (CASE)
#undef CASE
    default:
      return "Unknown";
    }
}
