#include "proto/event.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define TOKEN_BYTES 64

struct Ash__Event
ash_event_wrap (const char *peer, Ash__Event__KindCase kind, const void *message)
{
  struct Ash__Event event = ASH__EVENT__INIT;

  event.peer = ash_proto_text (peer);
  event.kind_case = kind;
  /* All members of the union are pointers to messages, so any of them can be assigned. */
  event.heartbeat = (void *) (uintptr_t) message;
  return event;
}

void
ash_emit (const struct ash_sink *sink,
          const char *peer,
          Ash__Event__KindCase kind,
          const void *message)
{
  struct Ash__Event event = ash_event_wrap (peer, kind, message);

  sink->emit (sink->data, &event);
}

/* ---- printing ---- */

static void
print_quoted (const uint8_t *bytes, size_t length, FILE *out)
{
  fputc ('"', out);
  for (size_t i = 0; i < length; i++)
    if (bytes[i] == '"' || bytes[i] == '\\')
      fprintf (out, "\\%c", bytes[i]);
    else if (bytes[i] >= 0x20 && bytes[i] < 0x7f)
      fputc (bytes[i], out);
    else
      fprintf (out, "\\x%02x", bytes[i]);
  fputc ('"', out);
}

static void
print_value (const ProtobufCFieldDescriptor *field, const void *value, FILE *out)
{
  const ProtobufCBinaryData *data = value;
  const char *text;

  switch (field->type)
    {
    case PROTOBUF_C_TYPE_BOOL:
      fprintf (out, "%s", *(const protobuf_c_boolean *) value ? "true" : "false");
      break;
    case PROTOBUF_C_TYPE_UINT32:
      fprintf (out, "%" PRIu32, *(const uint32_t *) value);
      break;
    case PROTOBUF_C_TYPE_INT64:
      fprintf (out, "%" PRId64, *(const int64_t *) value);
      break;
    case PROTOBUF_C_TYPE_UINT64:
    case PROTOBUF_C_TYPE_FIXED64:
      fprintf (out, "%" PRIu64, *(const uint64_t *) value);
      break;
    case PROTOBUF_C_TYPE_ENUM:
      fprintf (
          out, "%s",
          protobuf_c_enum_descriptor_get_value (field->descriptor, *(const int *) value)->name);
      break;
    case PROTOBUF_C_TYPE_STRING:
      text = *(char *const *) value;
      print_quoted ((const uint8_t *) text, strlen (text), out);
      break;
    case PROTOBUF_C_TYPE_BYTES:
      print_quoted (data->data, data->len, out);
      break;
    default:
      /* ash.proto has no fields of other types; a new type needs a case here. */
      fputs ("?", out);
    }
}

static bool
is_default (const ProtobufCFieldDescriptor *field, const void *value)
{
  switch (field->type)
    {
    case PROTOBUF_C_TYPE_STRING:
      return **(char *const *) value == '\0';
    case PROTOBUF_C_TYPE_BYTES:
      return ((const ProtobufCBinaryData *) value)->len == 0;
    case PROTOBUF_C_TYPE_BOOL:
      return !*(const protobuf_c_boolean *) value;
    case PROTOBUF_C_TYPE_UINT32:
    case PROTOBUF_C_TYPE_ENUM:
      return *(const uint32_t *) value == 0;
    default:
      return *(const uint64_t *) value == 0;
    }
}

static size_t
value_bytes (const ProtobufCFieldDescriptor *field)
{
  return field->type == PROTOBUF_C_TYPE_STRING ? sizeof (char *) : sizeof (uint64_t);
}

static void
print_field (const ProtobufCMessage *message, const ProtobufCFieldDescriptor *field, FILE *out)
{
  const char *member = (const char *) message + field->offset;

  if (field->label == PROTOBUF_C_LABEL_REPEATED)
    {
      size_t count =
          *(const size_t *) (const void *) ((const char *) message + field->quantifier_offset);
      const char *items = *(char *const *) (const void *) member;

      for (size_t i = 0; i < count; i++)
        {
          fprintf (out, " %s=", field->name);
          print_value (field, items + i * value_bytes (field), out);
        }
      return;
    }
  if (is_default (field, member))
    return;
  fprintf (out, " %s=", field->name);
  print_value (field, member, out);
}

void
ash_event_print (const struct Ash__Event *event, FILE *out)
{
  const ProtobufCFieldDescriptor *kind = protobuf_c_message_descriptor_get_field (
      &ash__event__descriptor, (unsigned) event->kind_case);
  const ProtobufCMessage *message = (const ProtobufCMessage *) event->heartbeat;

  if (!kind)
    return;
  if (*event->peer)
    fprintf (out, "%s ", event->peer);
  else
    fputs ("- ", out);
  fputs (kind->name, out);
  for (unsigned i = 0; i < message->descriptor->n_fields; i++)
    print_field (message, &message->descriptor->fields[i], out);
}

/* ---- parsing ---- */

static bool
read_token (const char **text, char word[TOKEN_BYTES])
{
  size_t length = 0;

  *text += strspn (*text, " ");
  while ((*text)[length] && !strchr (" =", (*text)[length]))
    length++;
  if (length == 0 || length >= TOKEN_BYTES)
    return false;
  memcpy (word, *text, length);
  word[length] = '\0';
  *text += length;
  return true;
}

/* Parses a quoted value. @return its bytes, to be freed by the caller, with a terminating zero that
 * *length does not include; NULL if the value is invalid. */
