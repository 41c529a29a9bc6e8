/**
 * @file
 * Unit tests of settings, documents, configuration, limits, membership, expert placement, keys,
 * frames, handshakes, log events and metrics, and the main function of test-unit.
 */
#include "common/escape.h"
#include "common/log.h"
#include "common/metrics.h"
#include "common/random.h"
#include "controllers/config.h"
#include "controllers/expert_policy.h"
#include "controllers/limits.h"
#include "controllers/membership.h"
#include "controllers/retry_budget.h"
#include "filters/minted_key.h"
#include "net/frame.h"
#include "net/handshake.h"
#include "net/frame_delay.h"
#include "options/document.h"
#include "options/settings.h"
#include "test/unit.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define DOC_START                                                                                  \
  "[[hall]]\nname='h'\n[[class]]\nname='c'\n[[service]]\nname='s'\nhomes_since_s=1\n"              \
  "[[account]]\nname='a'\nclass='c'\nkey_hash='" KEY_HEX "'\n"                                     \
  "[[entry]]\nbox='e1'\nhall='h'\nhttp='127.0.0.1:1'\npeer='127.0.0.1:2'\n"
#define KEY_HEX "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define ENDPOINT(name) "[[endpoint]]\nbox='" name "'\nhall='h'\nservice='s'\npeer='127.0.0.1:3'\n"

static struct ash_time
at (int64_t ms)
{
  return (struct ash_time){ ms };
}

/* ---- settings and documents ---- */

static bool
has_finding (const struct ash_findings *findings, uint32_t line, const char *key_path)
{
  for (uint32_t i = 0; i < findings->count; i++)
    if (findings->items[i].line == line && strcmp (findings->items[i].key_path, key_path) == 0)
      return true;
  return false;
}

static void
test_settings_all_findings (void)
{
  static const char text[] = "box = 'e1'\nrole = 'entri'\nhall = 3\nheartbeat_ms = 1\n"
                             "fleet_key = 'zz'\npeer_listen = 'here'\nspeed = 7\n"
                             "peers = ['nowhere', '127.0.0.1:7']\n";
  struct ash_settings settings;
  struct ash_findings findings;

  ash_findings_init (&findings, "test");
  ash_settings_read (&settings, text, sizeof text - 1, &findings);
  CU_ASSERT (has_finding (&findings, 2, "role"));
  CU_ASSERT (has_finding (&findings, 3, "hall"));
  CU_ASSERT (has_finding (&findings, 4, "heartbeat_ms"));
  CU_ASSERT (has_finding (&findings, 0, "fleet_key"));
  CU_ASSERT (has_finding (&findings, 6, "peer_listen"));
  CU_ASSERT (has_finding (&findings, 7, "speed"));
  CU_ASSERT (has_finding (&findings, 8, "peers"));
  ash_findings_finish (&findings);
}

static void
test_settings_syntax (void)
{
  struct ash_settings settings;
  struct ash_findings findings;

  ash_findings_init (&findings, "test");
  ash_settings_read (&settings, "box = 'e1'\nrole = \n", 19, &findings);
  CU_ASSERT_EQUAL (findings.count, 1);
  CU_ASSERT (has_finding (&findings, 2, "toml"));
  ash_findings_finish (&findings);
}

static void
test_addresses (void)
{
  char ip[16];
  uint16_t port;

  CU_ASSERT (ash_address_parse ("127.0.0.1:80", ip, &port) && port == 80);
  CU_ASSERT_FALSE (ash_address_parse ("127.0.0.1", ip, &port));
  CU_ASSERT_FALSE (ash_address_parse ("127.0.0.1:", ip, &port));
  CU_ASSERT_FALSE (ash_address_parse ("127.0.0.1:80x", ip, &port));
  CU_ASSERT_FALSE (ash_address_parse ("127.0.0.1:65536", ip, &port));
  CU_ASSERT_FALSE (ash_address_parse ("localhost:80", ip, &port));
  CU_ASSERT_FALSE (ash_address_parse ("1111111111111111111:80", ip, &port));
}

static uint32_t
document_findings (const char *text, struct ash_findings *findings)
{
  struct ash_document document;

  ash_findings_init (findings, "test");
  ash_document_init (&document, 1, text, strlen (text), findings);
  ash_document_finish (&document);
  return findings->count;
}

