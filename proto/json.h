/**
 * @file
 * A protobuf message as a JSON object and back, by its descriptor: how orders to
 * ranks and their answers travel over HTTP. Fixed64 values and bytes are hex
 * strings, as JSON's numbers do not hold them.
 */
#ifndef ASH_PROTO_JSON_H
#define ASH_PROTO_JSON_H

#include <jansson.h>
#include <protobuf-c/protobuf-c.h>

/** @return a new object with all fields that are not at their default. */
json_t *ash_proto_to_json (const ProtobufCMessage *message);

/**
 * Reads an object; keys that are no field are ignored.
 * @return a new message, freed by protobuf_c_message_free_unpacked(), or NULL if
 * a value has the wrong type.
 */
ProtobufCMessage *ash_proto_from_json (const ProtobufCMessageDescriptor *descriptor,
                                       const json_t *object);

#endif
