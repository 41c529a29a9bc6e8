#include "controllers/peer_news.h"

/* What came in the meantime shows that the own source speaks: the wait begins anew. */
static void
note_own (struct ash_peer_news *news, struct ash_time now, uint64_t own)
{
  if (news->own == own && news->newest > own)
    return;
  news->own = own;
  news->since = now;
}

void
ash_peer_news_told (struct ash_peer_news *news, struct ash_time now, uint64_t told, uint64_t own)
{
  note_own (news, now, own);
  if (told > news->newest && told > news->same)
    news->newest = told;
}

void
ash_peer_news_same (struct ash_peer_news *news, struct ash_time now, uint64_t told, uint64_t own)
{
  if (told > news->same)
    news->same = told;
  if (news->newest <= news->same)
    news->newest = own;
  note_own (news, now, own);
}

bool
ash_peer_news_behind (struct ash_peer_news *news, struct ash_time now, uint64_t own, int64_t for_ms)
{
  note_own (news, now, own);
  return news->newest > own && ash_time_diff (news->since, now) >= for_ms;
}
