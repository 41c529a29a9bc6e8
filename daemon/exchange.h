/**
 * @file
 * A caller's HTTP request in the router process (ashspindle-router), from the time it has been read
 * completely until its answer has been sent. The files that handle it run in the router's event
 * loop:
 * - requests.c creates an exchange
 * - exchange.c decides what it does next: send, resend, wait or end
 * - exchange_watch.c monitors the endpoint that it was sent to
 * - exchange_cut.c handles lost connections to endpoints
 * - exchange_answer.c receives the endpoint's answer
 * - exchange_end.c ends the exchange
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
#define ASH_STATUS_MISDIRECTED 421 /* another endpoint now has that address */
#define ASH_STATUS_SERVER_ERROR 500

/** State of the answer that is being received from an endpoint. */
struct ash_exchange_answer
{
  uint16_t status;      /**< 0: nothing has arrived yet */
  uint32_t events;      /**< complete events that have arrived */
  bool not_run;         /**< the endpoint guarantees that it did not run the request */
  bool framed;          /**< a length or chunks delimit it, not the end of the connection */
  bool is_event_stream; /**< the answer is a stream of events, which another endpoint can resume */
  uint64_t length;      /**< Content-Length of an answer to HEAD, which has no body */
  bool passthrough; /**< the answer is too large to buffer: its body is passed on as it arrives */
  struct ash_buffer fields;
  struct ash_buffer body;
};

/** A caller's request in progress. */
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
  bool has_priorities; /**< requests for the service differ in priority */
  struct ash_direct_endpoint
      *endpoint;                 /**< the endpoint at which the request is in flight; NULL: none */
  struct ash_time sent_at;       /**< when the request was last sent to an endpoint */
  struct ash_time last_received; /**< when data last came from the endpoint; initially sent_at */
  struct ash_time sought_at; /**< when another endpoint was last sought for a silent stream; before
                                last_received: not in the endpoint's present silence */
  struct ash_time
      idle_valid_since; /**< only idle connections that have received data since then are reused */
  struct ash_exchange_answer answer;
  struct ash_event_stream event_stream;
  bool has_event;
  int64_t last_event;            /**< id of the last event that was sent to the caller */
  struct ash_time event_sent_at; /**< when the last event was sent to the caller */
  int64_t first_event_ms;        /**< time from the request to its first event; 0: none yet */
  int64_t longest_pause_ms;      /**< longest time between two events */
  bool paused; /**< the answer is not read from the endpoint, because the caller reads too slowly */
  struct ash_time caller_read_at; /**< when the caller was last seen to read, or the pause began */
  size_t unread_bytes;            /**< bytes that its kernel had not acknowledged then */
  bool waiting;
  uint64_t awaited_probe; /**< hash of the endpoint whose probe must end before the request is
                             resent; 0: none */
  bool has_digest;
  struct ash_id digest; /**< identifies the request by its contents; computed on first use */
  ev_timer timer;
  struct ash_exchange *prev;
  struct ash_exchange *next;
};

/* ---- exchange.c: state machine ---- */

/**
 * Creates an exchange for the request that a connection has read. The caller must set its account,
 * facts and forward before the first ash_exchange_step().
 * @return the exchange, which frees itself when it ends; NULL: out of memory.
 */
struct ash_exchange *ash_exchange_new (struct ash_router *router,
                                       struct ash_http_conn *conn,
                                       const struct ash_route *route);

/**
 * Performs the next action: sends the request, waits, or ends the exchange. May free the exchange.
 */
void ash_exchange_step (struct ash_exchange *exchange);

/** Starts the timer for the next check of the exchange anew. */
void ash_exchange_update_timer (struct ash_exchange *exchange);

/* ---- exchange_watch.c: monitoring the endpoint ---- */

/** Records evidence about the endpoint's health, and logs if the endpoint is ejected for it. */
void ash_exchange_record_evidence (struct ash_exchange *exchange, enum ash_direct_result evidence);

/**
 * @param until upper bound of the result.
 * @return when to check the exchange if nothing arrives: at its deadline, when the endpoint has
 * been silent for too long, or at @p until.
 */
struct ash_time ash_exchange_next_check (const struct ash_exchange *exchange,
                                         struct ash_time now,
                                         struct ash_time until);

/** @return whether another endpoint has been sought in the endpoint's present silence. */
bool ash_exchange_was_sought (const struct ash_exchange *exchange);

/**
 * Closes idle connections to all endpoints if the endpoint's kernel has not acknowledged the
 * request.
 * @return whether the endpoint has been silent for so long that the request should be sent to
 * another one.
 */
bool ash_exchange_check_silence (struct ash_exchange *exchange, struct ash_time now);

