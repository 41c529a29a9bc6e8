/*
 * A change of the expert map of a group that runs in lock-step: three ranks,
 * two coordinators that may stop or go on late at any point, one rank that is
 * replaced and forgets all, orders that are lost, doubled or late.
 *
 * Promise, checked by assert(): in each step all ranks use one and the same map.
 *
 * A rank takes orders with a ballot and refuses lower ones than it has promised
 * (an engine that checks no fence is ordered by its own agent alone, which checks
 * in its place):
 *   prepare  promises the ballot, answers step, committed and armed map
 *   arm      a map for a step that has not begun; the rank does not begin that
 *            step before it is decided
 *   commit   of what is armed with that ballot, or of what a rank elsewhere has
 *            committed already
 *   disarm   takes an arm back
 *   adopt    gives a replaced rank the state of the others
 * Each order names the rank's life.
 *
 * Broken variants, each with -D: NO_FENCE, NO_READ_OF_ALL, COMMIT_BEFORE_ALL_ARMED,
 * ARM_BEGUN_STEP, NO_LIFE, BEGIN_UNDECIDED.
 */
#define RANKS 3
#define STEPS 3      /* steps that are run */
#define BALLOTS 2    /* one for each coordinator */

byte step[RANKS];    /* the last that it began */
byte version[RANKS]; /* of its committed map */
byte map[RANKS];     /* committed */
byte from[RANKS];    /* step from which it is used */
byte before[RANKS];  /* map that is used until then */
byte armed[RANKS];   /* ballot; 0: nothing is armed */
byte armed_map[RANKS];
byte armed_step[RANKS];
byte promised[RANKS];
bool blank[RANKS];   /* replaced, and not adopted yet */
byte life[RANKS];
bool replaced;

/* The map that a rank has run a step with, plus one; 0: not run yet. What a rank
 * ran before it was replaced counts for nothing: a step is whole when all ranks
 * have run it, and the new life runs it again. */
byte used[RANKS * (STEPS + 1)];
#define used_by(r, s) used[(r) * (STEPS + 1) + (s)]
#define agrees(q, s, m) (used_by (q, s) == 0 || used_by (q, s) == m)

/* Orders that were sent and may come (again) at any time. */
byte arm_step[BALLOTS + 1];
byte arm_first[BALLOTS + 1]; /* the step of its first arms, if it had to go later */
byte arm_life[(BALLOTS + 1) * RANKS];
bool commit_sent[BALLOTS + 1];

#ifdef NO_FENCE
#define fenced(r, b) (false)
#else
#define fenced(r, b) (b < promised[r])
#endif

#ifdef NO_LIFE
#define right_life(r, l) (true)
#else
#define right_life(r, l) (l == life[r])
#endif

#ifdef ARM_BEGUN_STEP
#define may_arm(r, s) (!blank[r])
#else
/* A map that is committed must be in use first. */
#define may_arm(r, s) (!blank[r] && step[r] < s && step[r] >= from[r])
#endif

/* An arm that comes late must not replace a later one of the same ballot, nor
 * come after that ballot's commit: else the rank would stand still. */
#define outdated(r, b, s) ((armed[r] == b && s < armed_step[r]) || map[r] == b)

/* Each order sets ok: whether the rank took it. */

inline take_arm (r, b, l, s)
{
  if
  :: right_life (r, l) && !fenced (r, b) && may_arm (r, s) && !outdated (r, b, s) ->
     promised[r] = b;
     armed[r] = b;
     armed_map[r] = b;
     armed_step[r] = s;
     ok = true
  :: else -> ok = (right_life (r, l) && armed[r] == b && armed_step[r] == s)
  fi
}

inline commit_armed (r)
{
  before[r] = map[r];
  map[r] = armed_map[r];
  from[r] = armed_step[r];
  version[r] = version[r] + 1;
  armed[r] = 0;
  armed_map[r] = 0;
  armed_step[r] = 0
}

inline take_commit (r, b, l, s)
{
  if
  :: right_life (r, l) && !blank[r] && armed[r] == b && armed_step[r] == s && !fenced (r, b) ->
     commit_armed (r)
  :: else
  fi
}

/* A commit that another rank has taken already: it comes with all that it says. */
inline take_finish (r, b, l, d)
{
  if
  :: right_life (r, l) && !blank[r] && !fenced (r, b) && version[r] < version[d] ->
     assert (step[r] < from[d]);
     before[r] = map[r];
     map[r] = map[d];
     from[r] = from[d];
     version[r] = version[d];
     armed[r] = 0;
     armed_map[r] = 0;
     armed_step[r] = 0
  :: else
  fi
}

inline take_adopt (r, b, l, d)
{
  if
  :: right_life (r, l) && blank[r] && !fenced (r, b) ->
     map[r] = map[d];
     from[r] = from[d];
     before[r] = before[d];
     version[r] = version[d];
     /* Where another has begun a step, the life before had begun the step before
      * that: the new one goes on from there, and runs the others' present step. */
     step[r] = (step[(r + 1) % RANKS] > step[(r + 2) % RANKS] -> step[(r + 1) % RANKS]
                                                              : step[(r + 2) % RANKS]);
     step[r] = (step[r] > 0 -> step[r] - 1 : 0);
     blank[r] = false
  :: else
  fi
}

inline begin_step (r)
{
  step[r] = step[r] + 1;
  if
  :: step[r] >= from[r] -> now_map = map[r]
  :: else -> now_map = before[r]
  fi;
  now_map++;
  assert (agrees (0, step[r], now_map) && agrees (1, step[r], now_map)
          && agrees (2, step[r], now_map));
  used_by (r, step[r]) = now_map;
  now_map = 0
}

