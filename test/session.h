/**
 * @file
 * A core under test, entry or agent, with a transcript of its session: every
 * message in and out with its time, as a golden file holds it.
 */
#ifndef ASH_TEST_SESSION_H
#define ASH_TEST_SESSION_H

#include "controllers/agent.h"
#include "controllers/expert_rank.h"
#include "filters/entry.h"

/** Which core a session drives. */
enum session_core
{
  SESSION_ENTRY,
  SESSION_AGENT,
  SESSION_RANK, /**< a rank's side of a change of an expert map */
};

/** A core and what it is driven with. */
struct session
{
  enum session_core core;
  struct ash_settings settings;
  struct ash_entry entry;
  struct ash_agent agent;
  struct ash_expert_rank rank;
  struct ash_time now;
  FILE *transcript; /**< may be NULL */
  void (*emitted) (void *data, struct session *session, const struct Ash__Event *event);
  void *data;
};

/** Starts a core. Its settings must be filled before; the seed is an agent's incarnation too. */
void session_init (struct session *session, uint64_t seed, struct ash_time now);

void session_finish (struct session *session);

/** Gives a message to the core. */
void session_deliver (struct session *session, struct ash_time now, const struct Ash__Event *event);

/** Offers a published document. */
enum ash_config_result session_offer_config (struct session *session,
                                             struct ash_time now,
                                             uint64_t revision,
                                             const char *text,
                                             size_t text_bytes);

/** Gives a message that is on the stack. */
void session_deliver_message (struct session *session,
                              struct ash_time now,
                              const char *peer,
                              Ash__Event__KindCase kind,
                              const void *message);

/** Fills settings with defaults and a fleet key. */
void session_settings (struct ash_settings *settings, const char *box, bool is_entry);

/** @return a new copy, freed by ash__event__free_unpacked(). */
struct Ash__Event *session_copy_event (const struct Ash__Event *event);

#endif
