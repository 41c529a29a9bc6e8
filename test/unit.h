/**
 * @file
 * Unit tests in files by topic: each adds its own to the one suite.
 */
#ifndef ASH_TEST_UNIT_H
#define ASH_TEST_UNIT_H

#include <CUnit/CUnit.h>

/** Declared events: rows, times, reservations, expected loads of experts. */
void add_declared_tests (CU_pSuite suite);

/** How a configuration spreads, and a box that sees few others. */
void add_config_tests (CU_pSuite suite);

/** The router's cores. */
void add_router_tests (CU_pSuite suite);

/** Requests under which endpoints ended. */
void add_quarantine_tests (CU_pSuite suite);

/** What endpoints say of how they want to be used. */
void add_terms_tests (CU_pSuite suite);

/** A store that comes back from an older copy. */
void add_era_tests (CU_pSuite suite);

/** Passes of groups and expert maps. */
void add_expert_tests (CU_pSuite suite);

/** Changes of maps. */
void add_map_tests (CU_pSuite suite);

/** The platform's formats, and HTTP. */
void add_platform_tests (CU_pSuite suite);

/** Configurations that are read route by route. */
void add_rows_tests (CU_pSuite suite);

/** When prompts go to engines. */
void add_prompt_tests (CU_pSuite suite);

/** The model that the router's policy is weighed in. */
void add_router_world_tests (CU_pSuite suite);

/** A request's way through logs. */
void add_trace_tests (CU_pSuite suite);

#endif
