/**
 * @file
 * The numbered log events: number, level, name and meaning. docs/EVENTS.md has the
 * same table, and a test compares the two. The number of a removed event is not reused.
 */
#ifndef ASH_EVENTS_H
#define ASH_EVENTS_H

/* clang-format off */
#define ASH_EVENT_LIST(X) \
  X (100, INFO, STARTED,            "the process has started") \
  X (101, INFO, READY,              "the process has a configuration and accepts requests") \
  X (102, INFO, STOPPING,           "a planned stop has begun") \
  X (103, INFO, STOPPED,            "the process exits") \
  X (104, WARN, CUT_SHORT,          "a SIGINT ended the planned stop early") \
  X (105, WARN, WOKE,               "the process resumed after it had been paused or its machine suspended") \
  X (106, ERROR, BAD_SETTINGS,      "the settings have errors") \
  X (107, ERROR, CANNOT_LISTEN,     "listening on an address failed") \
  X (108, WARN, DRAINED,            "an operator drained this box: it takes no new work until it restarts") \
  X (109, INFO, RELOADED,           "the settings file was reloaded") \
  X (110, INFO, LOG_LEFT_OUT,       "log lines were dropped: above the rate limit, or the reader of the log did not keep up") \
  X (111, INFO, STOP_AGAIN,        "a further SIGTERM in a planned stop, which goes on as it was") \
  X (200, INFO, CONFIG_ACCEPTED,    "a configuration was accepted and is active") \
  X (201, WARN, CONFIG_REFUSED,     "a published document has errors; the last accepted one stays active") \
  X (202, WARN, CONFIG_OLDER,       "a revision older than the active one was offered and ignored") \
  X (203, WARN, PLATFORM_DOWN,      "the platform does not answer, or its answer is invalid or implausible") \
  X (204, INFO, PLATFORM_UP,        "the platform answers again") \
  X (205, DEBUG, CONFIG_SENT,       "the configuration was sent to a peer that has an older one, whole or as deltas") \
  X (206, INFO, ENDPOINT_LISTED,    "an endpoint was added to the list, is listed again, or in another hall") \
  X (207, INFO, ENDPOINT_LEAVING,   "an endpoint announced that it is leaving and gets no new work") \
  X (208, INFO, ENDPOINT_MISSING,   "an endpoint is no longer listed") \
  X (209, WARN, ENDPOINT_PASSED,    "an endpoint is ejected: it gets no requests for a while because earlier ones failed") \
  X (210, WARN, BEHIND_PEERS,       "peers have a newer version from the store, and the store does not send it to this router") \
  X (211, INFO, STORE_READER,       "this router starts to read the store itself, or to follow other routers of its hall") \
  X (212, WARN, ENTRY_UNUSABLE,     "an entry of the endpoint list can't be used, and why") \
  X (213, INFO, ENDPOINT_REBORN,    "an endpoint has restarted under the same id") \
  X (214, WARN, STORE_ERA,          "the store was restored from an older copy: everything is read again") \
  X (215, INFO, ENDPOINT_LIMITED,   "an endpoint announced a limit of requests per second, or withdrew it") \
  X (216, INFO, ENDPOINT_RESTS,     "an endpoint rejected a request and asked this router to send none for a while") \
  X (217, INFO, HALL_EVACUATED,     "the operator ordered that the endpoints of a hall get no requests, or withdrew the order") \
  X (218, INFO, HALLS_EMPTY,        "the evacuated halls have no more requests of this router") \
  X (219, INFO, ENDPOINT_COLD,      "an endpoint is cold and accepts few requests per second, or no longer") \
  X (220, WARN, COLD_TIME_INVALID,  "an endpoint's cold time is no number, negative or too long") \
  X (221, WARN, ENDPOINT_OUT,       "an endpoint is left out because routers of two halls saw requests fail there, or it is back") \
  X (222, WARN, PAGE_SKIPPED,       "a page of a list of the store could not be had and is left out for now") \
  X (300, INFO, LINK_UP,            "a peer link is up") \
  X (301, INFO, LINK_DOWN,          "a peer link is down") \
  X (302, WARN, PEER_REFUSED,       "a peer could not prove the fleet key, or broke the protocol") \
  X (303, INFO, BOX_LEAVING,        "a box is leaving; it gets no new work") \
  X (304, INFO, NEW_INCARNATION,    "an endpoint's agent has a new incarnation") \
  X (305, WARN, ALONE,              "this box has links to less than half of the others: it is probably isolated itself") \
  X (306, INFO, NOT_ALONE,          "this box has links to most of the others again") \
  X (400, DEBUG, REQUEST_SENT,      "an attempt of a request was sent to an endpoint") \
  X (401, INFO, REQUEST_ENDED,      "a request got its final answer") \
  X (402, INFO, REQUEST_RETRIED,    "a request is retried at another endpoint") \
  X (403, DEBUG, REQUEST_RESUMED,   "the rest of an answer is requested again after a link was lost") \
  X (404, INFO, FORWARD_SENT,       "a request was sent directly to an endpoint") \
  X (405, INFO, FORWARD_SERVED,     "a request got an endpoint's complete answer") \
  X (406, INFO, FORWARD_REFUSED,    "a request was refused: it did not run and will not") \
  X (407, WARN, FORWARD_FAILED,     "a request ended without a complete answer") \
  X (408, INFO, FORWARD_RESENT,     "a request is sent again, to another endpoint, and why") \
  X (409, INFO, FORWARD_GONE,       "the caller disconnected while its request was in progress") \
  X (410, INFO, FORWARD_DENIED,     "a request was denied: no such route, or no such key") \
  X (411, WARN, FORWARD_CUT,        "the connection to an endpoint ended during a request; the fields describe both") \
  X (412, WARN, ENDPOINT_ENDED,     "an endpoint's process ended while it ran requests of this router") \
  X (413, WARN, QUARANTINED,        "a request is quarantined: endpoints ended while they ran it, so no other gets it for now") \
  X (414, INFO, QUARANTINE_CLEARED, "a suspected request got its complete answer: it is not the cause") \
  X (415, INFO, PROMPTS_KEPT,       "the engine's passes have become long: new prompts are held, or no longer held") \
  X (416, WARN, FORWARD_UNREAD,     "a caller reads nothing of its answer: the answer was cut off") \
  X (417, INFO, ENDPOINT_PROBED,    "after a connection ended under a request, its endpoint was probed; the result") \
  X (418, WARN, PART_QUARANTINED,   "a part of prompts is quarantined: endpoints exited as they began to answer prompts with it") \
  X (419, INFO, PART_CLEARED,       "a part of prompts is not suspected any more: an answer to a prompt with it got through") \
  X (420, INFO, PART_TRIED,         "the quarantine of a part of prompts is over: this request tries whether endpoints still exit") \
  X (421, WARN, PART_REPORT_REJECTED, "a peer's report about parts of prompts is impossible, and is ignored") \
  X (422, WARN, FORWARD_MALFORMED,  "an endpoint sent bytes that are no answer to the request; the connection was closed") \
  X (423, INFO, NO_SOCKET,          "a request can't be sent for lack of a socket: it waits or is refused") \
  X (500, DEBUG, RUN_STARTED,       "an endpoint started a request") \
  X (501, DEBUG, RUN_ENDED,         "an endpoint's engine ended a request") \
  X (502, INFO, RUN_REFUSED,        "an endpoint refused a request") \
  X (503, INFO, RUN_CANCELLED,      "a request was cancelled at the engine") \
  X (504, WARN, LEDGER_FULL,        "the ledger has no room; new work is refused") \
  X (505, WARN, STALLED,            "an endpoint's engine is stalled; requests queued for it go to other endpoints") \
  X (506, INFO, GOES_ON,            "a stalled engine makes progress again") \
  X (600, INFO, MAP_CHANGE,         "a change of a group's expert map begins, and why") \
  X (601, INFO, MAP_CHANGED,        "a change of a group's expert map is complete, also one that another process began") \
  X (602, INFO, MAP_GIVEN_UP,       "a change of a group's expert map was abandoned: a higher ballot, or a rank does not answer") \
  X (603, INFO, FORECAST,           "a declared event is near: experts are moved for its expected loads") \
  X (604, INFO, MAP_LEADER,         "this router has become the leader for map changes, or no longer is") \
  X (605, INFO, MAP_EPOCH,          "a group has formed again with a new epoch: it is back at its initial map") \
  X (606, INFO, MAP_ORDER_REFUSED,  "a rank refused an order")  \
  X (607, INFO, RANK_PACE,          "a rank has become slow, or has its usual speed again") \
  X (608, WARN, GROUP_BEYOND_BOUNDS, "a group is above the supported size: its map is not changed") \
  X (609, INFO, GROUP_STALLED,      "a group is stalled because a rank is missing: other endpoints are preferred; or it runs again")
/* clang-format on */

#define ASH_EVENT_ENUM(number, level, name, text) ASH_EV_##name = (number),
enum ash_event
{
  ASH_EVENT_LIST (ASH_EVENT_ENUM)
};
#undef ASH_EVENT_ENUM

#endif
