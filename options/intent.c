#include "options/intent.h"

#include "options/node.h"

#include <string.h>

#define REMOVE_KEY "remove"

static json_t *
node_to_json (const struct ash_node *node)
{
  json_t *value;

  switch (node->kind)
    {
    case ASH_NODE_TABLE:
      value = json_object ();
      for (const struct ash_node *child = node->children; child; child = child->next)
        json_object_set_new (value, child->key, node_to_json (child));
      return value;
    case ASH_NODE_ARRAY:
      value = json_array ();
      for (const struct ash_node *child = node->children; child; child = child->next)
        json_array_append_new (value, node_to_json (child));
      return value;
    case ASH_NODE_STRING:
      return json_string (node->string);
    case ASH_NODE_INTEGER:
      return json_integer (node->integer);
    case ASH_NODE_FLOAT:
      return json_real (node->number);
    case ASH_NODE_BOOL:
      return json_boolean (node->boolean);
    }
  return NULL;
}

static json_t *
read_json (const char *text, size_t text_bytes, struct ash_findings *findings)
{
  struct ash_node *root = ash_node_read (text, text_bytes, findings);
  json_t *value = root ? node_to_json (root) : NULL;

  ash_node_free (root);
  return value;
}

static const char *
row_name (const json_t *row)
{
  const char *name = json_string_value (json_object_get (row, "name"));

  return name ? name : json_string_value (json_object_get (row, "box"));
}

/* @return the index of the row with that name, or the array's size if there is none. */
static size_t
find_row (const json_t *rows, const char *name)
{
  size_t i;

  for (i = 0; i < json_array_size (rows); i++)
    {
      const char *found = row_name (json_array_get (rows, i));

      if (found && strcmp (found, name) == 0)
        break;
    }
  return i;
}

static void
add_change (json_t *changes, const char *kind, const char *name, const char *change, json_t *keys)
{
  json_array_append_new (changes, json_pack ("{s:s, s:s, s:s, s:o}", "kind", kind, "name", name,
                                             "change", change, "keys", keys));
}

/* ---- rows ---- */

static void
update_row (struct ash_plan *plan, const char *kind, json_t *row, const json_t *wanted)
{
  json_t *keys = json_array ();
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *) (uintptr_t) wanted, key, value)
    {
      if (json_equal (json_object_get (row, key), value))
        continue;
      json_object_set (row, key, value);
      json_array_append_new (keys, json_string (key));
    }
  if (json_array_size (keys))
    add_change (plan->changes, kind, row_name (row), "changed", keys);
  else
    json_decref (keys);
}

static void
apply_row (struct ash_plan *plan,
           const char *kind,
           json_t *rows,
           json_t *wanted,
           struct ash_findings *findings)
{
  const char *name = row_name (wanted);
  size_t index;

  if (!name)
    {
      ash_findings_add (findings, 0, kind, "a row without a name");
      return;
    }
  index = find_row (rows, name);
  if (index < json_array_size (rows))
    update_row (plan, kind, json_array_get (rows, index), wanted);
  else
    {
      json_array_append (rows, wanted);
      add_change (plan->changes, kind, name, "added", json_array ());
    }
}

static void
remove_row (struct ash_plan *plan, const char *what, struct ash_findings *findings)
{
  const char *blank = what ? strchr (what, ' ') : NULL;
  char kind[32];
  json_t *rows;
  size_t index;

  if (!blank || (size_t) (blank - what) >= sizeof kind)
    {
      ash_findings_add (findings, 0, REMOVE_KEY, "each must be \"KIND NAME\"");
      return;
    }
  memcpy (kind, what, (size_t) (blank - what));
  kind[blank - what] = '\0';
  rows = json_object_get (plan->document, kind);
  index = find_row (rows, blank + 1);
  if (index == json_array_size (rows))
    {
      ash_findings_add (findings, 0, REMOVE_KEY, "there is no %s '%s'", kind, blank + 1);
      return;
    }
  json_array_remove (rows, index);
  add_change (plan->changes, kind, blank + 1, "removed", json_array ());
}

static void
apply_kind (struct ash_plan *plan, const char *kind, json_t *wanted, struct ash_findings *findings)
{
  json_t *rows = json_object_get (plan->document, kind);
  json_t *row;
  size_t i;

  if (!json_is_array (wanted))
    {
      ash_findings_add (findings, 0, kind, "expected an array of tables");
      return;
    }
  if (!rows)
    {
      rows = json_array ();
      json_object_set_new (plan->document, kind, rows);
    }
  json_array_foreach (wanted, i, row)
    apply_row (plan, kind, rows, row, findings);
}

