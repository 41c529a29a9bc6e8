/**
 * @file
 * The published configuration: what the platform holds and every box has in
 * force. Read from TOML or JSON, checked as a whole; a document with findings
 * is refused alike by every box.
 */
#ifndef ASH_DOCUMENT_H
#define ASH_DOCUMENT_H

#include "common/id.h"
#include "options/option.h"

/** A value of the platform's service holds at most this. */
#define ASH_DOCUMENT_MAX_BYTES (1024 * 1024)

/*
 * Every row of the document begins with its name and the line that it was read
 * from; the checks that are the same for all rows rely on it.
 */

/** What stands behind a service. */
enum ash_service_kind
{
  ASH_SERVICE_MODEL, /**< model engines, the completions calls */
  ASH_SERVICE_PLAIN, /**< any HTTP service, /v1/services/NAME/PATH */
};

/** A failure domain. */
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

/** A service that callers name. */
struct ash_service
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
  int kind;
  bool no_repeat;          /**< its calls run at most once */
  uint32_t homes_since_s;  /**< when its endpoints last changed, Unix time; 0: not stated */
  uint32_t endpoint_first; /**< its part of ash_document.by_service */
  uint32_t endpoint_count;
};

/** A server of one service, with the box's agent before it. */
struct ash_endpoint
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
  char service[ASH_NAME_BYTES];
  char hall[ASH_NAME_BYTES];
  char peer[ASH_NAME_BYTES];
  uint32_t slots;
  char group[ASH_NAME_BYTES]; /**< that it runs in lock-step with; may be empty */
  uint32_t rank;              /**< in that group */
  bool checks_orders;         /**< its engine checks who gives it an order */
};

/** Engines that run in lock-step on an expert map. */
struct ash_group
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
  uint32_t experts;    /**< of a layer */
  uint32_t rank_slots; /**< experts that a rank holds */
  uint32_t moves;      /**< experts moved an interval at most: the weight store's rate */
  uint32_t interval_ms;
  double skew_weight;
  double cost_weight;
  uint32_t rank_count; /**< counted from the endpoints */
};

/** A class of accounts: how urgent, and how counted in the metrics. */
struct ash_class
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
  uint32_t priority; /**< 0 is the highest */
};

/** A client account. */
struct ash_account
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
  uint8_t key_hash[ASH_KEY_HASH_BYTES];
  char class_name[ASH_NAME_BYTES];
  uint32_t class_index;
  uint32_t rate_per_s;
  uint32_t burst;
  uint32_t entries; /**< how many entries it is spread over */
};

/** Demand that an operator has declared. */
struct ash_declared_event
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
  uint32_t start_s; /**< Unix time */
  uint32_t length_s;
  uint32_t lead_s; /**< so long before its start it counts as on */
};

/** An account's part in an event: so much is served above its limit, and first. */
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

/** Experts of a group at most, as controllers/expert_policy has it. */
#define ASH_PROFILE_EXPERTS_MAX 256
#define ASH_PROFILE_BYTES 2048

/** How popular a group's experts are expected to be in an event. */
struct ash_profile
{
  char name[ASH_NAME_BYTES];
  uint32_t line;
  char event[ASH_NAME_BYTES];
  char group[ASH_NAME_BYTES];
  char loads[ASH_PROFILE_BYTES]; /**< of each expert, whole numbers with commas */
};

/** Reads a profile's loads. @return how many there are; 0 if they can't be read. */
uint32_t ash_profile_loads (const struct ash_profile *profile,
                            double loads[ASH_PROFILE_EXPERTS_MAX]);

/** The document. Arrays are owned by it. */
struct ash_document
{
  uint64_t revision;
  uint64_t digest; /**< of the text */
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
  uint32_t *account_slots; /**< open hash table over key_hash: index + 1 */
  uint32_t account_slot_count;
  struct ash_declared_event *events;
  uint32_t event_count;
  struct ash_reservation *reservations;
  uint32_t reservation_count;
  struct ash_profile *profiles;
  uint32_t profile_count;
};

/** Reads and checks a document; it counts only if no finding was added. */
void ash_document_init (struct ash_document *document,
                        uint64_t revision,
                        const char *text,
                        size_t text_bytes,
                        struct ash_findings *findings);

/** Frees what it holds. */
void ash_document_finish (struct ash_document *document);

/** @return the service's endpoint number @p i, below its endpoint_count. */
const struct ash_endpoint *ash_document_service_endpoint (const struct ash_document *document,
                                                          const struct ash_service *service,
                                                          uint32_t i);

/** @return the named part, or NULL. */
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
 * The home of a key: rendezvous hashing over the endpoints *declared* for the
 * service, not those that happen to be alive, on which entries disagree.
 * @return NULL if the service has no endpoint.
 */
const struct ash_endpoint *
ash_document_home (const struct ash_document *document, const char *service, struct ash_id id);

/**
 * Whether an entry is one of those that the account is spread over, by
 * rendezvous hashing over the published entries.
 * @return its rank among them, from 0, or -1 if it is none.
 */
int32_t ash_document_entry_rank (const struct ash_document *document,
                                 const struct ash_account *account,
                                 const char *entry);

#endif