static void
test_document_findings (void)
{
  struct ash_findings findings;

  CU_ASSERT_EQUAL (document_findings (DOC_START ENDPOINT ("m1"), &findings), 0);
  ash_findings_finish (&findings);
  CU_ASSERT_EQUAL (document_findings (DOC_START ENDPOINT ("m1") ENDPOINT ("m1"), &findings), 1);
  ash_findings_finish (&findings);
  CU_ASSERT_EQUAL (document_findings (DOC_START ENDPOINT ("e1"), &findings), 1);
  ash_findings_finish (&findings);
  CU_ASSERT_EQUAL (document_findings ("[[account]]\nname='a'\nclass='x'\nkey_hash='1'\n"
                                      "[[endpoint]]\nbox='b'\nhall='x'\nservice='x'\npeer='x'\n",
                                      &findings),
                   5);
  CU_ASSERT (has_finding (&findings, 4, "account[0].key_hash"));
  CU_ASSERT (has_finding (&findings, 1, "account[0]"));
  CU_ASSERT (has_finding (&findings, 5, "endpoint[0]"));
  ash_findings_finish (&findings);
  CU_ASSERT_EQUAL (document_findings ("{\"hall\":[{\"name\":\"h\"},3]}", &findings), 1);
  ash_findings_finish (&findings);
  CU_ASSERT_EQUAL (document_findings ("{\"hall\":", &findings), 1);
  ash_findings_finish (&findings);
}

/* ---- configuration ---- */

static enum ash_config_result
offer_config (struct ash_config *config, int64_t now_ms, uint64_t revision, const char *text)
{
  struct ash_findings findings;
  enum ash_config_result result;

  ash_findings_init (&findings, "test");
  result = ash_config_offer (config, at (now_ms), revision, text, strlen (text), 1000, &findings);
  ash_findings_finish (&findings);
  return result;
}

static void
test_config_never_reverts (void)
{
  struct ash_config config;

  ash_config_init (&config);
  CU_ASSERT_EQUAL (offer_config (&config, 0, 5, DOC_START), ASH_CONFIG_ACCEPTED);
  CU_ASSERT_EQUAL (offer_config (&config, 0, 4, DOC_START ENDPOINT ("m1")), ASH_CONFIG_OLDER);
  CU_ASSERT_EQUAL (offer_config (&config, 0, 5, DOC_START ENDPOINT ("m1")), ASH_CONFIG_SAME);
  CU_ASSERT_EQUAL (offer_config (&config, 0, 6, "nonsense"), ASH_CONFIG_REFUSED);
  CU_ASSERT_EQUAL (config.document.revision, 5);
  CU_ASSERT_EQUAL (offer_config (&config, 0, 6, "nonsense"), ASH_CONFIG_SAME);
  CU_ASSERT_EQUAL (offer_config (&config, 0, 7, DOC_START ENDPOINT ("m1")), ASH_CONFIG_ACCEPTED);
  CU_ASSERT_EQUAL (config.document.revision, 7);
  CU_ASSERT_EQUAL (config.document.endpoint_count, 1);
  ash_config_finish (&config);
}

static void
test_config_previous_homes (void)
{
  struct ash_config config;
  struct ash_id id = { 1, 2 };
  const char *homes[ASH_CONFIG_HISTORY_MAX];

  ash_config_init (&config);
  offer_config (&config, 0, 1, DOC_START ENDPOINT ("m1"));
  offer_config (&config, 100, 2, DOC_START ENDPOINT ("m2"));
  offer_config (&config, 200, 3, DOC_START ENDPOINT ("m3"));
  CU_ASSERT_EQUAL (ash_config_previous_homes (&config, "s", id, at (300), 1000, homes), 2);
  CU_ASSERT_STRING_EQUAL (homes[0], "m2");
  CU_ASSERT_STRING_EQUAL (homes[1], "m1");
  CU_ASSERT_EQUAL (ash_config_previous_homes (&config, "s", id, at (1150), 1000, homes), 1);
  CU_ASSERT_EQUAL (ash_config_previous_homes (&config, "s", id, at (1250), 1000, homes), 0);
  /* homes_since_s is 1: at 2 s of wall clock the set of homes is older than the key lifetime of
   * 1000 ms, so no key can have an earlier home. */
  CU_ASSERT (ash_config_homes_are_known (&config, "s", at (300), 2, 1000));
  CU_ASSERT_FALSE (ash_config_homes_are_known (&config, "s", at (300), 1, 1000));
  CU_ASSERT (ash_config_homes_are_known (&config, "s", at (1000), 1, 1000));
  /* After more changes than the history holds, earlier homes are unknown. */
  for (uint64_t i = 4; i < 4 + ASH_CONFIG_HISTORY_MAX; i++)
    offer_config (&config, 300, i, i % 2 ? DOC_START ENDPOINT ("m1") : DOC_START ENDPOINT ("m2"));
  CU_ASSERT_FALSE (ash_config_homes_are_known (&config, "s", at (1000), 1, 1000));
  ash_config_finish (&config);
}

/* ---- limits ---- */

