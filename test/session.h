/**
 * @file
 * A core under test (entry, agent or rank) and a transcript of its session: each event in and out
 * with its time, in the format of a golden file.
 */
#ifndef ASH_TEST_SESSION_H
#define ASH_TEST_SESSION_H

#include "controllers/agent.h"
#include "controllers/expert_rank.h"
#include "filters/entry.h"

enum session_core
{
  SESSION_ENTRY,
  SESSION_AGENT,
  SESSION_RANK, /**< the fence of a rank during a change of an expert map */
};

/** A core under test, its settings and its transcript. */
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

/**
 * Starts the core. The settings must be filled in before. The seed also serves as an agent's
 * incarnation.
 */
void session_init (struct session *session, uint64_t seed, struct ash_time now);

void session_finish (struct session *session);

/** Delivers an event to the core. */
void session_deliver (struct session *session, struct ash_time now, const struct Ash__Event *event);

/** Offers a published document to the core's configuration. */
enum ash_config_result session_offer_config (struct session *session,
                                             struct ash_time now,
                                             uint64_t revision,
                                             const char *text,
                                             size_t text_bytes);

/** Wraps a message in an event and delivers it to the core. The message stays the caller's. */
void session_deliver_message (struct session *session,
                              struct ash_time now,
                              const char *peer,
                              Ash__Event__KindCase kind,
                              const void *message);

/** Fills in default settings and a fleet key. */
void session_settings (struct ash_settings *settings, const char *box, bool is_entry);

/** @return a new copy, which the caller frees with ash__event__free_unpacked(). */
struct Ash__Event *session_copy_event (const struct Ash__Event *event);

#endif
