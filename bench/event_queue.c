#include "bench/event_queue.h"

#include <stdlib.h>

#define FIRST_ROOM 4096

static bool
is_before (const struct item *a, const struct item *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

void
event_queue_push (struct event_queue *queue, struct item item)
{
  size_t at;

  item.order = queue->order++;
  if (queue->count == queue->room)
    {
      queue->room = queue->room ? 2 * queue->room : FIRST_ROOM;
      queue->items = realloc (queue->items, queue->room * sizeof *queue->items);
      if (!queue->items)
        abort ();
    }
  for (at = queue->count++; at > 0 && is_before (&item, &queue->items[(at - 1) / 2]);
       at = (at - 1) / 2)
    queue->items[at] = queue->items[(at - 1) / 2];
  queue->items[at] = item;
}

struct item
event_queue_pop (struct event_queue *queue)
{
  struct item first = queue->items[0];
  struct item last = queue->items[--queue->count];
  size_t at = 0;

  for (;;)
    {
      size_t child = 2 * at + 1;

      if (child >= queue->count)
        break;
      if (child + 1 < queue->count && is_before (&queue->items[child + 1], &queue->items[child]))
        child++;
      if (!is_before (&queue->items[child], &last))
        break;
      queue->items[at] = queue->items[child];
      at = child;
    }
  queue->items[at] = last;
  return first;
}

void
event_queue_finish (struct event_queue *queue)
{
  free (queue->items);
  *queue = (struct event_queue){ 0 };
}
