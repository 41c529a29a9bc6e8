/**
 * @file
 * Parsed settings file or published document: a tree of values with line numbers, read from TOML
 * (toml++) or JSON (jansson).
 */
#ifndef ASH_NODE_H
#define ASH_NODE_H

#include "common/finding.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum ash_node_kind
{
  ASH_NODE_TABLE,
  ASH_NODE_ARRAY,
  ASH_NODE_STRING,
  ASH_NODE_INTEGER,
  ASH_NODE_FLOAT,
  ASH_NODE_BOOL,
};

/** A value. Children form a linked list; children of an array have an empty key. */
struct ash_node
{
  enum ash_node_kind kind;
  uint32_t line; /**< line in the file, from 1; 0: unknown, as in JSON */
  char *key;
  struct ash_node *children;
  struct ash_node *last_child;
  struct ash_node *next;
  char *string;
  int64_t integer;
  double number;
  bool boolean;
  bool used; /**< set by ash_node_get(); keys that stay unused are reported as unknown */
};

/**
 * Reads TOML.
 * @return the root, to be freed with ash_node_free(), or NULL after adding a finding.
 */
struct ash_node *
ash_node_read_toml (const char *text, size_t text_bytes, struct ash_findings *findings);

/** Reads JSON; otherwise like ash_node_read_toml(). */
struct ash_node *
ash_node_read_json (const char *text, size_t text_bytes, struct ash_findings *findings);

/** Reads JSON if the first non-blank character is a brace, else TOML. */
struct ash_node *ash_node_read (const char *text, size_t text_bytes, struct ash_findings *findings);

/** Frees a tree; NULL is allowed. */
void ash_node_free (struct ash_node *node);

/** For the parsers. @return a new child of @p parent, or a root if @p parent is NULL. */
struct ash_node *
ash_node_add (struct ash_node *parent, enum ash_node_kind kind, const char *key, uint32_t line);

/** @return the child with that key, after marking it as used, or NULL. */
struct ash_node *ash_node_get (struct ash_node *table, const char *key);

/** @return the name of the kind for messages, such as "string". */
const char *ash_node_kind_name (enum ash_node_kind kind);

/** Adds a finding for each key of @p table that was never looked up with ash_node_get(). */
void ash_node_report_unused (const struct ash_node *table,
                             const char *key_path,
                             struct ash_findings *findings);

#endif
