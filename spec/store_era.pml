/*
 * A store that comes back from an older copy, and a reader of it. The store gives each write a
 * revision; a restore goes back to a copy's revisions, which are then given out again, and raises the
 * era. The operator writes what was lost again. The reader asks on from where it was; a store that has
 * not got that far says so, and then all is read.
 *
 * Proved: once the operator's last change is in the store, one more question brings it to the
 * reader; what the reader has in force never goes back.
 *
 * Broken variants:
 *   REVISION_ALONE  the reader goes on by the revision, whatever the era
 *   TAKE_OLDER      it takes what a whole reading has, also an older one
 */
#define VERSIONS 3
#define SERVER_WRITES 3
#define RESTORES 2

/* The store: its counter, and the configuration's version and revision. */
byte revision = 1;
byte era = 0;
byte version = 1;
byte written = 1;

/* A copy of it. */
byte copy_revision = 1;
byte copy_version = 1;
byte copy_written = 1;

byte newest = 1; /* that the operator has written */
byte in_force = 0;
byte place_revision = 0;
byte place_era = 0;
byte ended = 0;

inline write (v)
{
  revision++;
  version = v;
  written = revision
}

inline take (v)
{
  if
  :: v > in_force -> in_force = v
  :: else -> skip
  fi
}

inline read_all ()
{
#ifdef TAKE_OLDER
  assert (version >= in_force);
  in_force = version;
#else
  take (version);
#endif
  place_revision = revision;
  place_era = era
}

inline ask ()
{
  if
#ifndef REVISION_ALONE
  :: place_era != era -> read_all ()
  :: place_era == era && place_revision > revision -> read_all ()
  :: place_era == era && place_revision <= revision ->
#else
  :: place_revision > revision -> read_all ()
  :: place_revision <= revision ->
#endif
    if
    :: written > place_revision -> take (version)
    :: else -> skip
    fi;
    place_revision = revision
  fi
}

active proctype Operator ()
{
  do
  :: newest < VERSIONS -> atomic { newest++; write (newest) }
  :: atomic { version < newest -> write (newest) }
  :: atomic { ended >= 2 && newest == VERSIONS && version == newest -> ended++; break }
  od
}

active proctype Servers ()
{
  byte writes = 0;

  do
  :: writes < SERVER_WRITES -> atomic { revision++; writes++ }
  :: break
  od;
  ended++
}

active proctype Platform ()
{
  byte restores = 0;

  do
  :: atomic {
       copy_revision = revision;
       copy_version = version;
       copy_written = written
     }
  :: atomic {
       restores < RESTORES ->
       revision = copy_revision;
       version = copy_version;
       written = copy_written;
       era++;
       restores++
     }
  :: break
  od;
  ended++
}

active proctype Reader ()
{
  do
  :: atomic { ended < 3 -> ask () }
  :: atomic {
       ended == 3 ->
       ask ();
       assert (in_force == newest);
       break
     }
  od
}
