/**
 * @file
 * A request at an entry, from the caller's call to its final answer.
 */
#ifndef ASH_REQUEST_H
#define ASH_REQUEST_H

#include "common/clock.h"
#include "common/id.h"
#include "controllers/config.h"
#include "options/option.h"
#include "proto/event.h"

#include <uthash.h>

/** Endpoints that a request is tried at, at most. */
#define ASH_REQUEST_TRIES_MAX 4

/** Where a request stands. */
enum ash_request_state
{
  ASH_REQUEST_NEW,          /**< in the filter chain */
  ASH_REQUEST_DISOWNING,    /**< earlier homes are pending_homes to refuse it */
  ASH_REQUEST_SENT,         /**< at an endpoint, the link is up */
  ASH_REQUEST_DISCONNECTED, /**< at an endpoint, the link is down */
};

/** A request. */
struct ash_request
{
  uint64_t call; /**< names the caller's connection */
  struct ash_id id;
  enum ash_request_state state;
  char account[ASH_NAME_BYTES];
  char class_name[ASH_NAME_BYTES];
  uint32_t priority;
  bool keyed;  /**< the caller may submit it again through another entry */
  bool minted; /**< the key names its home and that home's life */
  bool no_repeat;
  bool stream;
  bool home_only;          /**< keyed and not to be repeated: only its home may run it */
  bool moved;              /**< an earlier home has it and stays its home */
  uint32_t caller_attempt; /**< 1: certainly the first; 0: not stated */
  struct ash_time arrived;
  struct ash_time deadline;
  struct Ash__Submit *submit; /**< what is sent, filled by the chain */

  char box[ASH_NAME_BYTES]; /**< where the present attempt is, or is to go */
  uint64_t incarnation;     /**< the life that it is meant for */
  uint64_t attempt;         /**< names the present attempt; 0: none yet */
  struct ash_time sent;     /**< when the present attempt was */
  uint32_t tries;
  char tried[ASH_REQUEST_TRIES_MAX][ASH_NAME_BYTES];
  uint64_t
      tried_incarnations[ASH_REQUEST_TRIES_MAX]; /**< a box with a new life may be tried again */
  bool may_have_run;                             /**< an earlier attempt may have run, or did */
  bool ran; /**< an earlier attempt certainly ran, at least in part */
  struct ash_time disconnected_since;
  char pending_homes[ASH_CONFIG_HISTORY_MAX][ASH_NAME_BYTES]; /**< earlier homes to answer yet */
  uint32_t pending_home_count;

  uint64_t received; /**< bytes of the present attempt's answer */
  bool head_sent;    /**< the caller has got the head of the answer */
  uint32_t status;
  uint32_t wait_ms;
  char *content_type;
  uint8_t *body; /**< of an answer that is not streamed */
  size_t body_capacity;

  int reason; /**< enum Ash__Reason: set by the filter that refuses */
  uint32_t retry_ms;
  UT_hash_handle hh;         /**< by call */
  UT_hash_handle hh_attempt; /**< by attempt */
};

#endif
