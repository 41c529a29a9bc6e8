#include "daemon/catch_up.h"

#include "daemon/router.h"

#include <inttypes.h>

/* The store brings a change to all routers within some 30 ms, and heartbeats tell of it at most
 * one period (300 ms) later. Whoever lacks it so long after has a source that is silent. */
#define BEHIND_MS 300

/* Being behind is logged at most this often. */
#define LOG_PERIOD_MS 1000

void
ash_catch_up_open (struct ash_catch_up *catch_up, struct ash_router *router)
{
  *catch_up = (struct ash_catch_up){ .router = router };
}

void
ash_catch_up_told (struct ash_catch_up *catch_up, struct ash_time now, uint64_t version)
{
  ash_peer_news_told (&catch_up->config, now, version, ash_router_version (catch_up->router));
}

void
ash_catch_up_tick (struct ash_catch_up *catch_up, struct ash_time now)
{
  struct ash_router *router = catch_up->router;
  uint64_t version = ash_router_version (router);
  int64_t behind_ms = ash_peer_news_behind_ms (&catch_up->config, now, version);

  if (behind_ms < BEHIND_MS || ash_time_diff (catch_up->logged, now) < LOG_PERIOD_MS)
    return;
  catch_up->logged = now;
  ash_log_event (&router->log, ASH_EV_BEHIND_PEERS,
                 "part=%d version=%" PRIu64 " newest=%" PRIu64
                 " for_ms=%lld store_answers=%d age_ms=%lld",
                 (int) ASH_STORE_CONFIG, version, catch_up->config.newest, (long long) behind_ms,
                 ash_store_answers (&router->store, ASH_STORE_CONFIG),
                 (long long) ash_time_diff (router->store.readers[ASH_STORE_CONFIG].answered, now));
}
