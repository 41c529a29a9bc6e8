#include "controllers/agent_send.h"

/* Maximum bytes of an answer in one message. */
#define DATA_MAX_BYTES 65536

void
ash_agent_send_refused (struct ash_agent *agent,
                        const struct ash_requester *requester,
                        int reason,
                        int outcome)
{
  struct Ash__Refused refused = ASH__REFUSED__INIT;
  uint32_t base_ms = agent->settings->retry_after_ms;

  refused.id_hi = requester->id.hi;
  refused.id_lo = requester->id.lo;
  refused.incarnation = agent->incarnation;
  refused.attempt = requester->attempt;
  refused.reason = (Ash__Reason) reason;
  refused.outcome = (Ash__Outcome) outcome;
  /* Random, so that requests refused together are not retried together. */
  refused.retry_ms = base_ms + ash_random_below (&agent->random, base_ms);
  ash_emit (&agent->sink, requester->peer, ASH__EVENT__KIND_REFUSED, &refused);
}

void
ash_agent_send_head (struct ash_agent *agent,
                     const struct ash_record *record,
                     const char *peer,
                     uint64_t attempt)
{
  struct Ash__Head head = ASH__HEAD__INIT;

  head.id_hi = record->id.hi;
  head.id_lo = record->id.lo;
  head.incarnation = agent->incarnation;
  head.attempt = attempt;
  head.status = record->answer.status;
  head.content_type =
      record->answer.content_type ? record->answer.content_type : ash_proto_text ("");
  head.wait_ms = record->wait_ms;
  ash_emit (&agent->sink, peer, ASH__EVENT__KIND_HEAD, &head);
}

void
ash_agent_send_data (struct ash_agent *agent,
                     const struct ash_record *record,
                     const char *peer,
                     uint64_t attempt,
                     uint64_t offset)
{
  struct Ash__Data data = ASH__DATA__INIT;
  uint64_t end = record->answer.base + record->answer.length;

  data.id_hi = record->id.hi;
  data.id_lo = record->id.lo;
  data.incarnation = agent->incarnation;
  data.attempt = attempt;
  while (offset < end)
    {
      size_t length = end - offset < DATA_MAX_BYTES ? end - offset : DATA_MAX_BYTES;

      data.offset = offset;
      data.bytes.data = record->answer.bytes + (offset - record->answer.base);
      data.bytes.len = length;
      ash_emit (&agent->sink, peer, ASH__EVENT__KIND_DATA, &data);
      offset += length;
    }
}

void
ash_agent_send_end (struct ash_agent *agent,
                    const struct ash_record *record,
                    const char *peer,
                    uint64_t attempt,
                    bool whole,
                    int reason)
{
  struct Ash__End end = ASH__END__INIT;

  end.id_hi = record->id.hi;
  end.id_lo = record->id.lo;
  end.incarnation = agent->incarnation;
  end.attempt = attempt;
  end.length = record->answer.base + record->answer.length;
  end.whole = whole;
  end.reason = (Ash__Reason) reason;
  ash_emit (&agent->sink, peer, ASH__EVENT__KIND_END, &end);
}
