/*
 * Which configuration is in force. A platform that is read only and may answer an
 * older revision or not at all; two operators who plan on a base, have the plan
 * confirmed at a box and publish it; boxes that learn from the platform and from
 * each other, and are replaced one after the other, with nothing left.
 *
 * Holds:
 * - no box ever goes back to an older revision;
 * - nor does a box that was replaced serve with an older one than before, once that
 *   revision had reached all boxes, if it has heard one of them before it serves;
 * - of two operators on one base one wins: what is published on a base that has moved
 *   would take back the other's change.
 *
 * Left out: what is in a document; a revision that had not reached all boxes when the
 * one that served with it was replaced, while the platform answers an older one.
 *
 * Broken variants, each must be seen to fail:
 *   TAKE_OLDER        a box takes whatever it hears
 *   SERVE_AT_ONCE     a replaced box serves before it has heard its peers
 *   USED_REVISION     the platform takes a revision that it has already
 */

#define BOXES 3
#define LAST 3 /* revisions that are published at most */

byte newest = 1;        /* at the platform */
bool stale = false;     /* it may answer any older one */
byte base_of[LAST + 1]; /* the revision that a published one was planned on */

byte rev[BOXES];     /* in force; 0: none yet */
bool serves[BOXES];  /* it answers callers */
byte was[BOXES];     /* the newest that it ever served with, over its lives */
bool heard[BOXES];   /* it has heard a peer in this life */
byte spread;         /* the newest revision that all boxes have had at once */
byte replaced = BOXES; /* the box that was replaced last and does not serve yet */

inline note_spread (r)
{
  byte i;
  byte have = 0;
  i = 0;
  do
  :: i < BOXES -> have = have + (rev[i] >= r); i++
  :: else -> break
  od;
  if
  :: have == BOXES && r > spread -> spread = r
  :: else
  fi;
  i = 0;
  have = 0
}

inline learn (b, r)
{
  if
#ifdef TAKE_OLDER
  :: r > 0 ->
#else
  :: r > rev[b] ->
#endif
     assert (r >= rev[b]);
     rev[b] = r;
     note_spread (r)
  :: else
  fi
}

/* A box: learns, begins to serve, is replaced. */
proctype box (byte b)
{
  byte p;

end:
  do
  /* the platform answers: the newest, or, when stale, any */
  :: atomic { learn (b, newest) }
  :: atomic { stale ->
       if
       :: learn (b, 1)
       :: newest > 1 -> learn (b, 2)
       fi }
  /* a peer is heard: what it has in force comes with it */
  :: atomic { p = (b + 1) % BOXES; heard[b] = true; learn (b, rev[p]); p = 0 }
  :: atomic { p = (b + 2) % BOXES; heard[b] = true; learn (b, rev[p]); p = 0 }
  /* it begins to serve */
#ifdef SERVE_AT_ONCE
  :: atomic { !serves[b] && rev[b] > 0 ->
#else
  :: atomic { !serves[b] && rev[b] > 0 && heard[b] ->
#endif
       serves[b] = true;
       if
       :: replaced == b -> replaced = BOXES
       :: else
       fi;
       assert (rev[b] >= was[b] || was[b] > spread) }
  :: atomic { serves[b] && rev[b] > was[b] -> was[b] = rev[b] }
  /* it is replaced, one at a time */
  :: atomic { serves[b] && replaced == BOXES ->
       if
       :: rev[b] > was[b] -> was[b] = rev[b]
       :: else
       fi;
       replaced = b; serves[b] = false; rev[b] = 0; heard[b] = false }
  od
}

/* An operator: plans on what box b has in force, has it confirmed, publishes. */
proctype operator (byte b)
{
  byte base;
  bool confirmed = false;

  do
  :: atomic { serves[b] -> base = rev[b]; confirmed = false; break }
  od;
  do
  :: atomic { serves[b] && rev[b] == base -> confirmed = true; break }
  :: atomic { serves[b] && rev[b] != base -> break } /* refused: the base has moved */
  od;
  if
  :: atomic { confirmed && base < LAST ->
       if
#ifdef USED_REVISION
       :: true ->
#else
       :: base + 1 > newest ->
#endif
          /* published: nobody else's change on that base is taken back */
          assert (base_of[base + 1] == 0);
          base_of[base + 1] = base;
          newest = base + 1
       :: else /* the platform refuses a revision that it has */
       fi }
  :: else
  fi
}

active proctype platform ()
{
end:
  do
  :: stale = true
  :: stale = false
  od
}

init
{
  atomic
  {
    run box (0);
    run box (1);
    run box (2);
    run operator (0);
    run operator (1)
  }
}
