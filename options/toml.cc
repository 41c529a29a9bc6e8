// The only C++ file: Debian has no C library for TOML, so ash_node_read_toml()
// wraps toml++. No exception leaves this file.
#include <toml++/toml.h>

#include <string>

extern "C"
{
#include "options/node.h"
}

extern "C" char *strdup (const char *);

static void add_toml (ash_node *parent, const char *key, const toml::node &value);

static void
add_children (ash_node *node, const toml::table &table)
{
  for (const auto &[key, value] : table)
    add_toml (node, std::string (key.str ()).c_str (), value);
}

static void
add_toml (ash_node *parent, const char *key, const toml::node &value)
{
  uint32_t line = value.source ().begin.line;

  if (const auto *table = value.as_table ())
    add_children (ash_node_add (parent, ASH_NODE_TABLE, key, line), *table);
  else if (const auto *array = value.as_array ())
    {
      ash_node *node = ash_node_add (parent, ASH_NODE_ARRAY, key, line);
      for (const auto &item : *array)
        add_toml (node, "", item);
    }
  else if (const auto *string = value.as_string ())
    ash_node_add (parent, ASH_NODE_STRING, key, line)->string = strdup (string->get ().c_str ());
  else if (const auto *integer = value.as_integer ())
    ash_node_add (parent, ASH_NODE_INTEGER, key, line)->integer = integer->get ();
  else if (const auto *number = value.as_floating_point ())
    ash_node_add (parent, ASH_NODE_FLOAT, key, line)->number = number->get ();
  else if (const auto *boolean = value.as_boolean ())
    ash_node_add (parent, ASH_NODE_BOOL, key, line)->boolean = boolean->get ();
  else
    {
      // No option has a date or time as its value; pass on a string that the
      // checks of the options reject.
      ash_node_add (parent, ASH_NODE_STRING, key, line)->string = strdup ("(date or time)");
    }
}

extern "C" ash_node *
ash_node_read_toml (const char *text, size_t text_bytes, ash_findings *findings)
{
  try
    {
      toml::table table = toml::parse (std::string_view (text, text_bytes));
      ash_node *root = ash_node_add (nullptr, ASH_NODE_TABLE, "", 0);
      add_children (root, table);
      return root;
    }
  catch (const toml::parse_error &error)
    {
      ash_findings_add (findings, error.source ().begin.line, "toml", "%s",
                        std::string (error.description ()).c_str ());
    }
  catch (const std::exception &error)
    {
      ash_findings_add (findings, 0, "toml", "%s", error.what ());
    }
  return nullptr;
}
