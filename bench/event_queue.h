/**
 * @file
 * What happens next in the policy bench: items by time, those of one time in the
 * order in which they were put.
 */
#ifndef ASH_BENCH_EVENT_QUEUE_H
#define ASH_BENCH_EVENT_QUEUE_H

#include "proto/event.h"

#include <stddef.h>
#include <stdint.h>

/** What an item is about. */
enum item_kind
{
  KIND_CALL,
  KIND_FRAME,
  KIND_STEP,
  KIND_TICK,
  KIND_BEAT,
  KIND_FAULT,
  KIND_HEAL,
  KIND_SILENCE,
};

/** Something that happens at a time. */
struct item
{
  int64_t at_us;
  uint64_t order;
  enum item_kind kind;
  uint32_t box;
  uint32_t index;
  struct Ash__Event *event;
};

/** The queue, a heap. Zeroed is empty. */
struct event_queue
{
  struct item *items;
  size_t count;
  size_t room;
  uint64_t order;
};

void event_queue_push (struct event_queue *queue, struct item item);

/** Takes the first out; there must be one. */
struct item event_queue_pop (struct event_queue *queue);

/** Frees the queue, not what its items point to. */
void event_queue_finish (struct event_queue *queue);

#endif