static void
test_limits (void)
{
  struct ash_account account = { .name = "a", .rate_per_s = 10, .burst = 6 };
  struct ash_limits limits[3];
  uint32_t admitted = 0;

  for (int i = 0; i < 3; i++)
    ash_limits_init (&limits[i]);
  /* Three entries that do not communicate each receive a request every millisecond for ten seconds.
   * Together they must stay within the account's rate and burst. */
  for (int64_t ms = 0; ms < 10000; ms++)
    for (int i = 0; i < 3; i++)
      admitted += ash_limits_spend (&limits[i], at (ms), &account, 3) == 0;
  CU_ASSERT (admitted <= 106);
  CU_ASSERT (admitted >= 102);
  CU_ASSERT (ash_limits_spend (&limits[0], at (10000), &account, 3) > 0);
  CU_ASSERT (ash_limits_spend (&limits[0], at (10000), &account, 3) <= 301);
  for (int i = 0; i < 3; i++)
    ash_limits_finish (&limits[i]);
}

static void
test_retry_budget (void)
{
  struct ash_retry_budget budget;
  uint32_t retries = 0;

  ash_retry_budget_init (&budget);
  while (ash_retry_budget_spend (&budget))
    retries++;
  CU_ASSERT_EQUAL (retries, ASH_RETRY_CAP_MILLI / ASH_RETRY_COST_MILLI);
  for (int i = 0; i < 100; i++)
    ash_retry_budget_earn (&budget);
  for (retries = 0; ash_retry_budget_spend (&budget);)
    retries++;
  CU_ASSERT_EQUAL (retries, 100 * ASH_RETRY_EARN_MILLI / ASH_RETRY_COST_MILLI);
}

/* ---- membership ---- */

static void
test_membership_leaving (void)
{
  struct ash_membership membership;
  struct Ash__Heartbeat heartbeat = ASH__HEARTBEAT__INIT;
  char *boxes[] = { ash_proto_text ("m1") };
  uint64_t incarnations[] = { 11 };
  const struct ash_box *box;

  ash_membership_init (&membership);
  ash_membership_link_up (&membership, at (0), "m1", ASH__ROLE__ENDPOINT, 11, 0);
  box = ash_membership_find (&membership, "m1");
  CU_ASSERT (ash_box_usable (box));
  /* A peer reports that this incarnation is leaving. */
  heartbeat.leaving_boxes = boxes;
  heartbeat.n_leaving_boxes = 1;
  heartbeat.leaving_incarnations = incarnations;
  heartbeat.n_leaving_incarnations = 1;
  CU_ASSERT_EQUAL (ash_membership_heartbeat (&membership, "e2", &heartbeat), 1);
  CU_ASSERT_FALSE (ash_box_usable (box));
  /* A new incarnation is not leaving; a late report about the old incarnation changes nothing. */
  ash_membership_link_up (&membership, at (1), "m1", ASH__ROLE__ENDPOINT, 12, 0);
  CU_ASSERT (ash_box_usable (box));
  CU_ASSERT_EQUAL (ash_membership_heartbeat (&membership, "e2", &heartbeat), 0);
  CU_ASSERT (ash_box_usable (box));
  /* The endpoint itself reports that it is leaving. */
  heartbeat.n_leaving_boxes = 0;
  heartbeat.n_leaving_incarnations = 0;
  heartbeat.leaving = true;
  CU_ASSERT_EQUAL (ash_membership_heartbeat (&membership, "m1", &heartbeat), 1);
  CU_ASSERT_FALSE (ash_box_usable (box));
  /* The platform lists the endpoint as leaving; the mark does not apply to an incarnation that the
   * platform has not listed yet. */
  ash_membership_link_up (&membership, at (2), "m1", ASH__ROLE__ENDPOINT, 13, 0);
  CU_ASSERT (ash_membership_set_listed_leaving (&membership, "m1", true));
  CU_ASSERT_FALSE (ash_box_usable (box));
  ash_membership_link_up (&membership, at (3), "m1", ASH__ROLE__ENDPOINT, 14, 0);
  CU_ASSERT (ash_box_usable (box));
  ash_membership_link_down (&membership, "m1");
  CU_ASSERT_FALSE (ash_box_usable (box));
  ash_membership_finish (&membership);
}

/* ---- placement of experts ---- */

#define EXPERTS 32
#define RANKS 4
#define RANK_SLOTS 10

static const double even_speeds[RANKS] = { 1, 1, 1, 1 };

static void
make_tokens (struct ash_random *random, double *tokens)
{
  for (uint32_t e = 0; e < EXPERTS; e++)
    tokens[e] = 1 + ash_random_below (random, 1000);
}