/* ---- homes_since_s ---- */

static json_t *
service_boxes (const json_t *document, const char *service)
{
  const json_t *rows = json_object_get (document, "endpoint");
  json_t *boxes = json_object ();

  for (size_t i = 0; i < json_array_size (rows); i++)
    {
      const json_t *row = json_array_get (rows, i);
      const char *of = json_string_value (json_object_get (row, "service"));

      if (of && strcmp (of, service) == 0 && row_name (row))
        json_object_set_new (boxes, row_name (row), json_true ());
    }
  return boxes;
}

static void
update_homes_since (struct ash_plan *plan, const json_t *base, int64_t unix_s)
{
  json_t *rows = json_object_get (plan->document, "service");

  for (size_t i = 0; i < json_array_size (rows); i++)
    {
      json_t *row = json_array_get (rows, i);
      const char *name = row_name (row);
      json_t *before = service_boxes (base, name ? name : "");
      json_t *after = service_boxes (plan->document, name ? name : "");

      if (name && !json_equal (before, after))
        {
          json_object_set_new (row, "homes_since_s", json_integer (unix_s));
          add_change (plan->changes, "service", name, "changed",
                      json_pack ("[s]", "homes_since_s"));
        }
      json_decref (before);
      json_decref (after);
    }
}

void
ash_plan_init (struct ash_plan *plan,
               const char *base,
               size_t base_bytes,
               const char *intent,
               size_t intent_bytes,
               int64_t unix_s,
               struct ash_findings *findings)
{
  json_t *before = read_json (base, base_bytes, findings);
  json_t *wanted = read_json (intent, intent_bytes, findings);
  const char *kind;
  json_t *value;
  size_t i;

  plan->document = json_deep_copy (before);
  plan->changes = json_array ();
  if (before && wanted)
    {
      json_object_foreach (wanted, kind, value)
        if (strcmp (kind, REMOVE_KEY) != 0)
          apply_kind (plan, kind, value, findings);
      json_array_foreach (json_object_get (wanted, REMOVE_KEY), i, value)
        remove_row (plan, json_string_value (value), findings);
      update_homes_since (plan, before, unix_s);
    }
  json_decref (before);
  json_decref (wanted);
}

void
ash_plan_finish (struct ash_plan *plan)
{
  json_decref (plan->document);
  json_decref (plan->changes);
}

/* ---- differences ---- */

/* @return the keys whose values differ, and keys that only one of the rows has. */
static json_t *
changed_keys (json_t *before, json_t *after)
{
  json_t *keys = json_array ();
  const char *key;
  json_t *value;

  json_object_foreach (after, key, value)
    if (!json_equal (json_object_get (before, key), value))
      json_array_append_new (keys, json_string (key));
  json_object_foreach (before, key, value)
    if (!json_object_get (after, key))
      json_array_append_new (keys, json_string (key));
  return keys;
}

static void
diff_kind (json_t *changes, const char *kind, const json_t *before, const json_t *after)
{
  for (size_t i = 0; i < json_array_size (after); i++)
    {
      json_t *row = json_array_get (after, i);
      const char *name = row_name (row) ? row_name (row) : "";
      json_t *old = json_array_get (before, find_row (before, name));
      json_t *keys = old ? changed_keys (old, row) : json_array ();

      if (!old)
        add_change (changes, kind, name, "added", keys);
      else if (json_array_size (keys))
        add_change (changes, kind, name, "changed", keys);
      else
        json_decref (keys);
    }
  for (size_t i = 0; i < json_array_size (before); i++)
    {
      const char *name = row_name (json_array_get (before, i));

      if (name && find_row (after, name) == json_array_size (after))
        add_change (changes, kind, name, "removed", json_array ());
    }
}

json_t *
ash_plan_diff (const char *before_text,
               size_t before_bytes,
               const char *after_text,
               size_t after_bytes,
               struct ash_findings *findings)
{
  json_t *before = read_json (before_text, before_bytes, findings);
  json_t *after = read_json (after_text, after_bytes, findings);
  json_t *changes = before && after ? json_array () : NULL;
  const char *kind;
  json_t *rows;

  if (changes)
    {
      json_object_foreach (after, kind, rows)
        diff_kind (changes, kind, json_object_get (before, kind), rows);
      json_object_foreach (before, kind, rows)
        if (!json_object_get (after, kind))
          diff_kind (changes, kind, rows, NULL);
    }
  json_decref (before);
  json_decref (after);
  return changes;
}
