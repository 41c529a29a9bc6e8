/**
 * @file
 * A settings file or published document as a tree with the line of each value,
 * read from TOML or JSON by the usual libraries.
 */
#ifndef ASH_NODE_H
#define ASH_NODE_H

#include "common/finding.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What a node holds. */
enum ash_node_kind
{
  ASH_NODE_TABLE,
  ASH_NODE_ARRAY,
  ASH_NODE_STRING,
  ASH_NODE_INTEGER,
  ASH_NODE_FLOAT,
  ASH_NODE_BOOL,
};

/** A value with its key_path. Children are a list; an array's have an empty key. */
struct ash_node
{
  enum ash_node_kind kind;
  uint32_t line; /**< 0 where the library tells none (JSON) */
  char *key;
  struct ash_node *children;
  struct ash_node *last_child;
  struct ash_node *next;
  char *string;
  int64_t integer;
  double number;
  bool boolean;
  bool used; /**< set by ash_node_get(); what stays unset is an unknown key */
};

/**
 * Reads TOML.
 * @return the root, or NULL after adding a finding; freed by ash_node_free().
 */
struct ash_node *
ash_node_read_toml (const char *text, size_t text_bytes, struct ash_findings *findings);

/** Reads JSON; otherwise as ash_node_read_toml(). */
struct ash_node *
ash_node_read_json (const char *text, size_t text_bytes, struct ash_findings *findings);

/** Reads either: JSON if the first character that is not blank is a brace. */
struct ash_node *ash_node_read (const char *text, size_t text_bytes, struct ash_findings *findings);

/** Frees a tree; NULL is allowed. */
void ash_node_free (struct ash_node *node);

/** For the readers: a new child of @p parent, or a root if @p parent is NULL. */
struct ash_node *
ash_node_add (struct ash_node *parent, enum ash_node_kind kind, const char *key, uint32_t line);

/** @return the child of that key, marked as used, or NULL. */
struct ash_node *ash_node_get (struct ash_node *table, const char *key);

/** @return a word for the kind, as "string". */
const char *ash_node_kind_name (enum ash_node_kind kind);

/** Adds a finding for each key of @p table that nobody asked for. */
void ash_node_report_unused (const struct ash_node *table,
                             const char *key_path,
                             struct ash_findings *findings);

#endif
