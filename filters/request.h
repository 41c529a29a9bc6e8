/**
 * @file
 * State of a request at an entry, from the call to the final answer.
 */
#ifndef ASH_REQUEST_H
#define ASH_REQUEST_H

#include "common/clock.h"
#include "common/id.h"
#include "controllers/config.h"
#include "options/option.h"
#include "proto/event.h"

#include <uthash.h>

/** Maximum attempts per request. */
#define ASH_REQUEST_TRIES_MAX 4

/** State of a request. */
enum ash_request_state
{
  ASH_REQUEST_NEW,       /**< the filters are deciding on the request */
  ASH_REQUEST_DISOWNING, /**< waits until the boxes that were homes of its key earlier have refused
                            the request */
  ASH_REQUEST_SENT,      /**< sent to an endpoint whose link is up */
  ASH_REQUEST_DISCONNECTED, /**< sent to an endpoint whose link is down */
};

/** A request. It owns all memory that it points to. */
struct ash_request
{
  uint64_t call; /**< number of the caller's HTTP request */
  struct ash_id id;
  enum ash_request_state state;
  char account[ASH_NAME_BYTES];
  char class_name[ASH_NAME_BYTES];
  uint32_t priority;
  bool keyed;     /**< the request has an idempotency key, so the caller may submit it again */
  bool minted;    /**< the key names its home and the home's incarnation */
  bool no_repeat; /**< the request must not run twice */
  bool stream;    /**< the answer is passed to the caller as it arrives */
  bool home_only; /**< keyed and no_repeat: only the home of its key may run the request */
  bool moved; /**< an earlier home of its key has the request in its ledger, and remains its home */
  uint32_t caller_attempt; /**< number of the caller's submission, from 1; 0: not stated */
  struct ash_time arrived;
  struct ash_time deadline;
  struct Ash__Submit *submit; /**< the message to the endpoint, copied from the call */

  char box[ASH_NAME_BYTES]; /**< target of the current or next attempt */
  uint64_t incarnation;     /**< incarnation of box that the attempt is for */
  uint64_t attempt;         /**< number of the current attempt; 0: none */
  struct ash_time sent;     /**< when the current attempt was sent */
  uint32_t tries;           /**< number of attempts sent */
  char tried[ASH_REQUEST_TRIES_MAX][ASH_NAME_BYTES];  /**< the box of each attempt */
  uint64_t tried_incarnations[ASH_REQUEST_TRIES_MAX]; /**< the incarnation of each box in `tried`: a
                                                         restarted box may be tried again */
  bool may_have_run;                                  /**< an earlier attempt ran or may have run */
  bool ran; /**< an earlier attempt certainly ran, at least partly */
  struct ash_time disconnected_since;
  char pending_homes[ASH_CONFIG_HISTORY_MAX][ASH_NAME_BYTES]; /**< earlier homes of its key that
                                                                 have not refused the request yet */
  uint32_t pending_home_count;

  uint64_t received; /**< body bytes received of the current attempt's answer */
  bool head_sent;    /**< the answer's head has been passed to the caller */
  uint32_t status;   /**< HTTP status of the endpoint's answer; 0: no head yet */
  uint32_t wait_ms;  /**< how long the request was queued at the endpoint */
  char *content_type;
  uint8_t *body; /**< body of the answer, unless the answer is streamed */
  size_t body_capacity;

  int reason;                /**< enum Ash__Reason: why the request was refused or failed */
  uint32_t retry_ms;         /**< delay before the caller may retry */
  UT_hash_handle hh;         /**< in the table with key `call` */
  UT_hash_handle hh_attempt; /**< in the table with key `attempt` */
};

#endif