#ifdef BEGIN_UNDECIDED
#define undecided(r) (false)
#else
#define undecided(r) (armed[r] != 0 && armed_step[r] == step[r] + 1)
#endif

#define behind(r) (step[r] <= step[0] && step[r] <= step[1] && step[r] <= step[2])

proctype Rank (byte r)
{
  byte now_map;
end:
  do
  :: atomic {
       (!blank[0] && !blank[1] && !blank[2] && step[r] < STEPS && behind (r) && !undecided (r)) ->
       begin_step (r) }
  od
}

/* Orders once more, late. */
proctype Late ()
{
  bool ok;
  byte r;
  byte b;
end:
  do
  :: atomic { select (r : 0 .. 2); select (b : 1 .. BALLOTS);
       if
       :: arm_step[b] != 0 -> take_arm (r, b, arm_life[b * RANKS + r], arm_step[b])
       :: arm_first[b] != 0 -> take_arm (r, b, arm_life[b * RANKS + r], arm_first[b])
       :: commit_sent[b] -> take_commit (r, b, arm_life[b * RANKS + r], arm_step[b])
       :: else
       fi;
       r = 0; b = 0; ok = false }
  od
}

/* One rank is replaced, once; it forgets all. */
proctype Replace ()
{
  byte gone;

  atomic {
    select (gone : 0 .. 2);
    step[gone] = 0; version[gone] = 0; map[gone] = 0; from[gone] = 0; before[gone] = 0;
    armed[gone] = 0; armed_map[gone] = 0; armed_step[gone] = 0; promised[gone] = 0;
    blank[gone] = true;
    life[gone] = 1;
    used_by (gone, 1) = 0; used_by (gone, 2) = 0; used_by (gone, 3) = 0;
    gone = 0
  }
}

proctype Coordinator (byte b)
{
  byte r;
  byte d;        /* a rank with the newest committed map */
  byte last;     /* the latest step that any rank has begun, as read */
  byte top;
  bool ok;
  bool differ;
  byte read_version[RANKS];
  bool read_blank[RANKS];

  /* 1. prepare, and 2. read all */
  do
  :: atomic { r < RANKS ->
       if
       :: fenced (r, b) -> goto stop
       :: else
       fi;
       promised[r] = b;
       arm_life[b * RANKS + r] = life[r];
       read_version[r] = version[r];
       read_blank[r] = blank[r];
       if
       :: step[r] > last -> last = step[r]
       :: else
       fi;
       r++ }
  :: atomic { r == RANKS -> r = 0; break }
  od;
  atomic {
    d = (read_blank[0] -> 1 : 0);
    if
    :: !read_blank[1] && read_version[1] > read_version[d] -> d = 1
    :: else
    fi;
    if
    :: !read_blank[2] && read_version[2] > read_version[d] -> d = 2
    :: else
    fi;
    top = read_version[d];
    differ = ((!read_blank[0] && read_version[0] < top)
              || (!read_blank[1] && read_version[1] < top)
              || (!read_blank[2] && read_version[2] < top))
  }
  /* The rank that was read may have been replaced since: its word still holds,
   * but the model takes it from the rank, so it stops instead. */
  do
  :: atomic { r < RANKS ->
       if
       :: blank[d] || version[d] != top -> goto stop
       :: else
       fi;
       if
#ifndef NO_READ_OF_ALL
       :: differ && !read_blank[r] -> take_finish (r, b, arm_life[b * RANKS + r], d)
       :: !differ && !read_blank[r] ->
#else
       :: !read_blank[r] ->
#endif
          if
          :: right_life (r, arm_life[b * RANKS + r]) && !fenced (r, b) ->
             armed[r] = 0; armed_map[r] = 0; armed_step[r] = 0
          :: else -> goto stop
          fi
       :: read_blank[r]
       fi;
       r++ }
  :: atomic { r == RANKS -> r = 0; break }
  od;
  do
  :: atomic { r < RANKS ->
       if
       :: read_blank[r] && (blank[d] || version[d] != top) -> goto stop
       :: read_blank[r] && !blank[d] && version[d] == top -> take_adopt (r, b, arm_life[b * RANKS + r], d)
       :: else
       fi;
       r++ }
  :: atomic { r == RANKS -> r = 0; break }
  od;

  /* 3. arm all, at a later step where one was begun meanwhile */
  atomic { arm_step[b] = last + 1; arm_first[b] = last + 1 }
  do
  :: atomic { r < RANKS ->
       take_arm (r, b, arm_life[b * RANKS + r], arm_step[b]);
       if
       :: ok -> r++
#ifdef COMMIT_BEFORE_ALL_ARMED
       :: !ok -> r++
#else
       :: !ok && fenced (r, b) -> goto stop
       :: !ok && !fenced (r, b) && arm_step[b] < STEPS -> arm_step[b] = arm_step[b] + 1; r = 0
       :: !ok && !fenced (r, b) && arm_step[b] >= STEPS -> goto stop
#endif
       fi;
       ok = false }
  :: atomic { r == RANKS -> r = 0; break }
  od;

  /* 4. commit */
  do
  :: atomic { r < RANKS ->
       commit_sent[b] = true;
       take_commit (r, b, arm_life[b * RANKS + r], arm_step[b]);
       r++ }
  :: atomic { r == RANKS -> r = 0; break }
  od;
stop:
  atomic {
    r = 0; d = 0; last = 0; top = 0; ok = false; differ = false;
    read_version[0] = 0; read_version[1] = 0; read_version[2] = 0;
    read_blank[0] = false; read_blank[1] = false; read_blank[2] = false
  }
}

init
{
  atomic {
    run Rank (0);
    run Rank (1);
    run Rank (2);
    run Late ();
    run Replace ();
    run Coordinator (1);
    run Coordinator (2)
  }
}
