/**
 * @file
 * Whether peers have from the store what this router lacks.
 */
#ifndef ASH_CATCH_UP_H
#define ASH_CATCH_UP_H

#include "controllers/peer_news.h"

struct ash_router;

/** What peers have told of the store's contents. */
struct ash_catch_up
{
  struct ash_router *router;
  struct ash_peer_news config;
  struct ash_time logged; /**< when being behind was last logged */
};

void ash_catch_up_open (struct ash_catch_up *catch_up, struct ash_router *router);

/** A peer tells which version of the configuration it has in force. */
void ash_catch_up_told (struct ash_catch_up *catch_up, struct ash_time now, uint64_t version);

/** Time goes on: being behind for long is logged. */
void ash_catch_up_tick (struct ash_catch_up *catch_up, struct ash_time now);

#endif