static uint8_t *
read_quoted (const char **text, size_t *length)
{
  const char *p = *text;
  uint8_t *bytes = malloc (strlen (p) + 1);

  *length = 0;
  if (!bytes || *p++ != '"')
    goto fail;
  while (*p && *p != '"')
    {
      unsigned value;

      if (p[0] == '\\' && p[1] == 'x' && isxdigit ((unsigned char) p[2]) &&
          isxdigit ((unsigned char) p[3]) && sscanf (p + 2, "%2x", &value) == 1)
        {
          bytes[(*length)++] = (uint8_t) value;
          p += 4;
          continue;
        }
      if (*p == '\\' && p[1])
        p++;
      bytes[(*length)++] = (uint8_t) *p++;
    }
  if (*p != '"')
    goto fail;
  *text = p + 1;
  bytes[*length] = '\0';
  return bytes;
fail:
  free (bytes);
  return NULL;
}

static bool
read_scalar (const ProtobufCFieldDescriptor *field, const char *word, void *value)
{
  const ProtobufCEnumValue *constant;
  char *end = NULL;

  switch (field->type)
    {
    case PROTOBUF_C_TYPE_BOOL:
      *(protobuf_c_boolean *) value = strcmp (word, "true") == 0;
      return strcmp (word, "true") == 0 || strcmp (word, "false") == 0;
    case PROTOBUF_C_TYPE_UINT32:
      *(uint32_t *) value = (uint32_t) strtoul (word, &end, 10);
      return *end == '\0';
    case PROTOBUF_C_TYPE_INT64:
      *(int64_t *) value = strtoll (word, &end, 10);
      return *end == '\0';
    case PROTOBUF_C_TYPE_UINT64:
    case PROTOBUF_C_TYPE_FIXED64:
      *(uint64_t *) value = strtoull (word, &end, 10);
      return *end == '\0';
    case PROTOBUF_C_TYPE_ENUM:
      constant = protobuf_c_enum_descriptor_get_value_by_name (field->descriptor, word);
      if (constant)
        *(int *) value = constant->value;
      return constant != NULL;
    default:
      return false;
    }
}

static bool
read_value (const ProtobufCFieldDescriptor *field, const char **text, void *value)
{
  ProtobufCBinaryData *data = value;
  char word[TOKEN_BYTES];

  switch (field->type)
    {
    case PROTOBUF_C_TYPE_STRING:
      {
        size_t length;

        if (*(char **) value != protobuf_c_empty_string)
          free (*(char **) value);
        *(char **) value = (char *) read_quoted (text, &length);
        return *(char **) value != NULL;
      }
    case PROTOBUF_C_TYPE_BYTES:
      free (data->data);
      data->data = read_quoted (text, &data->len);
      return data->data != NULL;
    default:
      return read_token (text, word) && read_scalar (field, word, value);
    }
}

static bool
read_repeated (ProtobufCMessage *message, const ProtobufCFieldDescriptor *field, const char **text)
{
  size_t *count = (size_t *) (void *) ((char *) message + field->quantifier_offset);
  char **items = (char **) (void *) ((char *) message + field->offset);
  char *grown = realloc (*items, (*count + 1) * value_bytes (field));

  if (!grown)
    return false;
  *items = grown;
  memset (grown + *count * value_bytes (field), 0, value_bytes (field));
  if (!read_value (field, text, grown + *count * value_bytes (field)))
    return false;
  (*count)++;
  return true;
}

static bool
read_field (ProtobufCMessage *message, const char **text)
{
  const ProtobufCFieldDescriptor *field;
  char name[TOKEN_BYTES];

  if (!read_token (text, name) || **text != '=')
    return false;
  (*text)++;
  field = protobuf_c_message_descriptor_get_field_by_name (message->descriptor, name);
  if (!field)
    return false;
  if (field->label == PROTOBUF_C_LABEL_REPEATED)
    return read_repeated (message, field, text);
  /* The field was already set: a field that is given twice is an error. */
  if (!is_default (field, (const char *) message + field->offset))
    return false;
  return read_value (field, text, (char *) message + field->offset);
}

static ProtobufCMessage *
new_message (const ProtobufCMessageDescriptor *descriptor)
{
  ProtobufCMessage *message = malloc (descriptor->sizeof_message);

  if (message)
    descriptor->message_init (message);
  return message;
}

struct Ash__Event *
ash_event_parse (const char *text, const char **error)
{
  struct Ash__Event *event = (struct Ash__Event *) (void *) new_message (&ash__event__descriptor);
  const ProtobufCFieldDescriptor *kind;
  char word[TOKEN_BYTES];

  *error = "out of memory";
  if (!event)
    return NULL;
  *error = "no box or '-'";
  if (!read_token (&text, word))
    goto fail;
  if (strcmp (word, "-") != 0)
    event->peer = strdup (word);
  *error = "unknown message";
  if (!read_token (&text, word))
    goto fail;
  kind = protobuf_c_message_descriptor_get_field_by_name (&ash__event__descriptor, word);
  if (!kind || kind->type != PROTOBUF_C_TYPE_MESSAGE)
    goto fail;
  event->heartbeat = (void *) new_message (kind->descriptor);
  event->kind_case = (Ash__Event__KindCase) kind->id;
  *error = "bad field";
  while (text[strspn (text, " \r\n")])
    if (!read_field ((ProtobufCMessage *) event->heartbeat, &text))
      goto fail;
  *error = NULL;
  return event;
fail:
  ash__event__free_unpacked (event, NULL);
  return NULL;
}