static bool
has_all_experts (const struct ash_expert_placement *placement)
{
  for (uint32_t e = 0; e < EXPERTS; e++)
    {
      bool found = false;

      for (uint32_t s = 0; s < RANKS * RANK_SLOTS; s++)
        found |= placement->slots[s] == e;
      if (!found)
        return false;
    }
  return true;
}

/* For random loads: no expert is lost, each decision stays within the maximum number of moves, and
 * the moves do not increase the predicted skew. */
static void
test_expert_policy_any (void)
{
  struct ash_expert_weights weights = { .skew = 1, .cost = 0.1, .horizon = 10, .moves = 5 };
  struct ash_random random;
  double tokens[EXPERTS];

  ash_random_init (&random, 1);
  for (int round = 0; round < 200; round++)
    {
      struct ash_expert_placement placement = { .rank_count = RANKS,
                                                .rank_slots = RANK_SLOTS,
                                                .expert_count = EXPERTS };
      struct ash_expert_policy policy;
      struct ash_expert_decision decision;

      make_tokens (&random, tokens);
      ash_expert_repack (&placement, tokens);
      CU_ASSERT (has_all_experts (&placement));
      ash_expert_policy_init (&policy, EXPERTS, &weights);
      make_tokens (&random, tokens);
      for (int i = 0; i < 5; i++)
        {
          ash_expert_policy_report (&policy, tokens);
          ash_expert_policy_decide (&policy, &placement, even_speeds, &decision);
          CU_ASSERT (decision.move_count <= weights.moves);
          CU_ASSERT (decision.skew_after <= decision.skew_before + 1e-9);
          ash_expert_placement_apply (&placement, decision.moves, decision.move_count);
          CU_ASSERT (has_all_experts (&placement));
        }
    }
}

static void
test_expert_policy_hysteresis (void)
{
  struct ash_expert_weights weights = { .skew = 1, .cost = 0.1, .horizon = 10, .moves = 5 };
  struct ash_expert_placement placement = { .rank_count = RANKS,
                                            .rank_slots = RANK_SLOTS,
                                            .expert_count = EXPERTS };
  struct ash_expert_policy policy;
  struct ash_expert_decision decision;
  struct ash_random random;
  double usual_tokens[EXPERTS];
  double other_tokens[EXPERTS];

  ash_random_init (&random, 2);
  make_tokens (&random, usual_tokens);
  make_tokens (&random, other_tokens);
  ash_expert_repack (&placement, usual_tokens);
  ash_expert_policy_init (&policy, EXPERTS, &weights);
  for (int i = 0; i < 30; i++)
    ash_expert_policy_report (&policy, usual_tokens);
  ash_expert_policy_decide (&policy, &placement, even_speeds, &decision);
  CU_ASSERT_EQUAL (decision.move_count, 0);
  /* A single unusual report causes no moves; a lasting change of load does. */
  ash_expert_policy_report (&policy, other_tokens);
  ash_expert_policy_decide (&policy, &placement, even_speeds, &decision);
  CU_ASSERT_EQUAL (decision.move_count, 0);
  for (int i = 0; i < 20; i++)
    ash_expert_policy_report (&policy, other_tokens);
  ash_expert_policy_decide (&policy, &placement, even_speeds, &decision);
  CU_ASSERT (decision.move_count > 0);
  CU_ASSERT (decision.skew_after < decision.skew_before);
  /* At a cost that no gain can outweigh, the policy moves nothing and reports the gain that it
   * refused. */
  policy.weights.cost = 1000;
  ash_expert_policy_decide (&policy, &placement, even_speeds, &decision);
  CU_ASSERT_EQUAL (decision.move_count, 0);
  CU_ASSERT (decision.refused_gain > 0);
}

/* ---- keys and ids ---- */

static void
test_minted_keys (void)
{
  static const uint8_t fleet_key[ASH_FLEET_KEY_BYTES] = { 1 };
  static const uint8_t other_key[ASH_FLEET_KEY_BYTES] = { 2 };
  struct ash_minted_key key = { "box.with.dots", 0xfeed, 1234, 7 };
  struct ash_minted_key read;
  char text[ASH_MINTED_KEY_BYTES];

  ash_minted_key_format (&key, fleet_key, text);
  CU_ASSERT (ash_minted_key_claimed (text));
  CU_ASSERT (ash_minted_key_parse (text, fleet_key, &read));
  CU_ASSERT_STRING_EQUAL (read.home, key.home);
  CU_ASSERT_EQUAL (read.incarnation, key.incarnation);
  CU_ASSERT_EQUAL (read.expires_s, key.expires_s);
  CU_ASSERT_FALSE (ash_minted_key_parse (text, other_key, &read));
  for (size_t i = 0; i < strlen (text); i++)
    {
      text[i] ^= 1;
      CU_ASSERT_FALSE (ash_minted_key_parse (text, fleet_key, &read));
      text[i] ^= 1;
    }
  CU_ASSERT_FALSE (ash_minted_key_parse ("ash1.", fleet_key, &read));
  CU_ASSERT_FALSE (ash_minted_key_parse ("order-17", fleet_key, &read));
}

