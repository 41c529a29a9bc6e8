#include "common/finding.h"

#include <stdarg.h>
#include <stdlib.h>

void
ash_findings_init (struct ash_findings *findings, const char *file)
{
  *findings = (struct ash_findings){ .file = file };
}

void
ash_findings_finish (struct ash_findings *findings)
{
  free (findings->items);
  *findings = (struct ash_findings){ 0 };
}

void
ash_findings_add (
    struct ash_findings *findings, uint32_t line, const char *key_path, const char *format, ...)
{
  struct ash_finding *finding;
  va_list args;

  findings->count++;
  if (findings->count > ASH_FINDINGS_MAX)
    return;
  if (!findings->items)
    findings->items = calloc (ASH_FINDINGS_MAX, sizeof *findings->items);
  if (!findings->items)
    return;
  finding = &findings->items[findings->count - 1];
  finding->line = line;
  snprintf (finding->key_path, sizeof finding->key_path, "%s", key_path);
  va_start (args, format);
  vsnprintf (finding->text, sizeof finding->text, format, args);
  va_end (args);
}

void
ash_findings_print (const struct ash_findings *findings, FILE *out)
{
  uint32_t stored = findings->count < ASH_FINDINGS_MAX ? findings->count : ASH_FINDINGS_MAX;

  for (uint32_t i = 0; findings->items && i < stored; i++)
    {
      const struct ash_finding *finding = &findings->items[i];

      if (finding->line)
        fprintf (out, "%s:%u: %s: %s\n", findings->file, finding->line, finding->key_path,
                 finding->text);
      else
        fprintf (out, "%s: %s: %s\n", findings->file, finding->key_path, finding->text);
    }
  if (findings->count > stored)
    fprintf (out, "%s: and %u more\n", findings->file, findings->count - stored);
}
