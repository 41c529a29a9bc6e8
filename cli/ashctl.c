/**
 * @file
 * ashctl, the command-line client for operators and testers.
 */
#include "cli/print.h"
#include "cli/send.h"
#include "cli/trace.h"
#include "common/id.h"

#include <argp.h>
#include <curl/curl.h>
#include <errno.h>
#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define FILE_MAX_BYTES (2 * 1024 * 1024)

#define TARGET_BYTES 2048
#define URL_BYTES (256 + TARGET_BYTES)

/* Most arguments, including the command; `trace` takes the log files of a whole fleet. */
#define POSITIONAL_MAX 512

const char *argp_program_version = "ashctl " ASH_VERSION;

/* Exit status, documented in docs/OPERATIONS.md. */
enum exit_code
{
  EXIT_OK = 0,
  EXIT_NOT_RUN = 1,
  EXIT_USAGE = 2,
  EXIT_UNKNOWN = 3,
  EXIT_INCOMPLETE = 4,
  EXIT_NO_ENTRY = 5,
};

enum option_key
{
  KEY_JSON = 256,
  KEY_STREAM,
  KEY_TOKENS,
  KEY_DATA,
  KEY_METHOD,
  KEY_NO_REPEAT,
  KEY_IDEMPOTENCY,
  KEY_DEADLINE,
};

struct arguments
{
  const char *entry;
  const char *key;
  const char *account;
  const char *data;
  const char *method;
  const char *idempotency_key;
  unsigned max_tokens;
  unsigned deadline_ms;
  bool json;
  bool stream;
  bool no_repeat;
  const char *positional[POSITIONAL_MAX];
  unsigned positional_count;
};

static const struct argp_option argp_options[] = {
  { "entry", 'e', "URL", 0, "URL of any entry (default: ASHCTL_ENTRY, or http://127.0.0.1:8080)",
    0 },
  { "key", 'k', "KEY", 0, "bearer key of the account (default: ASHCTL_KEY)", 0 },
  { "account", 'a', "NAME", 0, "name of the account (default: ASHCTL_ACCOUNT)", 0 },
  { "json", KEY_JSON, NULL, 0, "print one JSON object", 0 },
  { "stream", KEY_STREAM, NULL, 0, "chat: print the answer while it is received", 0 },
  { "max-tokens", KEY_TOKENS, "N", 0, "chat: maximum length of the answer", 0 },
  { "data", KEY_DATA, "TEXT", 0, "call: request body", 0 },
  { "method", KEY_METHOD, "METHOD", 0, "call: HTTP method (default: GET, or POST with a body)", 0 },
  { "no-repeat", KEY_NO_REPEAT, NULL, 0, "run at most once", 0 },
  { "idempotency-key", KEY_IDEMPOTENCY, "KEY", 0,
    "identifies the request when it is submitted again", 0 },
  { "deadline-ms", KEY_DEADLINE, "MS", 0, "deadline of the request", 0 },
  { 0 },
};

static const char argp_doc[] =
    "Commands:\n"
    "  chat MODEL TEXT         send a chat completion\n"
    "  call SERVICE PATH       call a plain service\n"
    "  addresses SERVICE       print the entries to use for the account\n"
    "  mint SERVICE            print a key for a request that must not be repeated\n"
    "  plan INTENT.toml        show what an intent would change, and print the plan\n"
    "  confirm PLAN.json       print the document to publish, if the plan's base is still active\n"
    "  diff DOCUMENT           compare a document with the active one\n"
    "  explain group NAME      show decisions on a group's expert map, and their reasons\n"
    "  explain request ID      show the state or outcome of a request, by Ash-Request-Id\n"
    "  trace ID [LOG...]       print a request's lines in logs (or standard input) and how it "
    "ended\n"
    "  drain BOX               make a box refuse new work until it restarts\n"
    "  events                  show the declared events and their states\n"
    "  status                  show what an entry knows about the fleet\n"
    "  hash KEY                print the hash of a bearer key, for the published configuration\n"
    "\vExit status: 0 success; 1 the request did not run; 2 wrong usage; 3 unknown whether it ran; "
    "4 it ran, but the answer is incomplete; 5 no entry answers.";