static void
test_ids_of_keys (void)
{
  struct ash_id id = ash_id_from_key ("a", "s", "k");

  CU_ASSERT (ash_id_equal (id, ash_id_from_key ("a", "s", "k")));
  CU_ASSERT_FALSE (ash_id_equal (id, ash_id_from_key ("b", "s", "k")));
  CU_ASSERT_FALSE (ash_id_equal (id, ash_id_from_key ("as", "", "k")));
  CU_ASSERT_FALSE (ash_id_equal (id, ash_id_from_key ("a", "sk", "")));
}

/* Equal requests get the same id; another account, target or body gives another id. */
static void
test_ids_of_requests (void)
{
  struct ash_id id = ash_id_from_request ("a", "/t", "body", 4);

  CU_ASSERT (ash_id_equal (id, ash_id_from_request ("a", "/t", "body", 4)));
  CU_ASSERT_FALSE (ash_id_equal (id, ash_id_from_request ("b", "/t", "body", 4)));
  CU_ASSERT_FALSE (ash_id_equal (id, ash_id_from_request ("a", "/t?x", "body", 4)));
  CU_ASSERT_FALSE (ash_id_equal (id, ash_id_from_request ("a", "/t", "bodz", 4)));
  CU_ASSERT_FALSE (ash_id_equal (id, ash_id_from_request ("a/", "t", "body", 4)));
  CU_ASSERT_FALSE (ash_id_equal (id, ash_id_from_request ("a", "/t", NULL, 0)));
}

/* ---- frames and handshakes ---- */

static void
test_frames (void)
{
  struct ash_frame_key out_key = { .on = true, .key = { 1 } };
  struct ash_frame_key in_key = { .on = true, .key = { 1 } };
  struct ash_buffer buffer = { 0 };
  struct Ash__Cancel cancel = ASH__CANCEL__INIT;
  struct Ash__Event event = ASH__EVENT__INIT;
  struct Ash__Event *read;
  uint8_t copy[256];
  size_t length;

  cancel.attempt = 77;
  event.kind_case = ASH__EVENT__KIND_CANCEL;
  event.cancel = &cancel;
  CU_ASSERT (ash_frame_write (&buffer, &out_key, &event));
  length = buffer.length;
  memcpy (copy, buffer.bytes, length);
  /* A frame that lacks its last byte is incomplete. */
  buffer.length = length - 1;
  CU_ASSERT_EQUAL (ash_frame_read (&buffer, &in_key, &read), ASH_FRAME_INCOMPLETE);
  buffer.length = length;
  CU_ASSERT_EQUAL (ash_frame_read (&buffer, &in_key, &read), ASH_FRAME_COMPLETE);
  CU_ASSERT_EQUAL (read->cancel->attempt, 77);
  ash__event__free_unpacked (read, NULL);
  /* A replayed frame is invalid: the receiver expects the next sequence number. */
  memcpy (ash_buffer_reserve (&buffer, length), copy, length);
  buffer.length = length;
  CU_ASSERT_EQUAL (ash_frame_read (&buffer, &in_key, &read), ASH_FRAME_INVALID);
  ash_buffer_finish (&buffer);
}

static void
test_frames_bounded (void)
{
  struct ash_frame_key key = { 0 };
  struct ash_buffer buffer = { 0 };
  struct Ash__Stop stop = ASH__STOP__INIT;
  struct Ash__Event event = ASH__EVENT__INIT;
  struct Ash__Event *read;
  uint8_t *at_start = ash_buffer_reserve (&buffer, 8);

  /* Before the handshake has authenticated the peer, a length prefix must not make the receiver
   * allocate a large buffer. */
  memcpy (at_start, "\x00\x01\x00\x00xxxx", 8);
  buffer.length = 8;
  CU_ASSERT_EQUAL (ash_frame_read (&buffer, &key, &read), ASH_FRAME_INVALID);
  ash_buffer_finish (&buffer);
  /* Events that are local to a process, and garbage, are rejected when received on a link. */
  event.kind_case = ASH__EVENT__KIND_STOP;
  event.stop = &stop;
  CU_ASSERT (ash_frame_write (&buffer, &key, &event));
  CU_ASSERT_EQUAL (ash_frame_read (&buffer, &key, &read), ASH_FRAME_INVALID);
  ash_buffer_finish (&buffer);
  memcpy (ash_buffer_reserve (&buffer, 8), "\x00\x00\x00\x04\xff\xff\xff\xff", 8);
  buffer.length = 8;
  CU_ASSERT_EQUAL (ash_frame_read (&buffer, &key, &read), ASH_FRAME_INVALID);
  ash_buffer_finish (&buffer);
}

