/**
 * @file
 * Converts protobuf messages to JSON objects and back, by their descriptors. Orders to ranks and
 * their answers are sent over HTTP in this form. Values of type fixed64 or bytes become hex
 * strings, because JSON numbers can't represent them exactly.
 */
#ifndef ASH_PROTO_JSON_H
#define ASH_PROTO_JSON_H

#include <jansson.h>
#include <protobuf-c/protobuf-c.h>

/** @return a new object with all fields of the message. */
json_t *ash_proto_to_json (const ProtobufCMessage *message);

/**
 * Reads a message from an object; unknown keys are ignored.
 * @return a new message, to be freed with protobuf_c_message_free_unpacked(), or NULL if a value
 * has the wrong type.
 */
ProtobufCMessage *ash_proto_from_json (const ProtobufCMessageDescriptor *descriptor,
                                       const json_t *object);

#endif
