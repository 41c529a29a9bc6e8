/**
 * @file
 * From what an operator wants to the document that would bring it about. Nothing
 * is changed here: a plan is shown, confirmed, and published by the operator.
 *
 * An intent is a piece of a published document: its rows are added, or change the
 * row of the same kind and name, key by key. `remove = ["endpoint model-3"]` takes
 * rows away.
 */
#ifndef ASH_INTENT_H
#define ASH_INTENT_H

#include "common/finding.h"

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/** What an intent comes to. */
struct ash_plan
{
  json_t *document; /**< the whole document as it would be published */
  json_t *changes;  /**< one object a changed row: kind, name, change, keys */
};

/**
 * Works out a plan. Whether its document can be accepted is for
 * ash_document_init() to say.
 * @param unix_s now: a service whose set of endpoints changes gets it as its
 * homes_since_s, so that nobody has to remember that.
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
 * @return a new array like a plan's changes, from @p before to @p after; NULL with
 * findings if one can't be read.
 */
json_t *ash_plan_diff (const char *before,
                       size_t before_bytes,
                       const char *after,
                       size_t after_bytes,
                       struct ash_findings *findings);

#endif