static void
test_handshake (void)
{
  static const uint8_t fleet_key[ASH_FRAME_KEY_BYTES] = { 1 };
  static const uint8_t other_key[ASH_FRAME_KEY_BYTES] = { 2 };
  struct ash_nonces nonces = { { 1 }, { 2 } };
  struct ash_nonces other_link = { { 9 }, { 2 } };
  struct Ash__Hello hello = ASH__HELLO__INIT;
  struct ash_frame_key dial;
  struct ash_frame_key accept;
  uint8_t proof[ASH_PROOF_BYTES];

  hello.box = ash_proto_text ("e1");
  hello.incarnation = 5;
  ash_handshake_prove (fleet_key, &nonces, ASH_SIDE_DIAL, &hello, proof);
  hello.proof.data = proof;
  hello.proof.len = sizeof proof;
  CU_ASSERT (ash_handshake_check (fleet_key, &nonces, ASH_SIDE_DIAL, &hello));
  CU_ASSERT_FALSE (ash_handshake_check (other_key, &nonces, ASH_SIDE_DIAL, &hello));
  /* The handshake is replayed on another link, or reflected to its sender. */
  CU_ASSERT_FALSE (ash_handshake_check (fleet_key, &other_link, ASH_SIDE_DIAL, &hello));
  CU_ASSERT_FALSE (ash_handshake_check (fleet_key, &nonces, ASH_SIDE_ACCEPT, &hello));
  hello.incarnation = 6;
  CU_ASSERT_FALSE (ash_handshake_check (fleet_key, &nonces, ASH_SIDE_DIAL, &hello));
  ash_handshake_frame_key (fleet_key, &nonces, ASH_SIDE_DIAL, &dial);
  ash_handshake_frame_key (fleet_key, &nonces, ASH_SIDE_ACCEPT, &accept);
  CU_ASSERT (memcmp (dial.key, accept.key, sizeof dial.key) != 0);
}

static void
test_frame_delay (void)
{
  struct ash_frame_delay delay;
  int64_t latest = 0;

  ash_frame_delay_init (&delay);
  /* The delay grows by 5 ms with each heartbeat: the link is never silent, but its frames arrive
   * later and later. */
  for (int64_t i = 0; i < 1000; i++)
    latest = ash_frame_delay_ms (&delay, at (1000000 + i * 500 + i * 5), (uint32_t) (i * 500));
  CU_ASSERT (latest > 4000);
  /* The clocks drift by 100 parts per million for a day, and the 32-bit send time wraps around. */
  ash_frame_delay_init (&delay);
  for (int64_t i = 0; i < 86400; i++)
    {
      int64_t late = ash_frame_delay_ms (&delay, at (i * 1000 + i / 10),
                                         (uint32_t) (UINT32_MAX - 1000 + i * 1000));

      latest = late > latest || i == 0 ? late : latest;
    }
  CU_ASSERT (latest <= 2);
}

/* ---- events, log and metrics as text ---- */

static void
test_events_as_text (void)
{
  static const char *const good[] = {
    "m1 refused id_hi=1 attempt=7 reason=LIMIT outcome=NOT_RUN",
    "- reply_data call=3 bytes=\"a\\\"b\\\\\\x00\\xff\"",
    "e1 heartbeat leaving=true leaving_boxes=\"x\" leaving_boxes=\"y\""
  };
  static const char *const bad[] = { "",
                                     "m1",
                                     "m1 nothing",
                                     "m1 cancel attempt=x",
                                     "m1 cancel attempt",
                                     "m1 refused reason=NO",
                                     "- reply_data bytes=\"open",
                                     "- tick woke=maybe",
                                     "m1 cancel attempt=1 attempt=2",
                                     "- reply_data bytes=\"a\" bytes=\"b\"",
                                     "- reply_data bytes=\"a\\x0" };
  const char *error;

  for (size_t i = 0; i < sizeof good / sizeof good[0]; i++)
    {
      struct Ash__Event *event = ash_event_parse (good[i], &error);
      char *text = NULL;
      size_t text_bytes;
      FILE *out = open_memstream (&text, &text_bytes);

      CU_ASSERT_PTR_NOT_NULL_FATAL (event);
      ash_event_print (event, out);
      fclose (out);
      CU_ASSERT_STRING_EQUAL (text, good[i]);
      free (text);
      ash__event__free_unpacked (event, NULL);
    }
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      CU_ASSERT_PTR_NULL (ash_event_parse (bad[i], &error));
      CU_ASSERT_PTR_NOT_NULL (error);
    }
}

