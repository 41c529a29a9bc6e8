/**
 * @file
 * The life of a request that is sent straight to endpoints: whether it is sent,
 * waits for room, is sent again, or gets its final answer. What a caller is told
 * about a run rests on what is noted here alone.
 */
#ifndef ASH_FORWARD_H
#define ASH_FORWARD_H

#include "controllers/direct.h"
#include "controllers/prompt_gate.h"
#include "controllers/resend_window.h"
#include "controllers/route_table.h"

/** Why a request ends without an endpoint's answer. */
enum ash_forward_reason
{
  ASH_FORWARD_NO_ENDPOINT, /**< none of its service is known */
  ASH_FORWARD_NO_ROOM,     /**< all have as much work as they may have */
  ASH_FORWARD_THROTTLED,   /**< those with room want none now: at their rate, or at rest */
  ASH_FORWARD_REJECTED,    /**< endpoints refused it, and it may go to no more of them */
  ASH_FORWARD_FAILED,      /**< it was sent and no answer arrived; it may have run */
  ASH_FORWARD_TIMEOUT,     /**< its time is up */
  ASH_FORWARD_NO_BUDGET,   /**< it could be sent again, but not affordably */
  ASH_FORWARD_LEAVING,     /**< this process ends too soon to see it through */
  ASH_FORWARD_QUARANTINED, /**< endpoints have ended under it: it is kept away from others */
};

/** What comes next. */
enum ash_forward_action
{
  ASH_FORWARD_SEND,
  ASH_FORWARD_WAIT,
  ASH_FORWARD_ANSWER,
};

/** A decision. */
struct ash_forward_decision
{
  enum ash_forward_action action;
  union
  {
    struct ash_direct_endpoint *endpoint; /**< SEND */
    struct ash_time until;                /**< WAIT: at most */
    struct
    {
      uint16_t status;
      enum ash_forward_reason reason;
      uint32_t retry_after_ms; /**< 0: nothing to be said */
    } answer;
  };
};

/** A request. */
struct ash_forward
{
  enum ash_repeat repeat;
  uint32_t servers_max;
  uint32_t aim_ms;
  const char *service;
  uint32_t cap; /**< requests that an endpoint may have when this one is sent there */
  uint32_t pause_aim_ms;
  struct ash_time arrived;
  struct ash_time deadline; /**< the final answer is due */
  struct ash_time wait_until;
  struct ash_prompt_terms prompt;
  bool answer_started;  /**< a part of the answer went to the caller */
  uint32_t unconfirmed; /**< endpoints that got it and do not vouch that it did not run */
  uint32_t sent;        /**< endpoints that it was sent to */
  uint64_t tried[ASH_DIRECT_TRIED_MAX];
  uint32_t tried_count;
};

/** What a decision rests on beside the request. */
struct ash_forward_context
{
  struct ash_direct_set *endpoints;
  struct ash_resend_window *window;
  struct ash_resend_bound bound;
  uint32_t entries;      /**< that share the bound */
  const char *hall;      /**< of this process */
  uint64_t own;          /**< tells this process from the others */
  uint32_t remote_parts; /**< of the endpoints of other halls, it takes one part in so many */
  uint32_t wait_ms;      /**< how long a request may wait for room */
  struct ash_prompt_gate *gate; /**< of the service; NULL: it reads no prompts */
  int64_t quarantined_ms; /**< how long the request is kept away from endpoints; 0: it is not */
};

/** What comes next, now. */
struct ash_forward_decision ash_forward_next (struct ash_forward *forward,
                                              const struct ash_forward_context *world,
                                              struct ash_time now);

/** The request leaves for an endpoint. */
void ash_forward_sent (struct ash_forward *forward, const struct ash_direct_endpoint *endpoint);

/** The endpoint vouches that it did not run, or nothing left for it. */
void ash_forward_not_run (struct ash_forward *forward, bool was_sent);

/** @return the status of a final answer that says no more than is known. */
uint16_t ash_forward_status (const struct ash_forward *forward, enum ash_forward_reason reason);

/** @return a reason's name, for logs and metrics. */
const char *ash_forward_reason_name (enum ash_forward_reason reason);

#endif
