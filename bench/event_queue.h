/**
 * @file
 * What happens next in the policy bench: events by time, those of one time in the
 * sequence in which they were put.
 */
#ifndef ASH_BENCH_EVENT_QUEUE_H
#define ASH_BENCH_EVENT_QUEUE_H

#include "proto/event.h"

#include <stddef.h>
#include <stdint.h>

/** What an sim_event is about. */
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

/** Something that happens at a time. */
struct sim_event
{
  int64_t at_us;
  uint64_t sequence;
  enum sim_event_kind kind;
  uint32_t box;
  uint32_t index;
  struct Ash__Event *event;
};

/** The queue, a heap. Zeroed is empty. */
struct event_queue
{
  struct sim_event *events;
  size_t count;
  size_t capacity;
  uint64_t sequence;
};

void event_queue_push (struct event_queue *queue, struct sim_event sim_event);

/** Takes the first out; there must be one. */
struct sim_event event_queue_pop (struct event_queue *queue);

/** Frees the queue, not what its events point to. */
void event_queue_finish (struct event_queue *queue);

#endif
