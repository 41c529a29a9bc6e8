/**
 * @file
 * Unit tests of configurations that are parsed route by route: iterating over the items of a JSON
 * list, and that routes copied from the former table equal routes that are parsed again.
 */
#include "platform/config.h"
#include "platform/json_items.h"
#include "test/unit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- items of a JSON list ---- */

/* @return the number of items of the list, or -1 if it is malformed. */
static int
count_rows (const char *text)
{
  struct ash_json_items rows;
  const char *item;
  size_t item_bytes;
  int count = 0;

  if (!ash_json_items_find (&rows, text, strlen (text), "list"))
    return -1;
  while (ash_json_items_next (&rows, &item, &item_bytes))
    count++;
  return rows.malformed ? -1 : count;
}

static void
test_rows (void)
{
  static const char text[] = "{ \"a\":[1,{\"list\":[9]}], \"b\\\"\":\"}]\",\n"
                             "\"list\" : [ {\"x\":\"],{\\\"\"} , [2,[3]],\"s\", 4 ] , \"c\":null}";
  struct ash_json_items rows;
  const char *item;
  size_t item_bytes;

  CU_ASSERT_FATAL (ash_json_items_find (&rows, text, sizeof text - 1, "list"));
  CU_ASSERT (ash_json_items_next (&rows, &item, &item_bytes));
  CU_ASSERT (item_bytes == 13 && memcmp (item, "{\"x\":\"],{\\\"\"}", item_bytes) == 0);
  CU_ASSERT (ash_json_items_next (&rows, &item, &item_bytes));
  CU_ASSERT (item_bytes == 7 && memcmp (item, "[2,[3]]", item_bytes) == 0);
  CU_ASSERT (ash_json_items_next (&rows, &item, &item_bytes));
  CU_ASSERT (ash_json_items_next (&rows, &item, &item_bytes));
  CU_ASSERT (item_bytes == 1 && *item == '4');
  CU_ASSERT_FALSE (ash_json_items_next (&rows, &item, &item_bytes));
  CU_ASSERT_FALSE (rows.malformed);
}

static void
test_bad_rows (void)
{
  CU_ASSERT_EQUAL (count_rows ("{\"list\":[]}"), 0);
  CU_ASSERT_EQUAL (count_rows ("{\"list\":[1,2]}"), 2);
  CU_ASSERT_EQUAL (count_rows ("{\"list\":[1 2]}"), -1);
  CU_ASSERT_EQUAL (count_rows ("{\"list\":[1,]}"), -1);
  CU_ASSERT_EQUAL (count_rows ("{\"list\":[,1]}"), -1);
  CU_ASSERT_EQUAL (count_rows ("{\"list\":[1,,2]}"), -1);
  CU_ASSERT_EQUAL (count_rows ("{\"list\":[1,2}"), -1);
  CU_ASSERT_EQUAL (count_rows ("{\"list\":[1],\"list\":[2]}"), -1);
  CU_ASSERT_EQUAL (count_rows ("{\"list\":7}"), -1);
  CU_ASSERT_EQUAL (count_rows ("{\"list\":[\"1]}"), -1);
  CU_ASSERT_EQUAL (count_rows ("{\"list\""), -1);
  CU_ASSERT_EQUAL (count_rows ("[]"), -1);
  CU_ASSERT_EQUAL (count_rows (""), -1);
}

/* ---- routes copied from the former table ---- */

#define TEXT_MAX 4096

/* A route to a service. An unknown @p kind or @p service makes it invalid. */
struct row
{
  unsigned number;
  const char *service;
  const char *kind;
};

static void
write_config (char *text, unsigned version, const char *services, const struct row *rows)
{
  int at =
      snprintf (text, TEXT_MAX, "{\"Version\":%u,\"Services\":%s,\"Routes\":[", version, services);

  for (const struct row *row = rows; row->service; row++)
    at += snprintf (text + at, TEXT_MAX - (size_t) at,
                    "%s{\"Name\":\"r%u\",\"Host\":\"h%u\",\"PathPrefix\":\"/\",\"RouteKind\":"
                    "\"%s\",\"TimeoutMs\":%u,\"Split\":[{\"Service\":\"%s\",\"Weight\":%u}]}",
                    row == rows ? "" : ",", row->number, row->number, row->kind, 100 + row->number,
                    row->service, 1 + row->number);
  snprintf (text + at, TEXT_MAX - (size_t) at, "]}");
}

static uint32_t
read_config (struct ash_route_table *table, const struct ash_route_table *former, const char *text)
{
  struct ash_findings findings;
  uint32_t count;

  ash_route_table_init (table);
  ash_findings_init (&findings, "configuration");
  ash_platform_config_read (table, former, text, strlen (text), &findings);
  count = findings.count;
  ash_findings_finish (&findings);
  return count;
}