/** After a long silence of the endpoint: closes idle connections to it, which may be broken too. */
void ash_exchange_close_idle_connections (struct ash_exchange *exchange, struct ash_time now);

/**
 * @return whether the answer is paused, and the caller has read nothing of it for so long that it
 * is cut off.
 */
bool ash_exchange_check_unread (struct ash_exchange *exchange, struct ash_time now);

/** Records evidence about an endpoint that has not answered before the request's deadline. */
void ash_exchange_record_timeout (struct ash_exchange *exchange, struct ash_time now);

/* ---- exchange_cut.c: lost connections to endpoints ---- */

/**
 * @return an id of the request's contents, the same each time a caller submits it: see
 * ash_id_from_request().
 */
struct ash_id ash_exchange_digest (struct ash_exchange *exchange);

/**
 * Handles a connection to the endpoint that closed before the answer was complete: starts a probe
 * of the endpoint, and makes the request wait for the result if it is suspected already.
 */
void ash_exchange_record_disconnect (struct ash_exchange *exchange);

/**
 * Records that the request got a complete answer: it is no longer suspected of terminating
 * endpoints.
 */
void ash_exchange_record_success (struct ash_exchange *exchange);

/** Records that the request's answer has got through: its endpoint has survived the beginning. */
void ash_exchange_record_pass (struct ash_exchange *exchange);

/** Counts the parts of the prompt of a request that is being sent. */
void ash_exchange_note_sent_parts (struct ash_exchange *exchange);

/** @return whether endpoints have exited on a part of the prompt of a request that was sent, so
 * that it must not be sent to another one. */
bool ash_exchange_is_suspected (const struct ash_exchange *exchange);

/** @return how many ms the request, or a part of its prompt, stays quarantined; 0: it is not. */
int64_t ash_exchange_quarantined_ms (struct ash_exchange *exchange, struct ash_time now);

/* ---- exchange_end.c: ending an exchange ---- */

/**
 * Sets whether the exchange waits for a free slot, and updates the router's count of waiting
 * exchanges.
 */
void ash_exchange_set_waiting (struct ash_exchange *exchange, bool waiting);

/** Releases the request's slot at its endpoint, if it has one. */
void ash_exchange_release_slot (struct ash_exchange *exchange);

/** Cancels the call to the endpoint and releases its slot. If nothing was sent yet, the attempt
 * does not count. */
void ash_exchange_cancel_call (struct ash_exchange *exchange);

/**
 * @return the caller's request id for log lines; a placeholder if it contains characters that could
 * be read as further log fields.
 */
const char *ash_request_log_id (const struct ash_request_fields *facts);

/** @return the request id of an exchange for log lines: see ash_request_log_id(). */
const char *ash_exchange_id (const struct ash_exchange *exchange);

/** @return ms since the request was received. */
int64_t ash_exchange_age_ms (const struct ash_exchange *exchange);

/**
 * Ends the exchange with an answer made by the router, or closes the connection if part of an
 * answer has been sent. Frees the exchange.
 * @param retry_after_ms value of the answer's Retry-After field; 0: the answer gets no such field.
 */
void ash_exchange_end_with_status (struct ash_exchange *exchange,
                                   uint16_t status,
                                   enum ash_forward_reason reason,
                                   uint32_t retry_after_ms);

/** Ends the exchange with the endpoint's answer, unchanged. Frees the exchange. */
void ash_exchange_end_with_answer (struct ash_exchange *exchange);

/** Ends the exchange after the last event of its stream. Frees the exchange. */
void ash_exchange_end_stream (struct ash_exchange *exchange);

/** Cuts off an answer that the caller does not read. Frees the exchange. */
void ash_exchange_end_unread (struct ash_exchange *exchange);

/** Ends the exchange after its caller has disconnected. Frees the exchange. */
void ash_exchange_end_disconnected (struct ash_exchange *exchange);

/* ---- exchange_answer.c: the endpoint's answer ---- */

/** Frees the buffers of the answer and resets its state. */
void ash_exchange_answer_clear (struct ash_exchange *exchange);

/**
 * Sends the status and header of the endpoint's answer to the caller; the body follows as it
 * arrives.
 */
void ash_exchange_answer_begin (struct ash_exchange *exchange);

/** Handles the header of an answer. */
enum ash_call_choice ash_exchange_answer_head (struct ash_http_call *call,
                                               const struct ash_http_head *head);

/** Continues to read the answer after the caller has read all that was queued. */
void ash_exchange_answer_resume (struct ash_exchange *exchange);

/** Handles a part of an answer's body: buffers it or passes it on. @return false: the answer is
 * unusable. */
bool ash_exchange_answer_body (struct ash_http_call *call, const uint8_t *bytes, size_t length);

#endif