static unsigned
parse_number (const char *text, struct argp_state *state)
{
  char *end;
  unsigned long number = strtoul (text, &end, 10);

  if (end == text || *end || *text == '-' || number == 0 || number > 1000000000)
    argp_error (state, "'%s' is not an integer above 0", text);
  return (unsigned) number;
}

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 'e':
      arguments->entry = argument;
      break;
    case 'k':
      arguments->key = argument;
      break;
    case 'a':
      arguments->account = argument;
      break;
    case KEY_JSON:
      arguments->json = true;
      break;
    case KEY_STREAM:
      arguments->stream = true;
      break;
    case KEY_TOKENS:
      arguments->max_tokens = parse_number (argument, state);
      break;
    case KEY_DATA:
      arguments->data = argument;
      break;
    case KEY_METHOD:
      arguments->method = argument;
      break;
    case KEY_NO_REPEAT:
      arguments->no_repeat = true;
      break;
    case KEY_IDEMPOTENCY:
      arguments->idempotency_key = argument;
      break;
    case KEY_DEADLINE:
      arguments->deadline_ms = parse_number (argument, state);
      break;
    case ARGP_KEY_ARG:
      if (arguments->positional_count == POSITIONAL_MAX)
        argp_error (state, "too many arguments");
      arguments->positional[arguments->positional_count++] = argument;
      break;
    case ARGP_KEY_END:
      if (arguments->positional_count == 0)
        argp_error (state, "no command");
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

/* ---- output ---- */

/* Prints a text from outside, and a line end if it lacks one. */
static void
print_text (const char *text, size_t length)
{
  ash_cli_print (stdout, isatty (STDOUT_FILENO), text, length);
  if (!length || text[length - 1] != '\n')
    putchar ('\n');
}

static enum exit_code
exit_code_of (const struct ash_cli_answer *answer)
{
  if (!answer->connected)
    return EXIT_NO_ENTRY;
  if (strcmp (answer->outcome, "not-run") == 0)
    return EXIT_NOT_RUN;
  if (strcmp (answer->outcome, "ran") == 0)
    return answer->whole && answer->status < 500 ? EXIT_OK : EXIT_INCOMPLETE;
  if (!*answer->outcome && answer->whole && answer->status == 200)
    return EXIT_OK;
  return EXIT_UNKNOWN;
}

static void
print_json (const struct ash_cli_answer *answer, unsigned submissions)
{
  json_t *body = json_loadb (answer->body ? answer->body : "", answer->body_bytes, 0, NULL);
  json_t *root = json_pack (
      "{s:i, s:s, s:b, s:s, s:s, s:s, s:i, s:i, s:i}", "status", (int) answer->status, "outcome",
      answer->outcome, "whole", (int) answer->whole, "entry", answer->entry, "endpoint",
      answer->endpoint, "request_id", answer->request_id, "wait_ms", (int) answer->wait_ms,
      "retry_after_ms", (int) answer->retry_ms, "submissions", (int) submissions);

  json_object_set_new (root, "body", body ? body : json_string (answer->body ? answer->body : ""));
  if (*answer->error)
    json_object_set_new (root, "error", json_string (answer->error));
  json_dumpf (root, stdout, JSON_INDENT (2));
  putchar ('\n');
  json_decref (root);
}

static enum exit_code
print_answer (const struct arguments *arguments,
              const struct ash_cli_answer *answer,
              unsigned submissions)
{
  if (arguments->json)
    {
      print_json (answer, submissions);
      return exit_code_of (answer);
    }
  if (!answer->connected)
    ash_cli_error ("ashctl: no entry answers: %s\n", answer->error);
  else if (answer->body && !arguments->stream)
    print_text (answer->body, answer->body_bytes);
  if (*answer->outcome)
    ash_cli_error ("ashctl: %s, status %ld, entry %s, endpoint %s, waited %ld ms, submitted %u\n",
                   answer->outcome, answer->status, answer->entry,
                   *answer->endpoint ? answer->endpoint : "-", answer->wait_ms, submissions);
  if (answer->connected && !answer->whole)
    ash_cli_error ("ashctl: the answer is incomplete: %s\n", answer->error);
  return exit_code_of (answer);
}

/* ---- commands ---- */

/* Appends a part of a request target and a name, which is escaped. @return false after printing an
 * error. */
static bool
append_name (char target[TARGET_BYTES], const char *part, const char *name)
{
  if (ash_cli_append_name (target, TARGET_BYTES, part, name))
    return true;
  ash_cli_error ("ashctl: a name is too long\n");
  return false;
}

static void
fill_request (const struct arguments *arguments, struct ash_cli_request *request)
{
  request->key = arguments->key;
  request->idempotency_key = arguments->idempotency_key;
  request->deadline_ms = arguments->deadline_ms;
  request->no_repeat = arguments->no_repeat;
  request->echo = arguments->stream && !arguments->json ? stdout : NULL;
}

