/**
 * @file
 * The router's policy under overload, as a table: what is worth counted from each
 * caller's first try, and apart from it who is refused twice, unserved_waits in vain or overtaken.
 */
#ifndef ASH_BENCH_ROUTER_POLICY_H
#define ASH_BENCH_ROUTER_POLICY_H

/** Plays all days with all policies and prints them as a Markdown table. */
void router_policy_print (void);

#endif
