/*
 * A change of the expert map of a group whose ranks run in lock-step: three ranks, one
 * of which may be replaced and lose its state; two coordinators, each of which may stop
 * or be delayed at any point; orders that may be lost, duplicated or delayed.
 *
 * Property, checked by assert(): in each step all ranks use the same map.
 *
 * Each order carries a ballot; a rank refuses ballots lower than the highest one that it
 * has promised. (An engine that does not check ballots is controlled only by its own
 * agent, which checks them instead.) Orders:
 *   prepare  promise the ballot; the rank answers with its step, committed and armed map
 *   arm      use a map from a step on that has not begun; the rank does not begin that
 *            step before the map is committed or disarmed
 *   commit   commit what is armed with this ballot, or what another rank has already
 *            committed
 *   disarm   withdraw an arm
 *   adopt    give a replaced rank the state of the others
 * Each order names the incarnation of the rank.
 *
 * Broken variants, each with -D and each of which must violate an assertion:
 *   NO_FENCE                 ranks do not check ballots
 *   NO_READ_OF_ALL           the coordinator does not finish a commit that it has read
 *   COMMIT_BEFORE_ALL_ARMED  the coordinator commits although a rank refused to arm
 *   ARM_BEGUN_STEP           a rank arms a step that has begun
 *   NO_INCARNATION           ranks do not check the incarnation
 *   BEGIN_UNDECIDED          a rank begins a step that is armed and not committed
 */
#define RANKS 3
#define STEPS 3      /* number of steps of a run */
#define BALLOTS 2    /* one for each coordinator */

byte step[RANKS];    /* last step that the rank has begun */
byte version[RANKS]; /* version of the committed map */
byte map[RANKS];     /* committed map */
byte from[RANKS];    /* first step that uses the committed map */
byte before[RANKS];  /* map that is used before that step */
byte armed[RANKS];   /* ballot of the armed map; 0: nothing is armed */
byte armed_map[RANKS];
byte armed_step[RANKS];
byte promised[RANKS];
bool blank[RANKS];   /* the rank was replaced and has not got the other ranks' state */
byte incarnation[RANKS];
bool replaced;

/* The map with which a rank has run a step, plus 1; 0: not run yet. Steps that a rank
 * ran before it was replaced do not count: a step is complete when all ranks have run
 * it, and the new incarnation runs it again. */
byte used[RANKS * (STEPS + 1)];
#define used_by(r, s) used[(r) * (STEPS + 1) + (s)]
#define agrees(q, s, m) (used_by (q, s) == 0 || used_by (q, s) == m)

/* Orders that were sent; they may be delivered, also repeatedly, at any later time. */
byte arm_step[BALLOTS + 1];
byte arm_first[BALLOTS + 1]; /* step of the first arms, if a later step had to be chosen */
byte arm_incarnation[(BALLOTS + 1) * RANKS];
bool commit_sent[BALLOTS + 1];

#ifdef NO_FENCE
#define is_fenced(r, b) (false)
#else
#define is_fenced(r, b) (b < promised[r])
#endif

#ifdef NO_INCARNATION
#define is_current(r, l) (true)
#else
#define is_current(r, l) (l == incarnation[r])
#endif

#ifdef ARM_BEGUN_STEP
#define may_arm(r, s) (!blank[r])
#else
/* A rank arms a map only once its committed map is in use. */
#define may_arm(r, s) (!blank[r] && step[r] < s && step[r] >= from[r])
#endif

/* A delayed arm must not replace a later one of the same ballot, nor be accepted after the
 * commit of that ballot: otherwise the rank would stall. */
#define is_outdated(r, b, s) ((armed[r] == b && s < armed_step[r]) || map[r] == b)

/* Handlers of orders; handle_arm sets ok to whether the rank has accepted the order. */