static const struct ash_route *
route_of (const struct ash_route_table *table, unsigned number)
{
  char host[16];

  snprintf (host, sizeof host, "h%u", number);
  return ash_route_table_find (table, host, "/x");
}

static const char *
service_of (const struct ash_route_table *table, unsigned number)
{
  const struct ash_route *route = route_of (table, number);

  return route ? table->services[ash_route_table_pick_service (table, route, 0)].name : "";
}

#define SERVICES_AB "[{\"Name\":\"a\"},{\"Name\":\"b\"}]"
#define SERVICES_BA "[{\"Name\":\"b\"},{\"Name\":\"a\"}]"

static void
test_known_routes (void)
{
  static const struct row first[] = {
    { 1, "a", "safe" }, { 2, "b", "streaming" }, { 3, "a", "unsafe" }, { 0 }
  };
  static const struct row second[] = {
    { 3, "a", "unsafe" }, { 4, "b", "safe" }, { 2, "a", "streaming" }, { 0 }
  };
  char text[TEXT_MAX];
  struct ash_route_table tables[3];

  write_config (text, 1, SERVICES_AB, first);
  CU_ASSERT_EQUAL (read_config (&tables[0], NULL, text), 0);
  write_config (text, 2, SERVICES_AB, second);
  CU_ASSERT_EQUAL (read_config (&tables[1], &tables[0], text), 0);
  /* Copied routes must not depend on the table that they were copied from. */
  ash_route_table_finish (&tables[0]);
  CU_ASSERT_EQUAL (tables[1].version, 2);
  CU_ASSERT_EQUAL (tables[1].route_count, 3);
  CU_ASSERT_PTR_NULL (route_of (&tables[1], 1));
  CU_ASSERT_STRING_EQUAL (service_of (&tables[1], 2), "a");
  CU_ASSERT_STRING_EQUAL (service_of (&tables[1], 3), "a");
  CU_ASSERT_STRING_EQUAL (service_of (&tables[1], 4), "b");
  CU_ASSERT_EQUAL (route_of (&tables[1], 3)->timeout_ms, 103);
  CU_ASSERT (route_of (&tables[1], 3)->repeat == ASH_REPEAT_ONCE);
  CU_ASSERT (route_of (&tables[1], 2)->stream);
  /* The same route texts refer to services whose indexes have changed. */
  write_config (text, 3, SERVICES_BA, second);
  CU_ASSERT_EQUAL (read_config (&tables[2], &tables[1], text), 0);
  CU_ASSERT_STRING_EQUAL (service_of (&tables[2], 3), "a");
  CU_ASSERT_STRING_EQUAL (service_of (&tables[2], 4), "b");
  ash_route_table_finish (&tables[1]);
  ash_route_table_finish (&tables[2]);
}

static void
test_bad_configs (void)
{
  static const struct row good[] = { { 1, "a", "safe" }, { 0 } };
  static const struct row bad[] = { { 1, "a", "safe" }, { 2, "none", "odd" }, { 0 } };
  char text[TEXT_MAX];
  struct ash_route_table former;
  struct ash_route_table table;

  write_config (text, 1, SERVICES_AB, good);
  CU_ASSERT_EQUAL (read_config (&former, NULL, text), 0);
  /* The second route has an unknown kind and an unknown service, without which its weights add up
   * to 0: two findings. */
  write_config (text, 2, SERVICES_AB, bad);
  CU_ASSERT_EQUAL (read_config (&table, &former, text), 2);
  ash_route_table_finish (&table);
  /* Malformed JSON gives a single finding, wherever the error is; findings in earlier items are not
   * reported. */
  CU_ASSERT_EQUAL (read_config (&table, &former, "{\"Services\":[],\"Routes\":[{},{]}"), 1);
  ash_route_table_finish (&table);
  CU_ASSERT_EQUAL (read_config (&table, &former, "{\"Version\":3,\"Routes\":[{\"a\":1}{}]}"), 1);
  ash_route_table_finish (&table);
  CU_ASSERT_EQUAL (read_config (&table, &former, "{\"Version\":3,\"Routes\":[]"), 1);
  ash_route_table_finish (&table);
  ash_route_table_finish (&former);
}

void
add_rows_tests (CU_pSuite suite)
{
  CU_add_test (suite, "platform: items of a list", test_rows);
  CU_add_test (suite, "platform: lists that can't be read", test_bad_rows);
  CU_add_test (suite, "platform: routes known before", test_known_routes);
  CU_add_test (suite, "platform: configurations that can't be read", test_bad_configs);
}
