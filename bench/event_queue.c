#include "bench/event_queue.h"

#include <stdlib.h>

#define INITIAL_CAPACITY 4096

static bool
is_before (const struct sim_event *a, const struct sim_event *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->sequence < b->sequence;
}

void
event_queue_push (struct event_queue *queue, struct sim_event sim_event)
{
  size_t at;

  sim_event.sequence = queue->sequence++;
  if (queue->count == queue->capacity)
    {
      queue->capacity = queue->capacity ? 2 * queue->capacity : INITIAL_CAPACITY;
      queue->events = realloc (queue->events, queue->capacity * sizeof *queue->events);
      if (!queue->events)
        abort ();
    }
  for (at = queue->count++; at > 0 && is_before (&sim_event, &queue->events[(at - 1) / 2]);
       at = (at - 1) / 2)
    queue->events[at] = queue->events[(at - 1) / 2];
  queue->events[at] = sim_event;
}

struct sim_event
event_queue_pop (struct event_queue *queue)
{
  struct sim_event first = queue->events[0];
  struct sim_event last = queue->events[--queue->count];
  size_t at = 0;

  for (;;)
    {
      size_t child = 2 * at + 1;

      if (child >= queue->count)
        break;
      if (child + 1 < queue->count && is_before (&queue->events[child + 1], &queue->events[child]))
        child++;
      if (!is_before (&queue->events[child], &last))
        break;
      queue->events[at] = queue->events[child];
      at = child;
    }
  queue->events[at] = last;
  return first;
}

void
event_queue_finish (struct event_queue *queue)
{
  free (queue->events);
  *queue = (struct event_queue){ 0 };
}
