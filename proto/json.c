#include "proto/json.h"

#include <inttypes.h>
#include <stdbool.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEX64_BYTES 17

static json_t *
hex_to_json (const ProtobufCBinaryData *data)
{
  char *hex = malloc (2 * data->len + 1);
  json_t *value;

  if (!hex)
    return NULL;
  sodium_bin2hex (hex, 2 * data->len + 1, data->data, data->len);
  value = json_string (hex);
  free (hex);
  return value;
}

static json_t *
value_to_json (const ProtobufCFieldDescriptor *field, const void *value)
{
  char text[HEX64_BYTES];

  switch (field->type)
    {
    case PROTOBUF_C_TYPE_BOOL:
      return json_boolean (*(const protobuf_c_boolean *) value);
    case PROTOBUF_C_TYPE_UINT32:
    case PROTOBUF_C_TYPE_ENUM:
      return json_integer (*(const uint32_t *) value);
    case PROTOBUF_C_TYPE_UINT64:
      return json_integer ((json_int_t) * (const uint64_t *) value);
    case PROTOBUF_C_TYPE_FIXED64:
      snprintf (text, sizeof text, "%016" PRIx64, *(const uint64_t *) value);
      return json_string (text);
    case PROTOBUF_C_TYPE_STRING:
      return json_string (*(char *const *) value);
    case PROTOBUF_C_TYPE_BYTES:
      return hex_to_json (value);
    default:
      /* Messages that are sent as JSON have no fields of other types. */
      return json_null ();
    }
}

json_t *
ash_proto_to_json (const ProtobufCMessage *message)
{
  json_t *object = json_object ();

  for (unsigned i = 0; i < message->descriptor->n_fields; i++)
    {
      const ProtobufCFieldDescriptor *field = &message->descriptor->fields[i];

      json_object_set_new (object, field->name,
                           value_to_json (field, (const char *) message + field->offset));
    }
  return object;
}

static bool
bytes_from_json (const json_t *value, ProtobufCBinaryData *data)
{
  const char *hex = json_string_value (value);
  size_t length = hex ? strlen (hex) / 2 : 0;

  data->data = malloc (length + 1);
  return hex && data->data &&
         sodium_hex2bin (data->data, length + 1, hex, strlen (hex), NULL, &data->len, NULL) == 0;
}

static bool
value_from_json (const ProtobufCFieldDescriptor *field, const json_t *value, void *target)
{
  switch (field->type)
    {
    case PROTOBUF_C_TYPE_BOOL:
      *(protobuf_c_boolean *) target = json_is_true (value);
      return json_is_boolean (value);
    case PROTOBUF_C_TYPE_UINT32:
    case PROTOBUF_C_TYPE_ENUM:
      *(uint32_t *) target = (uint32_t) json_integer_value (value);
      return json_is_integer (value);
    case PROTOBUF_C_TYPE_UINT64:
      *(uint64_t *) target = (uint64_t) json_integer_value (value);
      return json_is_integer (value);
    case PROTOBUF_C_TYPE_FIXED64:
      *(uint64_t *) target =
          json_is_string (value) ? strtoull (json_string_value (value), NULL, 16) : 0;
      return json_is_string (value);
    case PROTOBUF_C_TYPE_STRING:
      *(char **) target = json_is_string (value) ? strdup (json_string_value (value)) : NULL;
      return *(char **) target != NULL;
    case PROTOBUF_C_TYPE_BYTES:
      return bytes_from_json (value, target);
    default:
      return false;
    }
}

ProtobufCMessage *
ash_proto_from_json (const ProtobufCMessageDescriptor *descriptor, const json_t *object)
{
  ProtobufCMessage *message = malloc (descriptor->sizeof_message);
  const char *key;
  json_t *value;

  if (!message)
    return NULL;
  descriptor->message_init (message);
  json_object_foreach ((json_t *) (uintptr_t) object, key, value)
    {
      const ProtobufCFieldDescriptor *field =
          protobuf_c_message_descriptor_get_field_by_name (descriptor, key);

      if (!field || value_from_json (field, value, (char *) message + field->offset))
        continue;
      protobuf_c_message_free_unpacked (message, NULL);
      return NULL;
    }
  return message;
}