static enum exit_code
run_send (const struct arguments *arguments, struct ash_cli_send *send)
{
  struct ash_cli_answer answer = { 0 };
  enum exit_code code;
  unsigned submissions;

  send->entry = arguments->entry;
  send->account = arguments->account;
  fill_request (arguments, &send->request);
  submissions = ash_cli_send (send, &answer);
  code = print_answer (arguments, &answer, submissions);
  ash_cli_answer_finish (&answer);
  return code;
}

static enum exit_code
run_chat (const struct arguments *arguments)
{
  struct ash_cli_send send = { .service = arguments->positional[1],
                               .path = "/v1/chat/completions" };
  json_t *body = json_pack ("{s:s, s:[{s:s, s:s}], s:b}", "model", arguments->positional[1],
                            "messages", "role", "user", "content", arguments->positional[2],
                            "stream", (int) arguments->stream);
  enum exit_code code;
  char *text;

  if (arguments->max_tokens)
    json_object_set_new (body, "max_tokens", json_integer (arguments->max_tokens));
  text = json_dumps (body, JSON_COMPACT);
  send.request.method = "POST";
  send.request.body = text;
  code = run_send (arguments, &send);
  free (text);
  json_decref (body);
  return code;
}

static enum exit_code
run_call (const struct arguments *arguments)
{
  char path[TARGET_BYTES] = "";
  struct ash_cli_send send = { .service = arguments->positional[1], .path = path };
  const char *rest = arguments->positional[2];
  size_t used;

  if (!append_name (path, "/v1/services/", arguments->positional[1]))
    return EXIT_USAGE;
  used = strlen (path);
  if ((size_t) snprintf (path + used, sizeof path - used, "%s%s", *rest == '/' ? "" : "/", rest) >=
      sizeof path - used)
    {
      ash_cli_error ("ashctl: the path is too long\n");
      return EXIT_USAGE;
    }
  send.request.method = arguments->data ? "POST" : "GET";
  if (arguments->method)
    send.request.method = arguments->method;
  send.request.body = arguments->data;
  return run_send (arguments, &send);
}

static enum exit_code
run_get (const struct arguments *arguments, const char *method, const char *path)
{
  char url[URL_BYTES];
  struct ash_cli_request request = { .url = url, .method = method, .key = arguments->key };
  struct ash_cli_answer answer = { 0 };
  enum exit_code code;

  if ((size_t) snprintf (url, sizeof url, "%s%s", arguments->entry, path) >= sizeof url)
    {
      ash_cli_error ("ashctl: the entry's URL is too long\n");
      return EXIT_USAGE;
    }
  ash_cli_fetch (&request, &answer);
  code = print_answer (arguments, &answer, 1);
  ash_cli_answer_finish (&answer);
  return code;
}

static enum exit_code
run_addresses (const struct arguments *arguments)
{
  char path[TARGET_BYTES] = "";

  if (!append_name (path, "/v1/addresses?account=", arguments->account) ||
      !append_name (path, "&service=", arguments->positional[1]))
    return EXIT_USAGE;
  return run_get (arguments, "GET", path);
}

static enum exit_code
run_mint (const struct arguments *arguments)
{
  char path[TARGET_BYTES] = "";

  if (!append_name (path, "/v1/keys?service=", arguments->positional[1]))
    return EXIT_USAGE;
  return run_get (arguments, "POST", path);
}

static enum exit_code
run_status (const struct arguments *arguments)
{
  return run_get (arguments, "GET", "/v1/status");
}

static enum exit_code
run_events (const struct arguments *arguments)
{
  return run_get (arguments, "GET", "/v1/events");
}

/* Reads a whole file. @return its text, to be freed by the caller, or NULL after printing an
 * error. */
static char *
read_file (const char *path)
{
  FILE *file = fopen (path, "rb");
  char *text;
  size_t length;

  if (!file)
    {
      ash_cli_error ("ashctl: %s: %s\n", path, strerror (errno));
      return NULL;
    }
  text = malloc (FILE_MAX_BYTES + 1);
  length = text ? fread (text, 1, FILE_MAX_BYTES + 1, file) : 0;
  fclose (file);
  if (length > FILE_MAX_BYTES)
    {
      ash_cli_error ("ashctl: %s: larger than %d bytes\n", path, FILE_MAX_BYTES);
      free (text);
      return NULL;
    }
  if (text)
    text[length] = '\0';
  return text;
}

