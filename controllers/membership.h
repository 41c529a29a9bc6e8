/**
 * @file
 * State of the other boxes as known to this process: whether the link is up, to which incarnation,
 * and whether the box is leaving. A box counts as leaving if it reports so itself, or a peer or the
 * platform's list, which lags, does.
 */
#ifndef ASH_MEMBERSHIP_H
#define ASH_MEMBERSHIP_H

#include "common/clock.h"
#include "options/document.h"
#include "options/settings.h"
#include "proto/ash.pb-c.h"

#include <uthash.h>

/** A box as known to this process. */
struct ash_box
{
  char name[ASH_NAME_BYTES];
  int role;                     /**< enum Ash__Role */
  bool linked;                  /**< the link to the box is up */
  uint64_t incarnation;         /**< last known incarnation; 0: none yet */
  struct ash_time learned;      /**< when this incarnation was learned */
  struct ash_time heartbeat_at; /**< when the last heartbeat was received, or the link came up */
  struct ash_time
      ejected_until; /**< the box had stalled: others are preferred until then; 0: not ejected */
  bool suspect;      /**< silent for too long: other boxes are preferred */
  uint64_t
      leaving_incarnation; /**< incarnation of the box's process that is shutting down; 0: none */
  bool listed_leaving; /**< leaving by the platform's list, which does not show the incarnation */
  uint64_t listed_incarnation; /**< incarnation that was known when listed_leaving was set */
  uint64_t revision;           /**< revision of the box's active configuration */
  uint64_t offered;            /**< last configuration revision that this process sent to the box */
  uint32_t reported;   /**< requests in flight and queued at the box, from its last heartbeat */
  bool reads_platform; /**< an entry whose last read of the platform succeeded */
  uint32_t step_us;    /**< mean duration of a run at the box, from its last heartbeat */
  uint32_t in_flight;  /**< requests of this process at that box */
  UT_hash_handle hh;
};

/** All boxes known to this process. */
struct ash_membership
{
  struct ash_box *boxes;
  bool isolated;                       /**< last result of ash_membership_isolated() */
  struct ash_time isolated_recheck_at; /**< when isolated is to be computed again */
};

void ash_membership_init (struct ash_membership *membership);
void ash_membership_finish (struct ash_membership *membership);

/** @return the box, or NULL if it is not known. */
struct ash_box *ash_membership_find (const struct ash_membership *membership, const char *name);

/** Handles a new link to a box. @param revision the box's configuration. @return whether its
 * incarnation is new to this process. */
bool ash_membership_link_up (struct ash_membership *membership,
                             struct ash_time now,
                             const char *name,
                             int role,
                             uint64_t incarnation,
                             uint64_t revision);

/** Handles the loss of a link. All other state of the box stays. */
void ash_membership_link_down (struct ash_membership *membership, const char *name);

/**
 * Handles a heartbeat, including its report of other boxes that are leaving.
 * @return the number of boxes that have become known to be leaving.
 */
uint32_t ash_membership_heartbeat (struct ash_membership *membership,
                                   const char *name,
                                   const struct Ash__Heartbeat *heartbeat);

/** Sets whether the platform's list shows a box as leaving. @return whether that changed. */
bool ash_membership_set_listed_leaving (struct ash_membership *membership,
                                        const char *name,
                                        bool leaving);

/**
 * @return whether this box has links to so few of the declared boxes that it is more likely that
 * this box is isolated than that all the other boxes are down.
 */
bool ash_membership_isolated (const struct ash_membership *membership,
                              const struct ash_document *document,
                              const char *self);

/** @return whether a connected box has a newer configuration than @p revision. */
bool ash_membership_has_newer_config (const struct ash_membership *membership, uint64_t revision);

/** @return whether the current incarnation of the box is leaving. */
bool ash_box_leaving (const struct ash_box *box);

/** @return whether the box may get new requests: connected and not leaving. */
bool ash_box_usable (const struct ash_box *box);

/** @return whether the box is usable, not suspect and not ejected. */
bool ash_box_preferred (const struct ash_box *box);

/**
 * Runs the timers: which boxes are suspect or no longer ejected, and whether this box is isolated.
 */
void ash_membership_tick (struct ash_membership *membership,
                          struct ash_time now,
                          const struct ash_document *document,
                          const struct ash_settings *settings);

#endif
