#include "controllers/seen_changes.h"

#include "common/id.h"

/* Odd, so that a name's digest also depends on its contents' digest. */
#define CONTENTS_FACTOR UINT64_C (0x9e3779b97f4a7c15)

static uint64_t *
slot_of (struct ash_seen_changes *seen, uint64_t name)
{
  return &seen->digests[name % ASH_SEEN_CHANGES_MAX];
}

bool
ash_seen_changes_add (struct ash_seen_changes *seen,
                      const char *name,
                      const void *contents,
                      size_t contents_bytes)
{
  uint64_t name_digest = ash_hash_text (name);
  uint64_t digest = name_digest ^ ash_hash_bytes (contents, contents_bytes) * CONTENTS_FACTOR;
  uint64_t *slot = slot_of (seen, name_digest);
  bool is_new = *slot != digest;

  *slot = digest;
  return is_new;
}

void
ash_seen_changes_remove (struct ash_seen_changes *seen, const char *name)
{
  *slot_of (seen, ash_hash_text (name)) = 0;
}
