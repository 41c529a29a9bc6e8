/**
 * @file
 * Applies an operator's intent to a published document. This only computes a plan; the operator
 * reviews, confirms and publishes it.
 *
 * An intent is a partial document. If the published document has a row with the same kind and name
 * as a row of the intent, only the keys that the intent gives are replaced; otherwise the row is
 * added. `remove = ["endpoint model-3"]` removes rows.
 */
#ifndef ASH_INTENT_H
#define ASH_INTENT_H

#include "common/finding.h"

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/** The result of an intent. */
struct ash_plan
{
  json_t *document; /**< the complete document to publish */
  json_t *changes;  /**< an object for each changed row: kind, name, change, keys */
};

/**
 * Computes a plan. It does not check the resulting document; ash_document_init() does.
 * @param unix_s current Unix time in seconds. It is stored as homes_since_s of each service whose
 * set of endpoints changes, so that operators need not set it.
 */
void ash_plan_init (struct ash_plan *plan,
                    const char *base,
                    size_t base_bytes,
                    const char *intent,
                    size_t intent_bytes,
                    int64_t unix_s,
                    struct ash_findings *findings);

void ash_plan_finish (struct ash_plan *plan);

/**
 * Compares two documents row by row.
 * @return a new array of the changes from @p before to @p after, in the form of ash_plan.changes;
 * NULL with findings if one of the documents can't be read.
 */
json_t *ash_plan_diff (const char *before,
                       size_t before_bytes,
                       const char *after,
                       size_t after_bytes,
                       struct ash_findings *findings);

#endif
