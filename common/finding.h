/**
 * @file
 * Findings: what a check has found wrong, each with its key_path, collected and
 * reported together instead of stopping at the first.
 */
#ifndef ASH_FINDING_H
#define ASH_FINDING_H

#include <stdint.h>
#include <stdio.h>

/** More findings than this are counted, not kept. */
#define ASH_FINDINGS_MAX 100

/** One thing found wrong. */
struct ash_finding
{
  uint32_t line;      /**< from 1; 0 if the key_path has no line */
  char key_path[128]; /**< the key's path, as `endpoint[3].slots` */
  char text[256];
};

/** A list of findings about one file or document. */
struct ash_findings
{
  const char *file; /**< name to print, owned by the caller */
  uint32_t count;   /**< all found, those not kept included */
  struct ash_finding *items;
};

/** Starts an empty list about @p file. */
void ash_findings_init (struct ash_findings *findings, const char *file);

/** Frees what the list holds. */
void ash_findings_finish (struct ash_findings *findings);

/** Adds a finding at @p line and @p key_path. */
void ash_findings_add (struct ash_findings *findings,
                       uint32_t line,
                       const char *key_path,
                       const char *format,
                       ...) __attribute__ ((format (printf, 4, 5)));

/** Prints one `file:line: key_path: text` a line. */
void ash_findings_print (const struct ash_findings *findings, FILE *out);

#endif
