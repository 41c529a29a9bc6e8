#include "controllers/route_table.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Number of priorities that are distinguished, of accounts and of routes; all lower ones count as
 * the last one. */
#define PRIORITIES 256

void
ash_route_table_init (struct ash_route_table *table)
{
  *table = (struct ash_route_table){ 0 };
}

void
ash_route_table_finish (struct ash_route_table *table)
{
  for (uint32_t i = 0; i < table->route_count; i++)
    {
      free (table->routes[i].name);
      free (table->routes[i].host);
      free (table->routes[i].prefix);
    }
  for (uint32_t i = 0; i < table->service_count; i++)
    {
      free (table->services[i].name);
      free (table->services[i].health_path);
    }
  for (uint32_t i = 0; i < table->account_count; i++)
    free (table->accounts[i].name);
  for (uint32_t i = 0; i < table->key_count; i++)
    free (table->keys[i].key);
  free (table->routes);
  free (table->parts);
  free (table->services);
  free (table->accounts);
  free (table->keys);
  *table = (struct ash_route_table){ 0 };
}

struct ash_route_table *
ash_route_table_new (void)
{
  struct ash_route_table *table = calloc (1, sizeof *table);

  if (table)
    table->references = 1;
  return table;
}

struct ash_route_table *
ash_route_table_ref (struct ash_route_table *table)
{
  table->references++;
  return table;
}

void
ash_route_table_unref (struct ash_route_table *table)
{
  if (!table || --table->references)
    return;
  ash_route_table_finish (table);
  free (table);
}

/* ---- filling ---- */

/* Grows an array if it is full. @return the array with room for one more item; NULL if memory is
 * short, with the array unchanged. */
static void *
reserve_item (void *items, uint32_t count, uint32_t *capacity, size_t item_bytes)
{
  uint32_t new_capacity = 2 * *capacity + 16;
  void *grown;

  if (count < *capacity)
    return items;
  grown = realloc (items, new_capacity * item_bytes);
  if (grown)
    *capacity = new_capacity;
  return grown;
}

struct ash_route *
ash_route_table_add_route (struct ash_route_table *table)
{
  struct ash_route *routes =
      reserve_item (table->routes, table->route_count, &table->route_capacity, sizeof *routes);
  struct ash_route *route;

  if (!routes)
    return NULL;
  table->routes = routes;
  route = &table->routes[table->route_count++];
  *route = (struct ash_route){ 0 };
  return route;
}

bool
ash_route_table_add_part (struct ash_route_table *table, struct ash_route_split part)
{
  struct ash_route_split *parts =
      reserve_item (table->parts, table->part_count, &table->part_capacity, sizeof *parts);

  if (!parts)
    return false;
  table->parts = parts;
  table->parts[table->part_count++] = part;
  return true;
}

static char *
copy_text (const char *text)
{
  return text ? strdup (text) : NULL;
}

bool
ash_route_table_add_copy (struct ash_route_table *table,
                          const struct ash_route_table *other,
                          const struct ash_route *route)
{
  struct ash_route *copy = ash_route_table_add_route (table);

  if (!copy)
    return false;
  *copy = *route;
  copy->name = copy_text (route->name);
  copy->host = copy_text (route->host);
  copy->prefix = copy_text (route->prefix);
  copy->part_first = table->part_count;
  for (uint32_t i = 0; i < route->part_count; i++)
    if (!ash_route_table_add_part (table, other->parts[route->part_first + i]))
      return false;
  return copy->host && copy->prefix;
}

/* ---- sorting and look-up ---- */

static int
by_host (const void *a, const void *b)
{
  return strcasecmp (((const struct ash_route *) a)->host, ((const struct ash_route *) b)->host);
}

static int
by_key (const void *a, const void *b)
{
  return strcmp (((const struct ash_route_key *) a)->key, ((const struct ash_route_key *) b)->key);
}

