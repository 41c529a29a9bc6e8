/**
 * @file
 * Fuzzes the parsers of published documents and settings: any input must give either findings or
 * a valid result, without a crash or a leak.
 */
#include "options/document.h"
#include "options/settings.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t length);

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t length)
{
  struct ash_document document;
  struct ash_settings settings;
  struct ash_findings findings;
  struct ash_id id = { length, length };

  ash_findings_init (&findings, "fuzz");
  ash_document_init (&document, 1, (const char *) bytes, length, &findings);
  /* An accepted document must be usable. */
  if (findings.count == 0)
    for (uint32_t i = 0; i < document.service_count; i++)
      ash_document_home (&document, document.services[i].name, id);
  ash_document_finish (&document);
  ash_findings_finish (&findings);
  ash_findings_init (&findings, "fuzz");
  ash_settings_read (&settings, (const char *) bytes, length, &findings);
  ash_findings_finish (&findings);
  return 0;
}
