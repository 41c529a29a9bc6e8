/**
 * @file
 * Name, HTTP status and message of each Ash__Reason.
 */
#include "filters/entry.h"

/* The names are part of the interface: error bodies, logs and metrics contain them. */
struct reason_row
{
  const char *name;
  uint32_t status;
  const char *text;
};

static const struct reason_row rows[] = {
  [ASH__REASON__REASON_NONE] = { "none", 200, "" },
  [ASH__REASON__BAD_REQUEST] = { "bad_request", 400, "the request is malformed" },
  [ASH__REASON__BAD_KEY] = { "bad_key", 401, "the bearer key belongs to no account" },
  [ASH__REASON__NO_SERVICE] = { "no_service", 404, "there is no such service" },
  [ASH__REASON__LIMIT] = { "limit", 429, "the account is over its limit" },
  [ASH__REASON__OVERLOAD] = { "overload", 503, "it could not be served in time" },
  [ASH__REASON__NO_ENDPOINT] = { "no_endpoint", 503,
                                 "no endpoint that may take it can be reached" },
  [ASH__REASON__LEAVING] = { "leaving", 503, "the box is in a planned stop" },
  [ASH__REASON__STALE_INCARNATION] = { "stale_incarnation", 503,
                                       "the endpoint has restarted meanwhile" },
  [ASH__REASON__NEW_LIFE] = { "new_life", 503,
                              "too soon after a restart to know of earlier attempts" },
  [ASH__REASON__REFUSED_BEFORE] = { "refused_before", 409,
                                    "this key was refused before; use a new key or a higher "
                                    "attempt" },
  [ASH__REASON__DEADLINE] = { "deadline", 504, "the deadline passed" },
  [ASH__REASON__CANCELLED] = { "cancelled", 499, "the request was cancelled" },
  [ASH__REASON__STALLED] = { "stalled", 503, "the endpoint stands still" },
  [ASH__REASON__STOPPED] = { "stopped", 502, "a planned stop was over before the answer was" },
  [ASH__REASON__ENDPOINT_LOST] = { "endpoint_lost", 502, "the endpoint was lost" },
  [ASH__REASON__ENDPOINT_FAILED] = { "endpoint_failed", 502, "the endpoint broke off its answer" },
  [ASH__REASON__ANSWER_GONE] = { "answer_gone", 409, "it ran; its answer is no longer kept" },
  [ASH__REASON__STALE_CONFIG] = { "stale_config", 503, "a configuration is being spread" },
  [ASH__REASON__NOT_HOME] = { "not_home", 503, "the key's home is moving between endpoints" },
  [ASH__REASON__NOT_READY] = { "not_ready", 503, "this box has no configuration yet" },
  [ASH__REASON__ANSWER_TOO_LARGE] = { "answer_too_large", 502, "the answer is too large" },
  [ASH__REASON__RETRY_BUDGET] = { "retry_budget", 503,
                                  "the service is failing and retries are used up" },
  [ASH__REASON__MISDIRECTED] = { "misdirected", 421,
                                 "the account belongs to other entries; ask /v1/addresses" },
  [ASH__REASON__KEY_EXPIRED] = { "key_expired", 400, "the minted key has expired" },
  [ASH__REASON__NOT_RECEIVED] = { "not_received", 503, "it never reached the endpoint" },
};

static const struct reason_row *
row (int reason)
{
  if (reason < 0 || (size_t) reason >= sizeof rows / sizeof rows[0])
    reason = ASH__REASON__REASON_NONE;
  return &rows[reason];
}

uint32_t
ash_entry_status (int reason)
{
  return row (reason)->status;
}

const char *
ash_entry_reason_text (int reason)
{
  return row (reason)->text;
}

const char *
ash_entry_reason_name (int reason)
{
  return row (reason)->name;
}

const char *
ash_entry_outcome_name (int outcome)
{
  switch (outcome)
    {
    case ASH__OUTCOME__RAN:
      return "ran";
    case ASH__OUTCOME__NOT_RUN:
      return "not-run";
    default:
      return "unknown";
    }
}
