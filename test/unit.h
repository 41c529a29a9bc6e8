/**
 * @file
 * Unit tests, one file per topic. Each function adds the tests of its file to the suite.
 */
#ifndef ASH_TEST_UNIT_H
#define ASH_TEST_UNIT_H

#include <CUnit/CUnit.h>

/**
 * Declared events: rows of the configuration document, start and end times, reservations, expected
 * loads of experts.
 */
void add_declared_tests (CU_pSuite suite);

/** Configuration deltas, the choice of entries that read the platform, isolated entries. */
void add_config_tests (CU_pSuite suite);

/** The router's components: routes, endpoints, forwarding, settings, peers, log. */
void add_router_tests (CU_pSuite suite);

/** Links between peers. */
void add_peer_tests (CU_pSuite suite);

/** Quarantine of requests that repeatedly make endpoints exit. */
void add_quarantine_tests (CU_pSuite suite);
void add_part_quarantine_tests (CU_pSuite suite);

/** Terms that endpoints announce in their answers: rates, back-off times, and leaving. */
void add_terms_tests (CU_pSuite suite);

/** Evacuated halls, stalled groups and cold endpoints. */
void add_evacuation_tests (CU_pSuite suite);

/** A store that is restored from an older copy. */
void add_era_tests (CU_pSuite suite);

/** Expert maps, the model of pass times, and the detection of slow passes. */
void add_expert_tests (CU_pSuite suite);

/** Switching a group of ranks to another expert map. */
void add_map_tests (CU_pSuite suite);

/** Responses of other processes: which bytes are an answer. */
void add_answer_tests (CU_pSuite suite);

/** Calls over a pool of connections. */
void add_call_tests (CU_pSuite suite);

/** Fetches with libcurl. */
void add_fetch_tests (CU_pSuite suite);

/** Answers that the command-line tool reads. */
void add_cli_tests (CU_pSuite suite);

/** The platform's formats, HTTP messages, event streams, TCP keep-alive. */
void add_platform_tests (CU_pSuite suite);

/** Configurations that are parsed route by route. */
void add_rows_tests (CU_pSuite suite);

/** The gate that decides when prompts are sent to engines. */
void add_prompt_tests (CU_pSuite suite);

/** The simulation in which the router's policies are compared. */
void add_router_world_tests (CU_pSuite suite);
void add_priority_room_tests (CU_pSuite suite);
void add_outlier_tests (CU_pSuite suite);

/** Tracing a request through the logs of several processes. */
void add_trace_tests (CU_pSuite suite);

#endif
