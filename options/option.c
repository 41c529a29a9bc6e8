#include "options/option.h"

#include "common/id.h"

#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000.0

struct option_context
{
  const struct ash_option *option;
  uint32_t line;
  char key_path[128];
  struct ash_findings *findings;
};

static void
store_number (const struct option_context *context, double value, void *field)
{
  const struct ash_option *option = context->option;

  if (!(value >= option->min && value <= option->max))
    {
      ash_findings_add (context->findings, context->line, context->key_path,
                        "%g is outside %g to %g%s%s", value, option->min, option->max,
                        option->unit ? " " : "", option->unit ? option->unit : "");
      return;
    }
  if (option->type == ASH_OPTION_UINT)
    *(uint32_t *) field = (uint32_t) value;
  else if (option->type == ASH_OPTION_SECONDS)
    *(uint32_t *) field = (uint32_t) (value * MS_PER_S + 0.5);
  else
    *(double *) field = value;
}

static void
store_text (const struct option_context *context, const char *value, void *field)
{
  if (strlen (value) >= (size_t) context->option->max)
    ash_findings_add (context->findings, context->line, context->key_path,
                      "longer than %g characters", context->option->max - 1);
  else
    strcpy (field, value);
}

static void
store_hex (const struct option_context *context, const char *value, void *field)
{
  if (!ash_hex_decode (value, field, (size_t) context->option->max))
    ash_findings_add (context->findings, context->line, context->key_path, "must be %g hex digits",
                      2 * context->option->max);
}

static void
store_choice (const struct option_context *context, const char *value, void *field)
{
  char allowed[160] = "";

  for (int i = 0; context->option->choices[i]; i++)
    {
      if (strcmp (value, context->option->choices[i]) == 0)
        {
          *(int *) field = i;
          return;
        }
      strncat (allowed, i ? ", " : "", sizeof allowed - strlen (allowed) - 1);
      strncat (allowed, context->option->choices[i], sizeof allowed - strlen (allowed) - 1);
    }
  ash_findings_add (context->findings, context->line, context->key_path, "'%s' is none of %s",
                    value, allowed);
}

static void
store_default (const struct option_context *context, void *field)
{
  const char *text = context->option->default_value;

  switch (context->option->type)
    {
    case ASH_OPTION_TEXT:
      store_text (context, text, field);
      break;
    case ASH_OPTION_HEX:
      store_hex (context, text, field);
      break;
    case ASH_OPTION_UINT:
    case ASH_OPTION_NUMBER:
    case ASH_OPTION_SECONDS:
      store_number (context, strtod (text, NULL), field);
      break;
    case ASH_OPTION_BOOL:
      *(bool *) field = strcmp (text, "true") == 0;
      break;
    case ASH_OPTION_CHOICE:
      store_choice (context, text, field);
      break;
    }
}

static bool
check_kind (const struct option_context *context,
            const struct ash_node *node,
            enum ash_node_kind wanted)
{
  if (node->kind == wanted)
    return true;
  ash_findings_add (context->findings, context->line, context->key_path,
                    "expected a %s, found a %s", ash_node_kind_name (wanted),
                    ash_node_kind_name (node->kind));
  return false;
}

static void
store_node (const struct option_context *context, const struct ash_node *node, void *field)
{
  switch (context->option->type)
    {
    case ASH_OPTION_TEXT:
      if (check_kind (context, node, ASH_NODE_STRING))
        store_text (context, node->string, field);
      break;
    case ASH_OPTION_HEX:
      if (check_kind (context, node, ASH_NODE_STRING))
        store_hex (context, node->string, field);
      break;
    case ASH_OPTION_UINT:
      if (check_kind (context, node, ASH_NODE_INTEGER))
        store_number (context, (double) node->integer, field);
      break;
    case ASH_OPTION_NUMBER:
    case ASH_OPTION_SECONDS:
      if (node->kind == ASH_NODE_INTEGER)
        store_number (context, (double) node->integer, field);
      else if (check_kind (context, node, ASH_NODE_FLOAT))
        store_number (context, node->number, field);
      break;
    case ASH_OPTION_BOOL:
      if (check_kind (context, node, ASH_NODE_BOOL))
        *(bool *) field = node->boolean;
      break;
    case ASH_OPTION_CHOICE:
      if (check_kind (context, node, ASH_NODE_STRING))
        store_choice (context, node->string, field);
      break;
    }
}

void
ash_options_read (const struct ash_option *options,
                  struct ash_node *table,
                  const char *key_path,
                  void *target,
                  struct ash_findings *findings)
{
  for (const struct ash_option *option = options; option->key; option++)
    {
      struct option_context context = { .option = option,
                                        .line = table->line,
                                        .findings = findings };
      struct ash_node *node = ash_node_get (table, option->key);
      void *field = (char *) target + option->offset;

      snprintf (context.key_path, sizeof context.key_path, "%s%s%s", key_path, *key_path ? "." : "",
                option->key);
      if (node)
        context.line = node->line;
      if (node)
        store_node (&context, node, field);
      else if (option->default_value)
        store_default (&context, field);
      else
        ash_findings_add (findings, table->line, context.key_path, "must be given");
    }
}

static bool
has_range (const struct ash_option *option)
{
  return option->type == ASH_OPTION_UINT || option->type == ASH_OPTION_NUMBER ||
         option->type == ASH_OPTION_SECONDS;
}

void
ash_options_print_help (const struct ash_option *options, FILE *out)
{
  for (const struct ash_option *option = options; option->key; option++)
    {
      fprintf (out, "%s", option->key);
      if (has_range (option))
        fprintf (out, " (%g to %g%s%s)", option->min, option->max, option->unit ? " " : "",
                 option->unit ? option->unit : "");
      for (int i = 0; option->choices && option->choices[i]; i++)
        fprintf (out, "%s%s", i ? " | " : " (", option->choices[i]);
      if (option->choices)
        fprintf (out, ")");
      if (option->default_value)
        fprintf (out, ", default %s\n", *option->default_value ? option->default_value : "none");
      else
        fprintf (out, ", required\n");
      fprintf (out, "    %s\n", option->help);
    }
}
