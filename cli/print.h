/**
 * @file
 * Output of texts that come from outside: answers, logs, names in documents.
 */
#ifndef ASH_CLI_PRINT_H
#define ASH_CLI_PRINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

/**
 * Writes a text. On a terminal, control characters other than line feeds and tabs appear as `\xNN`,
 * so that no text can move the cursor, hide others or type; a file gets the text as it is.
 */
void ash_cli_print (FILE *out, bool is_terminal, const char *text, size_t length);

/** Formats a message and writes it to standard error, see ash_cli_print(). */
void ash_cli_error (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

#endif