inline handle_arm (r, b, l, s)
{
  if
  :: is_current (r, l) && !is_fenced (r, b) && may_arm (r, s) && !is_outdated (r, b, s) ->
     promised[r] = b;
     armed[r] = b;
     armed_map[r] = b;
     armed_step[r] = s;
     ok = true
  :: else -> ok = (is_current (r, l) && armed[r] == b && armed_step[r] == s)
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

inline handle_commit (r, b, l, s)
{
  if
  :: is_current (r, l) && !blank[r] && armed[r] == b && armed_step[r] == s && !is_fenced (r, b) ->
     commit_armed (r)
  :: else
  fi
}

/* A commit that another rank (donor) has already executed; it carries the whole map state. */
inline handle_finish (r, b, l, donor)
{
  if
  :: is_current (r, l) && !blank[r] && !is_fenced (r, b) && version[r] < version[donor] ->
     assert (step[r] < from[donor]);
     before[r] = map[r];
     map[r] = map[donor];
     from[r] = from[donor];
     version[r] = version[donor];
     armed[r] = 0;
     armed_map[r] = 0;
     armed_step[r] = 0
  :: else
  fi
}

inline handle_adopt (r, b, l, donor)
{
  if
  :: is_current (r, l) && blank[r] && !is_fenced (r, b) ->
     map[r] = map[donor];
     from[r] = from[donor];
     before[r] = before[donor];
     version[r] = version[donor];
     /* If another rank has begun a step, the previous incarnation had begun the step
      * before it: the new one continues there and runs the current step of the others. */
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
  :: step[r] >= from[r] -> current_map = map[r]
  :: else -> current_map = before[r]
  fi;
  current_map++;
  assert (agrees (0, step[r], current_map) && agrees (1, step[r], current_map)
          && agrees (2, step[r], current_map));
  used_by (r, step[r]) = current_map;
  current_map = 0
}

#ifdef BEGIN_UNDECIDED
#define is_undecided(r) (false)
#else
#define is_undecided(r) (armed[r] != 0 && armed_step[r] == step[r] + 1)
#endif

#define is_slowest(r) (step[r] <= step[0] && step[r] <= step[1] && step[r] <= step[2])

proctype Rank (byte r)
{
  byte current_map;
end:
  do
  :: atomic {
       (!blank[0] && !blank[1] && !blank[2] && step[r] < STEPS && is_slowest (r)
        && !is_undecided (r)) ->
       begin_step (r) }
  od
}

/* Delivers orders late or repeatedly. */
proctype LateOrders ()
{
  bool ok;
  byte r;
  byte b;
end:
  do
  :: atomic { select (r : 0 .. 2); select (b : 1 .. BALLOTS);
       if
       :: arm_step[b] != 0 -> handle_arm (r, b, arm_incarnation[b * RANKS + r], arm_step[b])
       :: arm_first[b] != 0 -> handle_arm (r, b, arm_incarnation[b * RANKS + r], arm_first[b])
       :: commit_sent[b] -> handle_commit (r, b, arm_incarnation[b * RANKS + r], arm_step[b])
       :: else
       fi;
       r = 0; b = 0; ok = false }
  od
}

/* Replaces one rank, once; it loses its state. */
proctype Replace ()
{
  byte victim;

  atomic {
    select (victim : 0 .. 2);
    step[victim] = 0; version[victim] = 0; map[victim] = 0; from[victim] = 0; before[victim] = 0;
    armed[victim] = 0; armed_map[victim] = 0; armed_step[victim] = 0; promised[victim] = 0;
    blank[victim] = true;
    incarnation[victim] = 1;
    used_by (victim, 1) = 0; used_by (victim, 2) = 0; used_by (victim, 3) = 0;
    victim = 0
  }
}

proctype Coordinator (byte b)
{
  byte r;
  byte donor;            /* a rank with the newest committed map */
  byte latest_step;      /* latest step that any rank has begun, according to the answers */
  byte newest_version;   /* version of the donor's map */
  bool ok;
  bool differ;
  byte read_version[RANKS];
  bool read_blank[RANKS];

  /* 1. prepare, and 2. read all ranks */
  do
  :: atomic { r < RANKS ->
       if
       :: is_fenced (r, b) -> goto stop
       :: else
       fi;
       promised[r] = b;
       arm_incarnation[b * RANKS + r] = incarnation[r];
       read_version[r] = version[r];
       read_blank[r] = blank[r];
       if
       :: step[r] > latest_step -> latest_step = step[r]
       :: else
       fi;
       r++ }
  :: atomic { r == RANKS -> r = 0; break }
  od;
  atomic {
    donor = (read_blank[0] -> 1 : 0);
    if
    :: !read_blank[1] && read_version[1] > read_version[donor] -> donor = 1
    :: else
    fi;
    if
    :: !read_blank[2] && read_version[2] > read_version[donor] -> donor = 2
    :: else
    fi;
    newest_version = read_version[donor];
    differ = ((!read_blank[0] && read_version[0] < newest_version)
              || (!read_blank[1] && read_version[1] < newest_version)
              || (!read_blank[2] && read_version[2] < newest_version))
  }
  /* The donor may have been replaced since it was read. Its answer is still valid, but the
   * model copies the state from the rank itself, so the coordinator stops in this case. */
  do
  :: atomic { r < RANKS ->
       if
       :: blank[donor] || version[donor] != newest_version -> goto stop
       :: else
       fi;
       if
#ifndef NO_READ_OF_ALL
       :: differ && !read_blank[r] -> handle_finish (r, b, arm_incarnation[b * RANKS + r], donor)
       :: !differ && !read_blank[r] ->
#else
       :: !read_blank[r] ->
#endif
          if
          :: is_current (r, arm_incarnation[b * RANKS + r]) && !is_fenced (r, b) ->
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
       :: read_blank[r] && (blank[donor] || version[donor] != newest_version) -> goto stop
       :: read_blank[r] && !blank[donor] && version[donor] == newest_version ->
          handle_adopt (r, b, arm_incarnation[b * RANKS + r], donor)
       :: else
       fi;
       r++ }
  :: atomic { r == RANKS -> r = 0; break }
  od;

  /* 3. arm all ranks, for a later step if a rank has begun the chosen step meanwhile */
  atomic { arm_step[b] = latest_step + 1; arm_first[b] = latest_step + 1 }
  do
  :: atomic { r < RANKS ->
       handle_arm (r, b, arm_incarnation[b * RANKS + r], arm_step[b]);
       if
       :: ok -> r++
#ifdef COMMIT_BEFORE_ALL_ARMED
       :: !ok -> r++
#else
       :: !ok && is_fenced (r, b) -> goto stop
       :: !ok && !is_fenced (r, b) && arm_step[b] < STEPS -> arm_step[b] = arm_step[b] + 1; r = 0
       :: !ok && !is_fenced (r, b) && arm_step[b] >= STEPS -> goto stop
#endif
       fi;
       ok = false }
  :: atomic { r == RANKS -> r = 0; break }
  od;

  /* 4. commit */
  do
  :: atomic { r < RANKS ->
       commit_sent[b] = true;
       handle_commit (r, b, arm_incarnation[b * RANKS + r], arm_step[b]);
       r++ }
  :: atomic { r == RANKS -> r = 0; break }
  od;
stop:
  atomic {
    r = 0; donor = 0; latest_step = 0; newest_version = 0; ok = false; differ = false;
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
    run LateOrders ();
    run Replace ();
    run Coordinator (1);
    run Coordinator (2)
  }
}
