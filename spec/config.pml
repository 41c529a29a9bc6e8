/*
 * Propagation of configuration revisions. Participants: a platform that may answer
 * with an older revision or not at all; two operators, each of which plans a change on
 * a base revision, has it confirmed at a box and publishes it; boxes that receive
 * revisions from the platform and from each other, and are replaced one at a time,
 * losing all state.
 *
 * Properties, checked by assert():
 * - no box ever activates an older revision than its active one;
 * - once a revision has reached all boxes, a replaced box does not serve with an older
 *   revision, provided that it has received the state of a peer before it serves;
 * - of two operators that plan on the same base only one can publish: the second
 *   publication would revert the first change.
 *
 * Not modelled: the content of a document; the loss of a revision that had not reached
 * all boxes when the box that served with it was replaced, while the platform answers
 * with an older one.
 *
 * Broken variants, each of which must violate an assertion:
 *   ACCEPT_OLDER      a box accepts any revision that it receives
 *   SERVE_UNSYNCED    a replaced box serves before it has received the state of a peer
 *   REUSE_REVISION    the platform accepts a revision number that it already has
 */

#define BOXES 3
#define LAST 3 /* highest revision that is published */

byte published = 1;     /* newest revision at the platform */
bool stale = false;     /* the platform may answer with an older revision */
byte base_of[LAST + 1]; /* base revision of each published revision */

byte revision[BOXES];       /* active revision of each box; 0: none yet */
bool serves[BOXES];         /* the box answers callers */
byte highest_served[BOXES]; /* newest revision that the box ever served with, also before it was
                               replaced */
bool synced[BOXES];         /* the box has received the state of a peer since it was replaced */
byte seen_by_all;           /* newest revision that all boxes have had at the same time */
byte replaced = BOXES;      /* box that was replaced and does not serve yet; BOXES: none */

inline note_seen_by_all (r)
{
  byte i;
  byte count = 0;
  i = 0;
  do
  :: i < BOXES -> count = count + (revision[i] >= r); i++
  :: else -> break
  od;
  if
  :: count == BOXES && r > seen_by_all -> seen_by_all = r
  :: else
  fi;
  i = 0;
  count = 0
}

inline receive (b, r)
{
  if
#ifdef ACCEPT_OLDER
  :: r > 0 ->
#else
  :: r > revision[b] ->
#endif
     assert (r >= revision[b]);
     revision[b] = r;
     note_seen_by_all (r)
  :: else
  fi
}

/* A box receives revisions, starts to serve, and is replaced. */
proctype box (byte b)
{
  byte p;

end:
  do
  /* the platform answers with the newest revision, or, while stale, with any */
  :: atomic { receive (b, published) }
  :: atomic { stale ->
       if
       :: receive (b, 1)
       :: published > 1 -> receive (b, 2)
       fi }
  /* a peer sends its active revision */
  :: atomic { p = (b + 1) % BOXES; synced[b] = true; receive (b, revision[p]); p = 0 }
  :: atomic { p = (b + 2) % BOXES; synced[b] = true; receive (b, revision[p]); p = 0 }
  /* the box starts to serve */
#ifdef SERVE_UNSYNCED
  :: atomic { !serves[b] && revision[b] > 0 ->
#else
  :: atomic { !serves[b] && revision[b] > 0 && synced[b] ->
#endif
       serves[b] = true;
       if
       :: replaced == b -> replaced = BOXES
       :: else
       fi;
       assert (revision[b] >= highest_served[b] || highest_served[b] > seen_by_all) }
  :: atomic { serves[b] && revision[b] > highest_served[b] -> highest_served[b] = revision[b] }
  /* the box is replaced; only one box at a time */
  :: atomic { serves[b] && replaced == BOXES ->
       if
       :: revision[b] > highest_served[b] -> highest_served[b] = revision[b]
       :: else
       fi;
       replaced = b; serves[b] = false; revision[b] = 0; synced[b] = false }
  od
}

/* An operator plans a change on the active revision of box b, has it confirmed there, and publishes
 * it. */
proctype operator (byte b)
{
  byte base;
  bool confirmed = false;

  do
  :: atomic { serves[b] -> base = revision[b]; confirmed = false; break }
  od;
  do
  :: atomic { serves[b] && revision[b] == base -> confirmed = true; break }
  :: atomic { serves[b] && revision[b] != base -> break } /* refused: the base has changed */
  od;
  if
  :: atomic { confirmed && base < LAST ->
       if
#ifdef REUSE_REVISION
       :: true ->
#else
       :: base + 1 > published ->
#endif
          /* no other change has been published on this base, so none is reverted */
          assert (base_of[base + 1] == 0);
          base_of[base + 1] = base;
          published = base + 1
       :: else /* the platform refuses a revision number that it already has */
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
