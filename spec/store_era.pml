/*
 * A store that is restored from an older copy, and a reader that polls it. The store assigns a
 * revision to each write. A restore resets the revision counter to that of the copy, so that
 * revisions are assigned twice, and increments the era. The operator repeats the writes that were
 * lost. The reader polls for writes after its store position (revision and era); if the era has
 * changed or the position is ahead of the store, it reads the whole store instead.
 *
 * Properties, checked by assert(): once the last change of the operator is in the store, one more
 * poll delivers it to the reader; the active version of the reader never decreases.
 *
 * Broken variants, each of which must violate an assertion:
 *   IGNORE_ERA      the reader compares only the revision of its position, not the era
 *   ACCEPT_OLDER    the reader activates the version of a whole read even if it is older
 */
#define VERSIONS 3
#define SERVER_WRITES 3
#define RESTORES 2

/* The store: its revision counter and era; version of the configuration, and revision of the write
 * of that version. */
byte revision = 1;
byte era = 0;
byte version = 1;
byte written_revision = 1;

/* A copy of the store, from which it may be restored. */
byte copy_revision = 1;
byte copy_version = 1;
byte copy_written_revision = 1;

byte newest = 1; /* newest version that the operator has written */
byte active_version = 0;
byte position_revision = 0;
byte position_era = 0;
byte finished = 0;

inline write (v)
{
  revision++;
  version = v;
  written_revision = revision
}

inline accept (v)
{
  if
  :: v > active_version -> active_version = v
  :: else -> skip
  fi
}

inline read_all ()
{
#ifdef ACCEPT_OLDER
  assert (version >= active_version);
  active_version = version;
#else
  accept (version);
#endif
  position_revision = revision;
  position_era = era
}

inline poll ()
{
  if
#ifndef IGNORE_ERA
  :: position_era != era -> read_all ()
  :: position_era == era && position_revision > revision -> read_all ()
  :: position_era == era && position_revision <= revision ->
#else
  :: position_revision > revision -> read_all ()
  :: position_revision <= revision ->
#endif
    if
    :: written_revision > position_revision -> accept (version)
    :: else -> skip
    fi;
    position_revision = revision
  fi
}

active proctype Operator ()
{
  do
  :: newest < VERSIONS -> atomic { newest++; write (newest) }
  :: atomic { version < newest -> write (newest) }
  :: atomic { finished >= 2 && newest == VERSIONS && version == newest -> finished++; break }
  od
}

active proctype Servers ()
{
  byte writes = 0;

  do
  :: writes < SERVER_WRITES -> atomic { revision++; writes++ }
  :: break
  od;
  finished++
}

active proctype Platform ()
{
  byte restores = 0;

  do
  :: atomic {
       copy_revision = revision;
       copy_version = version;
       copy_written_revision = written_revision
     }
  :: atomic {
       restores < RESTORES ->
       revision = copy_revision;
       version = copy_version;
       written_revision = copy_written_revision;
       era++;
       restores++
     }
  :: break
  od;
  finished++
}

active proctype Reader ()
{
  do
  :: atomic { finished < 3 -> poll () }
  :: atomic {
       finished == 3 ->
       poll ();
       assert (active_version == newest);
       break
     }
  od
}
