/**
 * @file
 * What this process knows of the other boxes: whether a link is up, to which
 * life, and whether the box is leaving. Evidence is a box's own word, a peer's
 * word, or the platform's lagging list; each counts on its own.
 */
#ifndef ASH_MEMBERSHIP_H
#define ASH_MEMBERSHIP_H

#include "common/clock.h"
#include "options/document.h"
#include "options/settings.h"
#include "proto/ash.pb-c.h"

#include <uthash.h>

/** A box as seen from here. */
struct ash_box
{
  char name[ASH_NAME_BYTES];
  int role;                      /**< enum Ash__Role */
  bool linked;                   /**< a link to it is up */
  uint64_t incarnation;          /**< the last known; 0: none yet */
  struct ash_time learned;       /**< when this incarnation was learned */
  struct ash_time heartbeat_at;  /**< the last heartbeat */
  struct ash_time ejected_until; /**< stood still: others are taken until then */
  bool suspect;                  /**< silent for too long; others are taken */
  uint64_t leaving_incarnation;  /**< the life that is leaving; 0: none */
  bool listed_leaving;           /**< by the platform's list, which names no life */
  uint64_t listed_incarnation;   /**< the life known when the list said so */
  uint64_t revision;             /**< configuration it has in force */
  uint64_t offered;              /**< the last revision that it was sent from here */
  uint32_t reported;             /**< in flight and queued, as it last said */
  bool reads_platform;           /**< an entry whose last read of the platform went well */
  uint32_t step_us;
  uint32_t in_flight; /**< of this process at that box */
  UT_hash_handle hh;
};

/** All boxes known here. */
struct ash_membership
{
  struct ash_box *boxes;
  bool isolated;                       /**< as ash_membership_isolated() had it last */
  struct ash_time isolated_recheck_at; /**< when that is to be looked at again */
};

void ash_membership_init (struct ash_membership *membership);
void ash_membership_finish (struct ash_membership *membership);

/** @return the box, or NULL if it was never heartbeat_at of. */
struct ash_box *ash_membership_find (const struct ash_membership *membership, const char *name);

/** A link to the box is up; it says which configuration it has. @return whether its incarnation is
 * new here. */
bool ash_membership_link_up (struct ash_membership *membership,
                             struct ash_time now,
                             const char *name,
                             int role,
                             uint64_t incarnation,
                             uint64_t revision);

/** The link is down. What was known otherwise stays. */
void ash_membership_link_down (struct ash_membership *membership, const char *name);

/**
 * Takes in a heartbeat, hearsay about leaving boxes included.
 * @return how many boxes are newly known to be leaving.
 */
uint32_t ash_membership_heartbeat (struct ash_membership *membership,
                                   const char *name,
                                   const struct Ash__Heartbeat *heartbeat);

/** The platform's list names a box as leaving, or no longer does. @return whether that is new. */
bool ash_membership_set_listed_leaving (struct ash_membership *membership,
                                        const char *name,
                                        bool leaving);

/**
 * Whether this box sees so few of the declared ones that it is more likely cut off
 * itself than all of them gone.
 */
bool ash_membership_isolated (const struct ash_membership *membership,
                              const struct ash_document *document,
                              const char *self);

/** @return whether a linked box is known to have a newer configuration. */
bool ash_membership_knows_newer (const struct ash_membership *membership, uint64_t revision);

/** @return whether the present life of the box is leaving. */
bool ash_box_leaving (const struct ash_box *box);

/** @return whether the box may be sent new work: linked and not leaving. */
bool ash_box_usable (const struct ash_box *box);

/** @return whether it is usable and there is no reason to take another. */
bool ash_box_preferred (const struct ash_box *box);

/** Time goes on: who is suspect, or stands still, and whether this box is isolated. */
void ash_membership_tick (struct ash_membership *membership,
                          struct ash_time now,
                          const struct ash_document *document,
                          const struct ash_settings *settings);

#endif