struct catalogue_row
{
  int number;
  const char *level;
  const char *name;
  const char *text;
};

#define CATALOGUE_ROW(number, level, name, text) { number, #level, #name, text },
static const struct catalogue_row catalogue[] = { ASH_EVENT_LIST (CATALOGUE_ROW) };

/* docs/EVENTS.md lists exactly the events of the source, with their levels and meanings. */
static void
test_event_catalogue (void)
{
  FILE *file = fopen ("docs/EVENTS.md", "r");
  char line[512];
  size_t rows = 0;

  CU_ASSERT_PTR_NOT_NULL_FATAL (file);
  while (fgets (line, sizeof line, file))
    {
      char expected[512];
      char name[64] = "";

      if (line[0] != '|' || line[2] < '0' || line[2] > '9')
        continue;
      CU_ASSERT_FATAL (rows < sizeof catalogue / sizeof catalogue[0]);
      for (size_t i = 0; catalogue[rows].name[i]; i++)
        name[i] = (char) (catalogue[rows].name[i] | (catalogue[rows].name[i] == '_' ? 0 : 0x20));
      snprintf (expected, sizeof expected, "| %d | %s | `%s` | %s |\n", catalogue[rows].number,
                catalogue[rows].level, name, catalogue[rows].text);
      CU_ASSERT_STRING_EQUAL (line, expected);
      rows++;
    }
  fclose (file);
  CU_ASSERT_EQUAL (rows, sizeof catalogue / sizeof catalogue[0]);
}

static void
format_escaped (char *out, size_t out_bytes, enum ash_escape escape, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  ash_escape_vformat (out, out_bytes, escape, format, args);
  va_end (args);
}

/* Texts from outside ended log lines and labels, and began others. */
static void
test_escape (void)
{
  char text[600];
  char plain[600];
  char name[2] = "";
  char long_name[500];

  format_escaped (text, sizeof text, ASH_ESCAPE_LOG, "a=%s b=\"%s\" c=%s", "x y\r\nz\"\\",
                  "x y\"\n", "\x1b[2J\xc3\xa4");
  CU_ASSERT_STRING_EQUAL (
      text, "a=x\\x20y\\x0D\\x0Az\\x22\\x5C b=\"x y\\x22\\x0A\" c=\\x1B[2J\\xC3\\xA4");
  format_escaped (text, sizeof text, ASH_ESCAPE_LABEL, "a=\"%s\",b=\"%s\"", "x y\"\\", "\n\t");
  CU_ASSERT_STRING_EQUAL (text, "a=\"x y\\\"\\\\\",b=\"\\\\x0A\\\\x09\"");
  for (int i = 1; i < 256; i++)
    {
      name[0] = (char) i;
      format_escaped (text, sizeof text, ASH_ESCAPE_LOG, "%s", name);
      CU_ASSERT_EQUAL (strlen (text) == 1, i > ' ' && i < 0x7f && i != '"' && i != '\\');
      CU_ASSERT_EQUAL (strcspn (text, " \"\r\n\x1b"), strlen (text));
    }
  /* Numbers and plain texts are formatted as by snprintf(). */
  format_escaped (text, sizeof text, ASH_ESCAPE_LOG, "%d %u %5d|%-4u|%016llx %lld %llu %zu %.3f",
                  -7, 4000000000U, 42, 7U, 0xabcULL, -5LL, (unsigned long long) UINT64_MAX,
                  (size_t) 99, 1.0005);
  snprintf (plain, sizeof plain, "%d %u %5d|%-4u|%016llx %lld %llu %zu %.3f", -7, 4000000000U, 42,
            7U, 0xabcULL, -5LL, (unsigned long long) UINT64_MAX, (size_t) 99, 1.0005);
  CU_ASSERT_STRING_EQUAL (text, plain);
  format_escaped (text, sizeof text, ASH_ESCAPE_LOG, "%.3s|%s|%.1f", "abcdef", "plain", -2.25);
  CU_ASSERT_STRING_EQUAL (text, "abc|plain|-2.2");
  /* Long texts end in a mark, and leave room for what follows. */
  memset (long_name, 'a', sizeof long_name - 1);
  long_name[sizeof long_name - 1] = '\0';
  format_escaped (text, sizeof text, ASH_ESCAPE_LOG, "a=%s b=1", long_name);
  CU_ASSERT_EQUAL (strlen (text), strlen ("a= b=1") + ASH_ESCAPE_LOG_MAX_BYTES);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "aaa... b=1"));
  format_escaped (text, 8, ASH_ESCAPE_LOG, "a=%s b=1", long_name);
  CU_ASSERT_STRING_EQUAL (text, "a=aaaaa");
}