/* Posts the file that the command names to a path of the operators' interface. */
static void
post_file (const struct arguments *arguments, const char *path, struct ash_cli_answer *answer)
{
  char url[URL_BYTES];
  char *text = read_file (arguments->positional[1]);
  struct ash_cli_request request = {
    .url = url, .method = "POST", .key = arguments->key, .body = text
  };

  if (!text)
    return;
  snprintf (url, sizeof url, "%s%s", arguments->entry, path);
  ash_cli_fetch (&request, answer);
  free (text);
}

static void
print_change (const json_t *row)
{
  char *keys = json_dumps (json_object_get (row, "keys"), JSON_COMPACT);

  ash_cli_error ("  %s %s '%s' %s\n", json_string_value (json_object_get (row, "change")),
                 json_string_value (json_object_get (row, "kind")),
                 json_string_value (json_object_get (row, "name")), keys);
  free (keys);
}

static void
print_plan (const json_t *plan)
{
  const json_t *changes = json_object_get (plan, "changes");
  const json_t *not_met = json_object_get (plan, "not_met");
  char *effects = json_dumps (json_object_get (plan, "effects"), JSON_ENCODE_ANY);

  ash_cli_error ("base revision %lld, would be %lld, digest %s\n",
                 (long long) json_integer_value (json_object_get (plan, "base_revision")),
                 (long long) json_integer_value (json_object_get (plan, "revision")),
                 json_string_value (json_object_get (plan, "digest")));
  for (size_t i = 0; i < json_array_size (changes); i++)
    print_change (json_array_get (changes, i));
  ash_cli_error ("effects: %s\n", effects ? effects : "");
  for (size_t i = 0; i < json_array_size (not_met); i++)
    ash_cli_error ("  can't be met: %s: %s\n",
                   json_string_value (json_object_get (json_array_get (not_met, i), "place")),
                   json_string_value (json_object_get (json_array_get (not_met, i), "text")));
  free (effects);
}

/* Posts the file that the command names and reads the JSON answer.
 * @return a new object, or NULL after printing an error. */
static json_t *
post_file_for_json (const struct arguments *arguments, const char *path, const char *failure)
{
  struct ash_cli_answer answer = { 0 };
  json_t *root;

  post_file (arguments, path, &answer);
  root = json_loadb (answer.body ? answer.body : "", answer.body_bytes, 0, NULL);
  if (answer.status != 200)
    {
      ash_cli_error ("ashctl: %s: %s\n", failure, answer.body ? answer.body : answer.error);
      json_decref (root);
      root = NULL;
    }
  ash_cli_answer_finish (&answer);
  return root;
}

/* Prints the summary of a plan to standard error and the plan to standard output, so that it can be
 * saved and confirmed. */
static enum exit_code
run_plan (const struct arguments *arguments)
{
  json_t *plan = post_file_for_json (arguments, "/v1/plan", "no plan");
  bool can_be_met = json_array_size (json_object_get (plan, "not_met")) == 0;

  if (!plan)
    return EXIT_NOT_RUN;
  print_plan (plan);
  json_dumpf (plan, stdout, JSON_INDENT (1));
  putchar ('\n');
  json_decref (plan);
  return can_be_met ? EXIT_OK : EXIT_NOT_RUN;
}

/* Prints the document to publish to standard output. */
static enum exit_code
run_confirm (const struct arguments *arguments)
{
  json_t *confirmed = post_file_for_json (arguments, "/v1/confirm", "not confirmed");
  const char *document;

  if (!confirmed)
    return EXIT_NOT_RUN;
  ash_cli_error ("confirmed: publish this as revision %lld; it is active when 'ashctl "
                 "status' shows that revision for every box\n",
                 (long long) json_integer_value (json_object_get (confirmed, "revision")));
  document = json_string_value (json_object_get (confirmed, "document"));
  if (document)
    ash_cli_print (stdout, isatty (STDOUT_FILENO), document, strlen (document));
  putchar ('\n');
  json_decref (confirmed);
  return EXIT_OK;
}

static enum exit_code
run_diff (const struct arguments *arguments)
{
  json_t *diff = post_file_for_json (arguments, "/v1/diff", "no comparison");
  const json_t *changes = json_object_get (diff, "changes");

  if (!diff)
    return EXIT_NOT_RUN;
  for (size_t i = 0; i < json_array_size (changes); i++)
    print_change (json_array_get (changes, i));
  if (arguments->json)
    json_dumpf (diff, stdout, JSON_INDENT (1));
  json_decref (diff);
  return EXIT_OK;
}

