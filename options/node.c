#include "options/node.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

struct ash_node *
ash_node_add (struct ash_node *parent, enum ash_node_kind kind, const char *key, uint32_t line)
{
  struct ash_node *node = calloc (1, sizeof *node);

  if (!node)
    return NULL;
  node->kind = kind;
  node->line = line;
  node->key = strdup (key);
  if (!parent)
    return node;
  if (parent->last_child)
    parent->last_child->next = node;
  else
    parent->children = node;
  parent->last_child = node;
  return node;
}

void
ash_node_free (struct ash_node *node)
{
  struct ash_node *child;
  struct ash_node *next;

  if (!node)
    return;
  for (child = node->children; child; child = next)
    {
      next = child->next;
      ash_node_free (child);
    }
  free (node->key);
  free (node->string);
  free (node);
}

struct ash_node *
ash_node_get (struct ash_node *table, const char *key)
{
  for (struct ash_node *child = table->children; child; child = child->next)
    if (strcmp (child->key, key) == 0)
      {
        child->used = true;
        return child;
      }
  return NULL;
}

const char *
ash_node_kind_name (enum ash_node_kind kind)
{
  static const char *const names[] = { "table", "array", "string", "integer", "float", "boolean" };

  return names[kind];
}

void
ash_node_report_unused (const struct ash_node *table,
                        const char *key_path,
                        struct ash_findings *findings)
{
  char path[128];

  for (const struct ash_node *child = table->children; child; child = child->next)
    {
      if (child->used)
        continue;
      snprintf (path, sizeof path, "%s%s%s", key_path, *key_path ? "." : "", child->key);
      ash_findings_add (findings, child->line, path, "unknown key");
    }
}

static void
add_json (struct ash_node *parent, const char *key, json_t *value)
{
  struct ash_node *node = NULL;
  const char *name;
  json_t *item;
  size_t i;

  switch (json_typeof (value))
    {
    case JSON_OBJECT:
      node = ash_node_add (parent, ASH_NODE_TABLE, key, 0);
      json_object_foreach (value, name, item)
        add_json (node, name, item);
      break;
    case JSON_ARRAY:
      node = ash_node_add (parent, ASH_NODE_ARRAY, key, 0);
      json_array_foreach (value, i, item)
        add_json (node, "", item);
      break;
    case JSON_STRING:
      node = ash_node_add (parent, ASH_NODE_STRING, key, 0);
      node->string = strdup (json_string_value (value));
      break;
    case JSON_INTEGER:
      node = ash_node_add (parent, ASH_NODE_INTEGER, key, 0);
      node->integer = json_integer_value (value);
      break;
    case JSON_REAL:
      node = ash_node_add (parent, ASH_NODE_FLOAT, key, 0);
      node->number = json_real_value (value);
      break;
    case JSON_TRUE:
    case JSON_FALSE:
      node = ash_node_add (parent, ASH_NODE_BOOL, key, 0);
      node->boolean = json_is_true (value);
      break;
    case JSON_NULL:
      break;
    }
}

struct ash_node *
ash_node_read_json (const char *text, size_t text_bytes, struct ash_findings *findings)
{
  json_error_t error;
  json_t *json = json_loadb (text, text_bytes, JSON_REJECT_DUPLICATES, &error);
  struct ash_node *root;
  const char *name;
  json_t *item;

  if (!json)
    {
      ash_findings_add (findings, (uint32_t) error.line, "json", "%s", error.text);
      return NULL;
    }
  if (!json_is_object (json))
    {
      ash_findings_add (findings, 1, "json", "the document must be an object");
      json_decref (json);
      return NULL;
    }
  root = ash_node_add (NULL, ASH_NODE_TABLE, "", 0);
  json_object_foreach (json, name, item)
    add_json (root, name, item);
  json_decref (json);
  return root;
}

struct ash_node *
ash_node_read (const char *text, size_t text_bytes, struct ash_findings *findings)
{
  size_t blanks = 0;

  while (blanks < text_bytes && strchr (" \t\r\n", text[blanks]))
    blanks++;
  if (blanks < text_bytes && text[blanks] == '{')
    return ash_node_read_json (text, text_bytes, findings);
  return ash_node_read_toml (text, text_bytes, findings);
}
