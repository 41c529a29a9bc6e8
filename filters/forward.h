/**
 * @file
 * State machine of a request that a router sends directly to endpoints: decides whether to send it,
 * let it wait for capacity, send it to a further endpoint, or answer it with an error. The answer
 * reports whether the request may have run based only on the counts kept here.
 */
#ifndef ASH_FORWARD_H
#define ASH_FORWARD_H

#include "controllers/direct.h"
#include "controllers/prompt_gate.h"
#include "controllers/priority_room.h"
#include "controllers/resend_window.h"
#include "controllers/route_table.h"

/** Why a request is answered without an endpoint's answer. */
enum ash_forward_reason
{
  ASH_FORWARD_NO_ENDPOINT, /**< no endpoint of the service is known */
  ASH_FORWARD_NO_ROOM,     /**< all endpoints are at their limit of requests in flight */
  ASH_FORWARD_THROTTLED,   /**< endpoints with capacity are at their rate limit or backing off */
  ASH_FORWARD_REJECTED,    /**< endpoints refused the request, and no further attempt is allowed */
  ASH_FORWARD_FAILED,      /**< the request was sent and got no answer; it may have run */
  ASH_FORWARD_TIMEOUT,     /**< the request's deadline has passed */
  ASH_FORWARD_NO_BUDGET,   /**< a further attempt would exceed the resend budget */
  ASH_FORWARD_LEAVING,     /**< this process stops before the request could finish */
  ASH_FORWARD_QUARANTINED, /**< endpoints' processes ended while running it, so it is sent to
                              no other endpoint */
};

/** What to do with a request now. */
enum ash_forward_action
{
  ASH_FORWARD_SEND,
  ASH_FORWARD_WAIT,
  ASH_FORWARD_ANSWER,
};

/** A decision on a request. */
struct ash_forward_decision
{
  enum ash_forward_action action;
  union
  {
    struct ash_direct_endpoint *endpoint; /**< ASH_FORWARD_SEND: where to send the request */
    struct ash_time until; /**< ASH_FORWARD_WAIT: call ash_forward_next() again by then */
    struct
    {
      uint16_t status;
      enum ash_forward_reason reason;
      uint32_t retry_after_ms; /**< 0: no Retry-After is sent */
    } answer;
  };
};

/** State of a request that is being forwarded. */
struct ash_forward
{
  enum ash_repeat repeat; /**< whether the request may run more than once */
  uint32_t servers_max;   /**< maximum number of endpoints that the request may be sent to */
  uint32_t
      answer_target_ms; /**< target for the time to the first event, from the route's settings */
  const char *service;
  uint32_t cap;             /**< maximum requests in flight at an endpoint, this one included */
  uint32_t priority;        /**< 0 is the most urgent: see ash_request_priority() */
  double fair_reserve;      /**< room to leave to other accounts: see ash_fair_share_ask() */
  uint32_t pause_target_ms; /**< target for the longest pause between stream events; 0: none */
  double reserved; /**< part of the endpoints' room that was left to more urgent requests at the
                      last decision */
  struct ash_time arrived;
  struct ash_time deadline; /**< time by which the caller must get the final answer */
  struct ash_time
      wait_until; /**< time until which a stream that has begun may wait to be resumed */
  struct ash_prompt_terms prompt;
  bool answer_started;  /**< part of the answer has been passed to the caller */
  uint32_t unconfirmed; /**< attempts not confirmed as not run: they may have run */
  uint32_t sent;        /**< number of attempts sent so far */
  uint32_t unsent;      /**< attempts in a row that reached no endpoint; not in `sent` */
  uint64_t tried[ASH_DIRECT_TRIED_MAX]; /**< hashes of the ids of endpoints that the request was
                                           sent to */
  uint32_t tried_count;
};

/** Input of a decision besides the request itself. */
struct ash_forward_context
{
  struct ash_direct_set *endpoints;
  struct ash_resend_window *window; /**< counts of recent requests and resends */
  struct ash_resend_bound bound;    /**< limit on resends relative to recent requests */
  uint32_t entries;                 /**< number of processes that share the resend budget */
  const char *hall;
  uint64_t router_id;    /**< a number that identifies this process among its peers */
  uint32_t remote_parts; /**< this process uses 1/remote_parts of the endpoints in other halls */
  uint32_t wait_ms;      /**< how long a request may wait for capacity */
  struct ash_prompt_gate *gate; /**< prompt gate of the service; NULL: prompts are not held */
  struct ash_priority_room
      *room;               /**< demand for the service by priority; NULL: priorities don't matter */
  double reserve;          /**< see ash_priority_room_reserved() */
  int64_t quarantined_ms;  /**< remaining quarantine of the request; 0: not quarantined */
  bool suspected;          /**< the request was sent, and endpoints may have ended because of it */
  struct ash_time sent_at; /**< when the last attempt was made */
  bool no_socket; /**< this process can't open connections now: as if all endpoints were full */
};

/** Decides what to do with the request at time @p now. */
struct ash_forward_decision ash_forward_next (struct ash_forward *forward,
                                              const struct ash_forward_context *context,
                                              struct ash_time now);

/** Records that the request is being sent to an endpoint. */
void ash_forward_sent (struct ash_forward *forward, const struct ash_direct_endpoint *endpoint);

/** Records that the last attempt has reached its endpoint. */
void ash_forward_reached (struct ash_forward *forward);

/** Records that the last attempt did not run.
 * @param was_sent false if nothing was sent: the attempt doesn't count. */
void ash_forward_not_run (struct ash_forward *forward, bool was_sent);

/** @return the HTTP status of the final answer: 503 if the request surely did not run, else 502,
 * or 504 after a timeout. */
uint16_t ash_forward_status (const struct ash_forward *forward, enum ash_forward_reason reason);

/** @return a reason's name in logs and metrics. */
const char *ash_forward_reason_name (enum ash_forward_reason reason);

#endif