static enum exit_code
run_explain (const struct arguments *arguments)
{
  char path[TARGET_BYTES] = "";

  if (!append_name (path, "/v1/explain/", arguments->positional[1]) ||
      !append_name (path, "/", arguments->positional[2]))
    return EXIT_USAGE;
  return run_get (arguments, "GET", path);
}

/* Adds the lines of a log file to a trace. @return false after printing an error. */
static bool
trace_file (struct ash_trace *trace, const char *path)
{
  FILE *log = fopen (path, "r");
  bool ok = log && ash_trace_read (trace, log);

  if (!ok)
    ash_cli_error ("ashctl: %s: %s\n", path, strerror (errno));
  if (log)
    fclose (log);
  return ok;
}

/* Reads log files and sends no query, because the box that had the request may no longer run. */
static enum exit_code
run_trace (const struct arguments *arguments)
{
  struct ash_trace trace;
  char end[1024];
  bool ok = true;

  ash_trace_init (&trace, arguments->positional[1]);
  if (arguments->positional_count == 2)
    ok = ash_trace_read (&trace, stdin);
  for (unsigned i = 2; i < arguments->positional_count; i++)
    ok = trace_file (&trace, arguments->positional[i]) && ok;
  ash_trace_explain (&trace, end, sizeof end);
  for (uint32_t i = 0; i < trace.count; i++)
    print_text (trace.lines[i].text, strlen (trace.lines[i].text));
  print_text (end, strlen (end));
  ok = ok && trace.count;
  ash_trace_finish (&trace);
  return ok ? EXIT_OK : EXIT_USAGE;
}

static enum exit_code
run_drain (const struct arguments *arguments)
{
  char path[TARGET_BYTES] = "";

  if (!append_name (path, "/v1/drain?box=", arguments->positional[1]))
    return EXIT_USAGE;
  return run_get (arguments, "POST", path);
}

static enum exit_code
run_hash (const struct arguments *arguments)
{
  uint8_t hash[ASH_KEY_HASH_BYTES];
  char hex[2 * ASH_KEY_HASH_BYTES + 1];

  ash_key_hash (arguments->positional[1], strlen (arguments->positional[1]), hash);
  sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
  printf ("%s\n", hex);
  return EXIT_OK;
}

struct command
{
  const char *name;
  unsigned positional_min; /* number of arguments, including the command */
  bool variadic;           /* arguments beyond positional_min are allowed */
  enum exit_code (*run) (const struct arguments *arguments);
};

static const struct command commands[] = {
  { "chat", 3, false, run_chat },           { "call", 3, false, run_call },
  { "addresses", 2, false, run_addresses }, { "mint", 2, false, run_mint },
  { "plan", 2, false, run_plan },           { "confirm", 2, false, run_confirm },
  { "status", 1, false, run_status },       { "hash", 2, false, run_hash },
  { "diff", 2, false, run_diff },           { "explain", 3, false, run_explain },
  { "drain", 2, false, run_drain },         { "events", 1, false, run_events },
  { "trace", 2, true, run_trace },
};

static const char *
from_environment (const char *name, const char *fallback)
{
  const char *value = getenv (name);

  return value && *value ? value : fallback;
}

int
main (int argc, char **argv)
{
  static const struct argp argp = { argp_options, parse_option, "COMMAND [ARGUMENT...]",
                                    argp_doc,     NULL,         NULL,
                                    NULL };
  struct arguments arguments = {
    .entry = from_environment ("ASHCTL_ENTRY", "http://127.0.0.1:8080"),
    .key = from_environment ("ASHCTL_KEY", NULL),
    .account = from_environment ("ASHCTL_ACCOUNT", ""),
  };
  enum exit_code code = EXIT_USAGE;

  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    {
      if (strcmp (commands[i].name, arguments.positional[0]) != 0)
        continue;
      if (arguments.positional_count < commands[i].positional_min ||
          (arguments.positional_count > commands[i].positional_min && !commands[i].variadic))
        ash_cli_error ("ashctl: '%s' requires %u argument%s\n", commands[i].name,
                       commands[i].positional_min - 1, commands[i].positional_min == 2 ? "" : "s");
      else
        code = commands[i].run (&arguments);
      curl_global_cleanup ();
      return code;
    }
  ash_cli_error ("ashctl: unknown command '%s'; see ashctl --help\n", arguments.positional[0]);
  return EXIT_USAGE;
}