/* Sets for each service the range of its routes' priorities. */
static void
range_priorities (struct ash_route_table *table)
{
  for (uint32_t i = 0; i < table->service_count; i++)
    {
      table->services[i].priority_first = UINT32_MAX;
      table->services[i].priority_last = 0;
    }
  for (uint32_t i = 0; i < table->route_count; i++)
    {
      const struct ash_route *route = &table->routes[i];

      for (uint32_t p = route->part_first; p < route->part_first + route->part_count; p++)
        {
          struct ash_route_service *service = &table->services[table->parts[p].service];

          if (route->priority < service->priority_first)
            service->priority_first = route->priority;
          if (route->priority > service->priority_last)
            service->priority_last = route->priority;
        }
    }
}

void
ash_route_table_sort (struct ash_route_table *table)
{
  range_priorities (table);
  if (table->route_count)
    qsort (table->routes, table->route_count, sizeof *table->routes, by_host);
  if (table->key_count)
    qsort (table->keys, table->key_count, sizeof *table->keys, by_key);
}

/* @return index of the first route whose host does not sort before @p host, compared by its first
 * @p host_length bytes. */
static uint32_t
lower_bound (const struct ash_route_table *table, const char *host, size_t host_length)
{
  uint32_t low = 0;
  uint32_t high = table->route_count;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      const char *other = table->routes[middle].host;
      int order = strncasecmp (other, host, host_length);

      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static bool
host_matches (const struct ash_route *route, const char *host, size_t host_length)
{
  return strlen (route->host) == host_length && strncasecmp (route->host, host, host_length) == 0;
}

const struct ash_route *
ash_route_table_find (const struct ash_route_table *table, const char *host, const char *target)
{
  size_t host_length = strcspn (host, ":");
  size_t path_length = strcspn (target, "?");
  const struct ash_route *best = NULL;
  size_t best_length = 0;

  for (uint32_t i = lower_bound (table, host, host_length); i < table->route_count; i++)
    {
      const struct ash_route *route = &table->routes[i];
      size_t length = strlen (route->prefix);

      if (strncasecmp (route->host, host, host_length) != 0)
        break;
      if (host_matches (route, host, host_length) && length <= path_length &&
          (!best || length > best_length) && strncmp (route->prefix, target, length) == 0)
        {
          best = route;
          best_length = length;
        }
    }
  return best;
}

const struct ash_route_account *
ash_route_table_account (const struct ash_route_table *table, const char *key)
{
  struct ash_route_key wanted = { .key = (char *) (uintptr_t) key };
  const struct ash_route_key *found =
      table->key_count
          ? bsearch (&wanted, table->keys, table->key_count, sizeof *table->keys, by_key)
          : NULL;

  return found ? &table->accounts[found->account] : NULL;
}

static uint32_t
smaller_of (uint32_t a, uint32_t b)
{
  return a < b ? a : b;
}

bool
ash_route_service_has_priorities (const struct ash_route_service *service)
{
  return service->priority_last > service->priority_first;
}

uint32_t
ash_request_priority (const struct ash_route *route, const struct ash_route_account *account)
{
  uint32_t of_account = account && account->has_priority ? account->priority : PRIORITIES;

  return smaller_of (of_account, PRIORITIES - 1) * PRIORITIES +
         smaller_of (route->priority, PRIORITIES - 1);
}

uint32_t
ash_route_table_service (const struct ash_route_table *table, const char *name)
{
  for (uint32_t i = 0; i < table->service_count; i++)
    if (table->services[i].name && strcmp (table->services[i].name, name) == 0)
      return i;
  return UINT32_MAX;
}

uint32_t
ash_route_table_pick_service (const struct ash_route_table *table,
                              const struct ash_route *route,
                              uint64_t draw)
{
  const struct ash_route_split *parts = &table->parts[route->part_first];
  uint64_t total = 0;

  for (uint32_t i = 0; i < route->part_count; i++)
    total += parts[i].weight;
  if (!total)
    return UINT32_MAX;
  draw %= total;
  for (uint32_t i = 0; i < route->part_count; i++)
    {
      if (draw < parts[i].weight)
        return parts[i].service;
      draw -= parts[i].weight;
    }
  return UINT32_MAX;
}
