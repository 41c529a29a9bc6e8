/**
 * @file
 * A caller's request from its last byte to its answer's, as the files that handle it share it.
 * Calls go one way: requests.c begins an exchange, exchange.c moves it on, exchange_watch.c judges
 * the endpoint that has it, exchange_cut.c takes in that its connection ended, exchange_end.c ends
 * it, exchange_answer.c takes the answer's bytes.
 */
#ifndef ASH_EXCHANGE_H
#define ASH_EXCHANGE_H

#include "common/id.h"
#include "daemon/router.h"
#include "filters/forward.h"
#include "net/event_stream.h"
#include "net/http_call.h"
#include "platform/message.h"

#define ASH_STATUS_OK 200
#define ASH_STATUS_MULTIPLE_CHOICES 300
#define ASH_STATUS_MISDIRECTED 421 /* another one has that address by now */
#define ASH_STATUS_SERVER_ERROR 500

/** What the present answer of an endpoint has shown so far. */
struct ash_exchange_answer
{
  uint16_t status;
  bool not_run;    /**< the endpoint vouches that it did not run the request */
  bool bad;        /**< it can't be the endpoint's answer to this request */
  bool events;     /**< it is a stream of events */
  uint64_t length; /**< of the body of an answer to HEAD, which does not come */
  bool passing;    /**< too large to be held: passed on as it comes */
  struct ash_buffer fields;
  struct ash_buffer body;
};

/** A caller's request that is under way. */
struct ash_exchange
{
  struct ash_router *router;
  struct ash_http_conn *conn;
  struct ash_http_call call;
  struct ash_route_table *table;
  const struct ash_route *route;
  const struct ash_route_account *account;
  struct ash_request_fields facts;
  struct ash_forward forward;
  struct ash_direct_endpoint *endpoint; /**< that the call goes to */
  struct ash_time sent;                 /**< when it went there */
  struct ash_time heard;                /**< the last byte or event from there */
  struct ash_time trusted;              /**< kept connections that were heard from since will do */
  struct ash_exchange_answer answer;
  struct ash_event_stream events;
  bool has_event;
  int64_t last_event;     /**< passed on */
  struct ash_time passed; /**< when */
  bool waiting;
  uint64_t asked; /**< it goes on once this endpoint was asked whether it stands; 0: none */
  bool has_digest;
  struct ash_id digest; /**< of what is asked; worked out when first needed */
  ev_timer timer;
  struct ash_exchange *prev;
  struct ash_exchange *next;
};

/* ---- exchange.c: its life ---- */

/**
 * Begins an exchange of a connection's request; its account, facts and forward are the caller's to
 * fill in before the first step.
 * @return NULL if memory is short.
 */
struct ash_exchange *ash_exchange_new (struct ash_router *router,
                                       struct ash_http_conn *conn,
                                       const struct ash_route *route);

/** Does what comes next. The exchange may be gone afterwards. */
void ash_exchange_step (struct ash_exchange *exchange);

/* ---- exchange_watch.c: the endpoint that has it ---- */

/** Takes evidence on the endpoint, and logs if that is passed over from now on. */
void ash_exchange_record_evidence (struct ash_exchange *exchange, enum ash_direct_result evidence);

/**
 * @param until when the exchange is to be looked at again at the latest.
 * @return when it is to be looked at if nothing comes: the deadline, the end of a silence that may
 * be borne, or until.
 */
struct ash_time ash_exchange_next_check (const struct ash_exchange *exchange,
                                         struct ash_time now,
                                         struct ash_time until);

/** @return whether the request is to go elsewhere since nothing comes. Doubts all endpoints' idle
 * connections if its own bytes are not acknowledged. */
bool ash_exchange_check_silence (struct ash_exchange *exchange, struct ash_time now);

/** Nothing came for long: doubts the endpoint's other kept connections. */
void ash_exchange_close_idle_connections (struct ash_exchange *exchange, struct ash_time now);

/** The request's time is up before anything came: takes what that says of the endpoint. */
void ash_exchange_record_timeout (struct ash_exchange *exchange, struct ash_time now);

/* ---- exchange_cut.c: connections that end under it ---- */

/** @return what names this request in each submission: see ash_id_from_request(). */
struct ash_id ash_exchange_digest (struct ash_exchange *exchange);

/** The connection to its endpoint has ended before the answer did. */
void ash_exchange_record_disconnect (struct ash_exchange *exchange);

/** It got a whole answer: whatever ended endpoints, it was not this request. */
void ash_exchange_record_success (struct ash_exchange *exchange);

/** @return how long its request is kept away from endpoints; 0: it is not. */
int64_t ash_exchange_quarantined_ms (struct ash_exchange *exchange, struct ash_time now);

/* ---- exchange_end.c: its end ---- */

/** Counts the exchange among those that wait for room, or no longer. */
void ash_exchange_set_waiting (struct ash_exchange *exchange, bool waiting);

/** Gives the endpoint's place back, if it has one. */
void ash_exchange_release_slot (struct ash_exchange *exchange);

/** A caller's id as a log may hold it: nothing that could pass for further fields. */
const char *ash_request_log_id (const struct ash_request_fields *facts);

/** The same of an exchange's request. */
const char *ash_exchange_id (const struct ash_exchange *exchange);

/** @return the time since the request came, in ms. */
int64_t ash_exchange_age_ms (const struct ash_exchange *exchange);

/**
 * Ends the exchange with the router's own answer, or breaks off one that has begun.
 * @param retry_after_ms 0: the answer says nothing of a further try.
 */
void ash_exchange_end_with_status (struct ash_exchange *exchange,
                                   uint16_t status,
                                   enum ash_forward_reason reason,
                                   uint32_t retry_after_ms);

/** Ends the exchange with the endpoint's own answer, as it made it. */
void ash_exchange_end_with_answer (struct ash_exchange *exchange);

/** Ends the exchange after its stream's last event. */
void ash_exchange_end_stream (struct ash_exchange *exchange);

/** Ends the exchange of a caller that is gone. */
void ash_exchange_end_disconnected (struct ash_exchange *exchange);

/* ---- exchange_answer.c: the endpoint's answer ---- */

/** Forgets what an answer has shown. */
void ash_exchange_answer_clear (struct ash_exchange_answer *answer);

/** Sends the caller the head of the answer; its body follows as it comes. */
void ash_exchange_answer_begin (struct ash_exchange *exchange);

/** The answer's head came. @return false if it is another request's. */
bool ash_exchange_answer_head (struct ash_http_call *call, const struct ash_http_head *head);

/** A part of the answer's body came: held, or passed on. */
void ash_exchange_answer_body (struct ash_http_call *call, const uint8_t *bytes, size_t length);

#endif
