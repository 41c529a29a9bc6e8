/**
 * @file
 * The published configuration document: the platform stores it, and every box uses it. It is read
 * from TOML or JSON and checked as a whole; every box rejects a document with findings, all with
 * the same result.
 */
#ifndef ASH_DOCUMENT_H
#define ASH_DOCUMENT_H

#include "common/id.h"
#include "options/option.h"

/** Largest value that the platform's configuration service stores. */
#define ASH_DOCUMENT_MAX_BYTES (1024 * 1024)

/*
 * Each struct for a row of the document (one table of an array of tables) begins with the row's
 * name and the line that it was read from, like struct ash_row; the common checks rely on it.
 */

/** Kind of a service's endpoints. */
enum ash_service_kind
{
  ASH_SERVICE_MODEL, /**< model engines, called by /v1/chat/completions */
  ASH_SERVICE_PLAIN, /**< any HTTP service, /v1/services/NAME/PATH */
};

/** A failure domain (zone). */
struct ash_hall
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
};

/** A box that runs the entry role. */
struct ash_entry_box
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
  char hall[ASH_NAME_BYTES];
  char http[ASH_NAME_BYTES];
  char peer[ASH_NAME_BYTES];
};

/** A service that callers can request. */
struct ash_service
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
  int kind;
  bool no_repeat;          /**< requests of the service run at most once */
  uint32_t homes_since_s;  /**< Unix time of the last change of its endpoints; 0: not given */
  uint32_t endpoint_first; /**< index of the service's first endpoint in ash_document.by_service */
  uint32_t endpoint_count;
};

/** A back end of one service; the agent on the same box forwards its requests. */
struct ash_endpoint
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
  char service[ASH_NAME_BYTES];
  char hall[ASH_NAME_BYTES];
  char peer[ASH_NAME_BYTES];
  uint32_t slots;
  char group[ASH_NAME_BYTES]; /**< group of engines that run in lock-step with this endpoint's
                                 engine; may be empty */
  uint32_t rank;              /**< rank of the endpoint in `group` */
  bool checks_orders; /**< the engine itself rejects orders for another incarnation or with an
                         outdated ballot */
};

/** A group of engines that run in lock-step with a common expert map. */
struct ash_group
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
  uint32_t experts;    /**< number of experts in a layer of the model */
  uint32_t rank_slots; /**< experts that a rank holds in a layer */
  uint32_t moves;      /**< maximum number of experts moved per interval, as the weight store has a
                          limited rate */
  uint32_t interval_ms;
  double skew_weight;
  double cost_weight;
  uint32_t rank_count; /**< number of endpoints that name this group */
};

/** A class of accounts: gives their requests a priority and is a label in the metrics. */
struct ash_class
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
  uint32_t priority; /**< priority of the requests; 0 is the highest */
};

/** An account (customer, tenant). */
struct ash_account
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
  uint8_t key_hash[ASH_KEY_HASH_BYTES];
  char class_name[ASH_NAME_BYTES];
  uint32_t class_index;
  uint32_t rate_per_s;
  uint32_t burst;
  uint32_t entries; /**< number of entries that share the account's requests */
};

/** A period of high demand that an operator has declared in advance. */
struct ash_declared_event
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
  uint32_t start_s; /**< Unix time at which the demand arrives */
  uint32_t length_s;
  uint32_t lead_s; /**< how long before its start the event already counts as started */
};

/** A rate that is reserved for an account during an event. Requests up to that rate don't count
 * against the account's limit and get the priority of the reservation. */
struct ash_reservation
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
  char event[ASH_NAME_BYTES];
  char account[ASH_NAME_BYTES];
  char service[ASH_NAME_BYTES];
  uint32_t rate_per_s;
  uint32_t priority;
};

/** Maximum number of experts in a layer of a group; the same as in controllers/expert_policy. */
#define ASH_PROFILE_EXPERTS_MAX 256
#define ASH_PROFILE_BYTES 2048

/** Expected loads of a group's experts during an event. */
struct ash_profile
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
  char event[ASH_NAME_BYTES];
  char group[ASH_NAME_BYTES];
  char loads[ASH_PROFILE_BYTES]; /**< load of each expert: integers, separated by commas */
};

/** Parses a profile's loads. @return the number of loads; 0 if the text is invalid. */
uint32_t ash_profile_loads (const struct ash_profile *profile,
                            double loads[ASH_PROFILE_EXPERTS_MAX]);

/** A published document. It owns its arrays. */
struct ash_document
{
  uint64_t revision;
  uint64_t digest; /**< XXH3 hash of the document's text */
  struct ash_hall *halls;
  uint32_t hall_count;
  struct ash_entry_box *entries;
  uint32_t entry_count;
  struct ash_service *services;
  uint32_t service_count;
  struct ash_endpoint *endpoints;
  uint32_t endpoint_count;
  struct ash_group *groups;
  uint32_t group_count;
  uint32_t *by_service; /**< indices of endpoints, grouped by service */
  struct ash_class *classes;
  uint32_t class_count;
  struct ash_account *accounts;
  uint32_t account_count;
  uint32_t
      *account_slots; /**< hash table, open addressing: key_hash to account index + 1, 0: empty */
  uint32_t account_slot_count;
  struct ash_declared_event *events;
  uint32_t event_count;
  struct ash_reservation *reservations;
  uint32_t reservation_count;
  struct ash_profile *profiles;
  uint32_t profile_count;
};

/** Reads and checks a document. It is valid only if no finding was added; in any case it must be
 * freed with ash_document_finish(). */
void ash_document_init (struct ash_document *document,
                        uint64_t revision,
                        const char *text,
                        size_t text_bytes,
                        struct ash_findings *findings);

void ash_document_finish (struct ash_document *document);

/** @return endpoint @p i of the service; @p i is below its endpoint_count. */
const struct ash_endpoint *ash_document_service_endpoint (const struct ash_document *document,
                                                          const struct ash_service *service,
                                                          uint32_t i);

/** @return the row with that name, owned by the document, or NULL. */
const struct ash_service *ash_document_service (const struct ash_document *document,
                                                const char *name);
const struct ash_endpoint *ash_document_endpoint (const struct ash_document *document,
                                                  const char *name);
const struct ash_group *ash_document_group (const struct ash_document *document, const char *name);
const struct ash_entry_box *ash_document_entry (const struct ash_document *document,
                                                const char *name);
const struct ash_account *ash_document_account (const struct ash_document *document,
                                                const char *name);

const struct ash_declared_event *ash_document_event (const struct ash_document *document,
                                                     const char *name);

/** @return the account whose bearer key has this hash, or NULL. */
const struct ash_account *ash_document_account_by_key (const struct ash_document *document,
                                                       const uint8_t key_hash[ASH_KEY_HASH_BYTES]);

/**
 * Finds the home of a request id by rendezvous hashing over the endpoints that the document
 * declares for the service. Whether an endpoint is reachable is ignored, because entries can
 * disagree on it.
 * @return NULL if the service has no endpoint.
 */
const struct ash_endpoint *
ash_document_home (const struct ash_document *document, const char *service, struct ash_id id);

/**
 * Finds out whether an entry is one of the entries that share an account's requests; they are
 * chosen by rendezvous hashing over the published entries.
 * @return the entry's rank among them, from 0, or -1 if it is not one of them.
 */
int32_t ash_document_entry_rank (const struct ash_document *document,
                                 const struct ash_account *account,
                                 const char *entry);

#endif
