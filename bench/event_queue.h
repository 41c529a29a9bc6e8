/**
 * @file
 * Event queue of the policy simulation: a priority queue ordered by time. Events with
 * the same time are returned in the order in which they were pushed.
 */
#ifndef ASH_BENCH_EVENT_QUEUE_H
#define ASH_BENCH_EVENT_QUEUE_H

#include "proto/event.h"

#include <stddef.h>
#include <stdint.h>

/** Kind of a simulated event. */
enum sim_event_kind
{
  KIND_CALL,
  KIND_FRAME,
  KIND_STEP,
  KIND_TICK,
  KIND_HEARTBEAT,
  KIND_FAULT,
  KIND_FAULT_END,
  KIND_LINK_TIMEOUT,
};

/** An event that happens at a given simulated time. */
struct sim_event
{
  int64_t at_us;
  uint64_t sequence; /**< set by event_queue_push(); breaks ties of at_us */
  enum sim_event_kind kind;
  uint32_t box;
  uint32_t index;           /**< KIND_CALL: index of the call; KIND_FRAME: sending box */
  struct Ash__Event *event; /**< KIND_FRAME: the message; otherwise NULL */
};

/** A binary min-heap. All zero: an empty queue. */
struct event_queue
{
  struct sim_event *events;
  size_t count;
  size_t capacity;
  uint64_t sequence;
};

void event_queue_push (struct event_queue *queue, struct sim_event sim_event);

/** Removes and returns the earliest event. The queue must not be empty. */
struct sim_event event_queue_pop (struct event_queue *queue);

/** Frees the queue, but not the messages that its events point to. */
void event_queue_finish (struct event_queue *queue);

#endif
