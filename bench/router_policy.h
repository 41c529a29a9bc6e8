/**
 * @file
 * Table of the router's forwarding policy under overload: the score of the calls, measured
 * from the first attempt of each caller, and the fractions of calls that were refused
 * twice, waited without being served, or were overtaken.
 */
#ifndef ASH_BENCH_ROUTER_POLICY_H
#define ASH_BENCH_ROUTER_POLICY_H

/** Simulates all scenarios with all policies and prints the results as Markdown tables. */
void router_policy_print (void);

#endif
