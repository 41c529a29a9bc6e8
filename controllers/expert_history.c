#include "controllers/expert_history.h"

#include <stddef.h>

const struct ash_expert_note *
ash_expert_history_last (const struct ash_expert_history *history, uint32_t i)
{
  if (i >= history->count)
    return NULL;
  return &history->notes[(history->next + ASH_EXPERT_HISTORY_MAX - 1 - i) % ASH_EXPERT_HISTORY_MAX];
}

void
ash_expert_history_add (struct ash_expert_history *history, const struct ash_expert_note *note)
{
  const struct ash_expert_note *last = ash_expert_history_last (history, 0);
  uint32_t times = 1;

  if (last && last->kind == ASH_EXPERT_NOTE_KEPT && note->kind == ASH_EXPERT_NOTE_KEPT)
    {
      times += last->times;
      history->count--;
      history->next = (history->next + ASH_EXPERT_HISTORY_MAX - 1) % ASH_EXPERT_HISTORY_MAX;
    }
  history->notes[history->next] = *note;
  history->notes[history->next].times = times;
  history->next = (history->next + 1) % ASH_EXPERT_HISTORY_MAX;
  if (history->count < ASH_EXPERT_HISTORY_MAX)
    history->count++;
}

const char *
ash_expert_note_name (enum ash_expert_note_kind kind)
{
  static const char *const names[] = {
    [ASH_EXPERT_NOTE_KEPT] = "kept",         [ASH_EXPERT_NOTE_MOVES] = "moves",
    [ASH_EXPERT_NOTE_TAKEOVER] = "takeover", [ASH_EXPERT_NOTE_DONE] = "done",
    [ASH_EXPERT_NOTE_GIVEN_UP] = "given_up",
  };

  return names[kind];
}
