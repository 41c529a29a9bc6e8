#include "controllers/peer_period.h"

/* Limit of heartbeats per second to all routers of other halls together; reached with 30 of them at
 * the default period of 300 ms. Each heartbeat takes about 200 bytes on a link between halls. */
#define REMOTE_HEARTBEATS_PER_S 100

/* Limit of load messages per second to all routers of other halls together. These routers use
 * endpoints of this hall only if the load in their own hall is higher by two requests per rank, so
 * older loads suffice. */
#define REMOTE_LOADS_PER_S 400

#define MS_PER_S 1000

static uint32_t
limited_period_ms (uint32_t period_ms, uint32_t count, uint32_t messages_per_s)
{
  uint32_t needed_ms = count * MS_PER_S / messages_per_s;

  return needed_ms > period_ms ? needed_ms : period_ms;
}

uint32_t
ash_peer_period_remote_heartbeat_ms (uint32_t heartbeat_ms, uint32_t remote_count)
{
  return limited_period_ms (heartbeat_ms, remote_count, REMOTE_HEARTBEATS_PER_S);
}

uint32_t
ash_peer_period_remote_load_ms (uint32_t load_period_ms, uint32_t remote_count)
{
  return limited_period_ms (load_period_ms, remote_count, REMOTE_LOADS_PER_S);
}

uint32_t
ash_peer_period_remote_parts (uint32_t load_period_ms, uint32_t remote_count)
{
  return load_period_ms
             ? ash_peer_period_remote_load_ms (load_period_ms, remote_count) / load_period_ms
             : 1;
}

uint32_t
ash_peer_period_silence_ms (uint32_t link_silence_ms, uint32_t heartbeat_ms, uint32_t period_ms)
{
  if (period_ms <= heartbeat_ms || !heartbeat_ms)
    return link_silence_ms;
  return (uint32_t) ((uint64_t) link_silence_ms * period_ms / heartbeat_ms);
}
