/**
 * @file
 * The numbered events of the log: number, level, name, and what it means.
 * docs/EVENTS.md lists the same; a test holds the two together. Numbers are
 * never used again for something else.
 */
#ifndef ASH_EVENTS_H
#define ASH_EVENTS_H

/* clang-format off */
#define ASH_EVENT_LIST(X) \
  X (100, INFO, STARTED,            "the process has started") \
  X (101, INFO, READY,              "it has a configuration and serves") \
  X (102, INFO, STOPPING,           "a planned stop has begun") \
  X (103, INFO, STOPPED,            "the process ends") \
  X (104, WARN, CUT_SHORT,          "a second signal cut the planned stop short") \
  X (105, WARN, WOKE,               "the process had been paused") \
  X (106, ERROR, BAD_SETTINGS,      "the settings have findings") \
  X (107, ERROR, CANNOT_LISTEN,     "an address can't be listened on") \
  X (108, WARN, DRAINED,            "an operator drained this box: it takes no new work in this life") \
  X (109, INFO, RELOADED,           "the settings file was read anew") \
  X (110, INFO, LOG_LEFT_OUT,       "lines were left out: over the log's budget, or nobody read them") \
  X (200, INFO, CONFIG_ACCEPTED,    "a configuration is in force") \
  X (201, WARN, CONFIG_REFUSED,     "a published document has findings; the last accepted one stays") \
  X (202, WARN, CONFIG_OLDER,       "an older revision than the one in force was offered and ignored") \
  X (203, WARN, PLATFORM_DOWN,      "the platform does not answer, or its answer is doubted") \
  X (204, INFO, PLATFORM_UP,        "the platform answers again") \
  X (205, DEBUG, CONFIG_SENT,       "a peer with an older configuration is sent this one, whole or by deltas") \
  X (206, INFO, ENDPOINT_LISTED,    "an endpoint is new in the list, or back in it") \
  X (207, INFO, ENDPOINT_LEAVING,   "an endpoint gets no new work: it says that it is leaving") \
  X (208, INFO, ENDPOINT_MISSING,   "an endpoint is no longer listed") \
  X (209, WARN, ENDPOINT_PASSED,    "an endpoint is passed over for a while, by what it did with requests") \
  X (210, WARN, BEHIND_PEERS,       "peers have something newer from the store, and it does not come here") \
  X (211, INFO, STORE_READER,       "this router asks the store itself from now on, or follows others of its hall") \
  X (212, WARN, ENTRY_UNUSABLE,     "an entry of the list names no endpoint that can be used, and why") \
  X (213, INFO, ENDPOINT_REBORN,    "an endpoint has started anew under its id") \
  X (214, WARN, STORE_ERA,          "the store has come back from an older copy: all is read anew") \
  X (215, INFO, ENDPOINT_LIMITED,   "an endpoint names how many requests a second it takes, or no longer does") \
  X (216, INFO, ENDPOINT_RESTS,     "an endpoint turned a request away and wants none from this router for a while") \
  X (300, INFO, LINK_UP,            "a peer link is up") \
  X (301, INFO, LINK_DOWN,          "a peer link is down") \
  X (302, WARN, PEER_REFUSED,       "a peer could not prove the fleet key, or broke the protocol") \
  X (303, INFO, BOX_LEAVING,        "a box is leaving; it gets no new work") \
  X (304, INFO, NEW_INCARNATION,    "an endpoint's agent has a new life") \
  X (305, WARN, ALONE,              "this box sees less than half of the others: it is likely cut off itself") \
  X (306, INFO, NOT_ALONE,          "it sees most of them again") \
  X (400, DEBUG, REQUEST_SENT,      "an attempt of a request was sent to an endpoint") \
  X (401, INFO, REQUEST_ENDED,      "a request got its final answer") \
  X (402, INFO, REQUEST_RETRIED,    "a request goes to another endpoint") \
  X (403, DEBUG, REQUEST_RESUMED,   "an answer is asked for again after a cut") \
  X (404, INFO, FORWARD_SENT,       "a request was sent straight to an endpoint") \
  X (405, INFO, FORWARD_SERVED,     "a request got an endpoint's whole answer") \
  X (406, INFO, FORWARD_REFUSED,    "a request was refused: it did not run and will not") \
  X (407, WARN, FORWARD_FAILED,     "a request ended without a whole answer") \
  X (408, INFO, FORWARD_RESENT,     "a request goes to a further endpoint, and why") \
  X (409, INFO, FORWARD_GONE,       "the caller left while its request was under way") \
  X (410, INFO, FORWARD_DENIED,     "a request was denied: no such route, or no such key") \
  X (411, WARN, FORWARD_CUT,        "the connection to an endpoint ended under a request, and what is known of both") \
  X (412, WARN, ENDPOINT_ENDED,     "an endpoint's process ended under requests of this router") \
  X (413, WARN, QUARANTINED,        "endpoints ended under a request: it is kept away from others") \
  X (414, INFO, QUARANTINE_CLEARED, "a suspected request got its whole answer: it is not the cause") \
  X (415, INFO, PROMPTS_KEPT,       "passes have just become long: new prompts wait, or no longer") \
  X (500, DEBUG, RUN_STARTED,       "an endpoint started a request") \
  X (501, DEBUG, RUN_ENDED,         "an endpoint's engine ended a request") \
  X (502, INFO, RUN_REFUSED,        "an endpoint refused a request") \
  X (503, INFO, RUN_CANCELLED,      "a request was cancelled at the engine") \
  X (504, WARN, LEDGER_FULL,        "the ledger has no room; new work is refused") \
  X (505, WARN, STALLED,            "an endpoint's engine stands still; what waits for it goes elsewhere") \
  X (506, INFO, GOES_ON,            "it goes on") \
  X (600, INFO, MAP_CHANGE,         "a change of a group's expert map begins, and why") \
  X (601, INFO, MAP_CHANGED,        "it is through, or the group is in order again") \
  X (602, INFO, MAP_GIVEN_UP,       "it is given up: a higher ballot, or a rank does not answer") \
  X (603, INFO, FORECAST,           "a declared event is near: moves are made for its expert loads") \
  X (604, INFO, MAP_LEADER,         "this router leads the changes of maps, or no longer does") \
  X (605, INFO, MAP_EPOCH,          "a group has formed anew: it is back at its first map") \
  X (606, INFO, MAP_ORDER_REFUSED,  "a rank refused an order")  \
  X (607, INFO, RANK_PACE,          "a rank has turned slow, or is as usual again") \
  X (608, WARN, GROUP_BEYOND_BOUNDS, "a group is larger than what is kept of groups: its map stays")
/* clang-format on */

#define ASH_EVENT_ENUM(number, level, name, text) ASH_EV_##name = (number),
enum ash_event
{
  ASH_EVENT_LIST (ASH_EVENT_ENUM)
};
#undef ASH_EVENT_ENUM

#endif
