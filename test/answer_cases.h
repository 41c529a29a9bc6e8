/**
 * @file
 * Responses, byte for byte, that each reader of responses must accept or reject (RFC 9112, RFC
 * 9110).
 */
#ifndef ASH_TEST_ANSWER_CASES_H
#define ASH_TEST_ANSWER_CASES_H

#include <stddef.h>

/** All bytes up to the end of the connection. */
struct answer_case
{
  const char *text;
  size_t length;
};

struct answer_list
{
  const struct answer_case *cases;
  size_t count;
};

/** The cases by the part that is broken. Those of `broken_bodies` have valid heads. */
extern const struct answer_cases
{
  struct answer_list broken_status_lines;
  struct answer_list broken_field_lines;
  struct answer_list broken_framing_fields;
  struct answer_list broken_bodies;
  struct answer_list valid_answers;
  struct answer_list
      followed_answers;     /**< valid, with bytes behind them that belong to no request */
  struct answer_list heads; /**< whole heads, by what delimits the body */
} answer_cases;

#endif