static void
test_log_forms (void)
{
  char *text = NULL;
  size_t text_bytes;
  FILE *out = open_memstream (&text, &text_bytes);
  struct ash_log_sink sink = { .out = out, .level = ASH_LOG_INFO, .json = false, .box = "e1" };
  struct ash_log log = { &sink, "test" };

  ash_log_event (&log, ASH_EV_REQUEST_SENT, "id=1");
  ash_log_event (&log, ASH_EV_LINK_DOWN, "box=m1 why=\"can't read\"");
  sink.json = true;
  ash_log_event (&log, ASH_EV_LINK_DOWN, "box=m1 why=\"can't read\"");
  fclose (out);
  CU_ASSERT_PTR_NULL (strstr (text, "request_sent"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, " info 301 link_down box=e1 module=test box=m1 why=\"can't read\"\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "\"event\":301,\"name\":\"link_down\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "\"why\":\"can't read\""));
  free (text);
}

static void
test_metrics (void)
{
  struct ash_metrics metrics;
  char *text = NULL;
  size_t text_bytes;
  FILE *out = open_memstream (&text, &text_bytes);

  ash_metrics_init (&metrics);
  ash_metrics_add (&metrics, "ash_a_total", "class=\"c\"", 2);
  ash_metrics_observe (&metrics, "ash_b_ms", "", 3);
  ash_metrics_observe (&metrics, "ash_b_ms", "", 1000000);
  for (int i = 0; i < 2 * ASH_METRICS_SERIES_MAX; i++)
    {
      char labels[32];

      snprintf (labels, sizeof labels, "n=\"%d\"", i);
      ash_metrics_add (&metrics, "ash_c_total", labels, 1);
    }
  CU_ASSERT_EQUAL (metrics.count, ASH_METRICS_SERIES_MAX);
  ash_metrics_print (&metrics, out);
  fclose (out);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "# TYPE ash_a_total counter\nash_a_total{class=\"c\"} 2\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "ash_b_ms_bucket{le=\"2\"} 0\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "ash_b_ms_bucket{le=\"4\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "ash_b_ms_bucket{le=\"+Inf\"} 2\n"));
  free (text);
  ash_metrics_finish (&metrics);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  if (sodium_init () < 0)
    return EXIT_FAILURE;
  CU_initialize_registry ();
  suite = CU_add_suite ("unit", NULL, NULL);
  CU_add_test (suite, "settings: all findings at once", test_settings_all_findings);
  CU_add_test (suite, "settings: syntax", test_settings_syntax);
  CU_add_test (suite, "settings: addresses", test_addresses);
  CU_add_test (suite, "document: findings", test_document_findings);
  CU_add_test (suite, "configuration: never reverts", test_config_never_reverts);
  CU_add_test (suite, "configuration: past homes", test_config_previous_homes);
  CU_add_test (suite, "limits: parts make no more than the whole", test_limits);
  CU_add_test (suite, "retry budget", test_retry_budget);
  CU_add_test (suite, "membership: leaving, life by life", test_membership_leaving);
  CU_add_test (suite, "experts: any loads", test_expert_policy_any);
  CU_add_test (suite, "experts: patience, and a price", test_expert_policy_hysteresis);
  CU_add_test (suite, "keys: minted", test_minted_keys);
  CU_add_test (suite, "keys: ids", test_ids_of_keys);
  CU_add_test (suite, "requests: ids of what is asked", test_ids_of_requests);
  CU_add_test (suite, "links: frames", test_frames);
  CU_add_test (suite, "links: frames are bounded", test_frames_bounded);
  CU_add_test (suite, "links: handshake", test_handshake);
  CU_add_test (suite, "links: lateness", test_frame_delay);
  CU_add_test (suite, "texts: events", test_events_as_text);
  CU_add_test (suite, "texts: the catalogue of events", test_event_catalogue);
  CU_add_test (suite, "texts: log", test_log_forms);
  CU_add_test (suite, "texts: from outside in logs and metrics", test_escape);
  CU_add_test (suite, "texts: metrics", test_metrics);
  add_declared_tests (suite);
  add_config_tests (suite);
  add_era_tests (suite);
  add_peer_tests (suite);
  add_prompt_tests (suite);
  add_rows_tests (suite);
  add_quarantine_tests (suite);
  add_part_quarantine_tests (suite);
  add_terms_tests (suite);
  add_evacuation_tests (suite);
  add_router_tests (suite);
  add_expert_tests (suite);
  add_map_tests (suite);
  add_answer_tests (suite);
  add_call_tests (suite);
  add_fetch_tests (suite);
  add_cli_tests (suite);
  add_platform_tests (suite);
  add_trace_tests (suite);
  add_router_world_tests (suite);
  add_priority_room_tests (suite);
  add_outlier_tests (suite);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
