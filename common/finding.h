/**
 * @file
 * Findings: the errors that a check of a settings file or document found, each with its line and
 * key path. They are collected and reported together, so that a check need not stop at the first.
 */
#ifndef ASH_FINDING_H
#define ASH_FINDING_H

#include <stdint.h>
#include <stdio.h>

/** Findings beyond this number are counted but not stored. */
#define ASH_FINDINGS_MAX 100

/** An error in a settings file or document. */
struct ash_finding
{
  uint32_t line;      /**< line in the file, from 1; 0: unknown */
  char key_path[128]; /**< where in the file, for example `endpoint[3].slots` */
  char text[256];
};

/** The findings of one file or document. */
struct ash_findings
{
  const char *file; /**< name for output; owned by the caller */
  uint32_t count;   /**< number of findings, including those that are not stored */
  struct ash_finding *items;
};

/** Initializes an empty list for @p file, whose name must outlive the list. */
void ash_findings_init (struct ash_findings *findings, const char *file);

void ash_findings_finish (struct ash_findings *findings);

/** Adds a finding; @p format gives its text. Without memory the finding is only counted. */
void ash_findings_add (struct ash_findings *findings,
                       uint32_t line,
                       const char *key_path,
                       const char *format,
                       ...) __attribute__ ((format (printf, 4, 5)));

/** Prints each finding on a line as `file:line: key_path: text`. */
void ash_findings_print (const struct ash_findings *findings, FILE *out);

#endif
