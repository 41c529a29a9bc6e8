/*
 * One key whose request may not be repeated, three submissions of it through
 * three entries, and two endpoints: 0 is the key's home at revision 0, 1 at
 * revision 1. Agents restart and forget; calls, Submits and Disowns come late,
 * doubled or never; entries and agents have either revision.
 *
 * Promises, checked by assert():
 *   - the request runs at most once;
 *   - if submission n is told "not run", no submission up to n ran or will run.
 *
 * Abstractions. All happens within one key's life: a first life of an agent
 * began long before and knows all submissions, a later one is young. The guard
 * after a restart is modelled by what it brings about: a life's guard is not
 * over while a call that was made before that life is still on its way.
 * Submissions state their number. Links' sessions are not modelled: a message
 * names the life that it is meant for and may come at any time.
 *
 * Broken variants, each with -D: NO_INCARNATION, TOLD_BEFORE_WRITTEN,
 * HOME_BY_LIVE_SET, LATER_ATTEMPT_IN_NEW_LIFE, NO_GUARD, SENT_NOWHERE_IS_NOT_RUN,
 * NO_DISOWN, DISOWN_FORGETS_REFUSALS.
 */
#define N 3          /* submissions */
#define LIVES 2      /* of each agent */

#define NONE 0       /* states of a ledger's record */
#define RUN 1
#define REFUSED 2

#define WAITING 0    /* what an entry has heard from the home */
#define ACCEPTED 1
#define NOT_RUN 2
#define UNKNOWN 3

#define IDLE 0       /* states of a submission */
#define CALLED 1     /* the caller has sent it */
#define ASKING 2     /* its entry asks the earlier home */
#define SENT 3       /* its Submit is under way or was delivered */
#define DONE 4

byte newest;                 /* revision that was published */
byte agent_rev[2];
byte life[2];
byte record[2];
byte covers[2];              /* submissions that a refusal covers */
bool disowned[2];
byte outcome[2];             /* told with a refusal */

byte state[N + 1];
byte called_life[(N + 1) * 2]; /* each agent's life when the caller sent it */
byte submit_home[N + 1];
byte submit_life[N + 1];
byte submit_rev[N + 1];
bool submit_moved[N + 1];
byte reply[N + 1];

bool ran;
byte ran_by;
bool told_not_run[N + 1];

inline tell_not_run (n)
{
  assert (!(ran && ran_by <= n));
  told_not_run[n] = true;
  state[n] = DONE
}

inline start_run (n)
{
  assert (!ran);
  assert (!(n <= 1 && told_not_run[1]) && !(n <= 2 && told_not_run[2])
          && !(n <= 3 && told_not_run[3]));
  ran = true;
  ran_by = n
}

/* An entry that is done listens to nothing any more: keeps the states few. */
inline answer (n, told)
{
  if
  :: state[n] == SENT -> reply[n] = told
  :: else
  fi
}

inline refuse (h, n, told)
{
  if
  :: covers[h] < n -> covers[h] = n
  :: else
  fi;
#ifndef TOLD_BEFORE_WRITTEN
  record[h] = REFUSED;
#endif
  outcome[h] = told;
  answer (n, told)
}

inline deliver_submit (n)
{
  h = submit_home[n];
  if
#ifndef NO_INCARNATION
  :: submit_life[n] != life[h] -> answer (n, UNKNOWN)
#endif
  :: else ->
     if
     :: record[h] == RUN -> answer (n, ACCEPTED)
     :: record[h] == REFUSED && (disowned[h] || n <= covers[h]) ->
        if
        :: covers[h] < n -> covers[h] = n
        :: else
        fi;
        answer (n, outcome[h])
     :: record[h] == NONE || (record[h] == REFUSED && !disowned[h] && n > covers[h]) ->
        if
#ifndef LATER_ATTEMPT_IN_NEW_LIFE
        :: life[h] > 1 && n != 1 -> refuse (h, n, UNKNOWN)
#endif
#ifndef NO_GUARD
        :: life[h] > 1 && n == 1 && called_life[n * 2 + h] < life[h] -> refuse (h, n, NOT_RUN)
#endif
#ifndef HOME_BY_LIVE_SET
        :: agent_rev[h] >= submit_rev[n] && agent_rev[h] != h && !submit_moved[n] ->
           if
           :: n == 1 -> refuse (h, n, NOT_RUN)
           :: else -> refuse (h, n, UNKNOWN)
           fi
#endif
        :: else ->
           if
           :: refuse (h, n, NOT_RUN) /* overload */
           :: start_run (n);
              record[h] = RUN;
              answer (n, ACCEPTED)
           fi
        fi
     fi
  fi
}

/* What an entry may say of a submission that it has sent nowhere. */
inline give_up_unsent (n)
{
  if
#ifdef SENT_NOWHERE_IS_NOT_RUN
  :: true -> tell_not_run (n)
#else
  :: n == 1 -> tell_not_run (n)
  :: else -> state[n] = DONE
#endif
  fi
}

/* An entry knows a life of the home that it learned before the call came in:
 * the present one or an earlier one. */
inline send_submit (n, home, known)
{
  submit_home[n] = home;
  submit_life[n] = known;
  reply[n] = WAITING;
  state[n] = SENT
}

/* A life's guard is over only when no call from before it is on its way. */
#define on_its_way(n) ((state[n] == CALLED || state[n] == ASKING || state[n] == SENT) \
                       && called_life[(n) * 2] < life[0])
#define guarded (life[0] > 1 && (on_its_way (1) || on_its_way (2) || on_its_way (3)))

inline ask_earlier_home (n)
{
  if
  :: record[0] == RUN ->
     submit_moved[n] = true;
     send_submit (n, 0, life[0])
  :: else ->
     record[0] = REFUSED;
     disowned[0] = true;
     outcome[0] = UNKNOWN;
     if
     :: guarded -> give_up_unsent (n)
     :: !guarded && life[0] > 1 && n != 1 -> give_up_unsent (n)
#ifndef DISOWN_FORGETS_REFUSALS
     :: !guarded && !(life[0] > 1 && n != 1) && n <= covers[0] -> give_up_unsent (n)
     :: !guarded && !(life[0] > 1 && n != 1) && n > covers[0] -> state[n] = ASKING
#else
     :: !guarded && !(life[0] > 1 && n != 1) -> state[n] = ASKING
#endif
     fi
  fi
}

proctype Entry (byte n)
{
  byte known[2];
  bool asked;

  /* The caller sends them in order, but does not wait for an answer. */
  atomic {
    (n == 1 || state[n - 1] != IDLE);
    called_life[n * 2] = life[0];
    called_life[n * 2 + 1] = life[1];
    state[n] = CALLED
  }
  /* It arrives: any time later, at an entry of either revision. */
  atomic {
    if
    :: submit_rev[n] = 0
    :: newest == 1 -> submit_rev[n] = 1
    fi;
    if
    :: known[0] = life[0]
    :: life[0] > 1 -> known[0] = 1
    fi;
    if
    :: known[1] = life[1]
    :: life[1] > 1 -> known[1] = 1
    fi
  }
  atomic {
    if
    :: give_up_unsent (n) /* no link to the home */
#ifdef HOME_BY_LIVE_SET
    :: send_submit (n, 0, known[0])
    :: send_submit (n, 1, known[1])
#else
    :: submit_rev[n] == 0 -> send_submit (n, 0, known[0])
#ifdef NO_DISOWN
    :: submit_rev[n] == 1 -> send_submit (n, 1, known[1])
#else
    :: submit_rev[n] == 1 -> asked = true
#endif
#endif
    fi
  }
  if
  :: asked ->
     atomic { ask_earlier_home (n) }
     atomic {
       if
       :: state[n] == ASKING -> send_submit (n, 1, known[1])
       :: state[n] == ASKING -> give_up_unsent (n)
       :: else
       fi
     }
  :: else
  fi;
  atomic {
    if
    :: state[n] == SENT && reply[n] == NOT_RUN -> tell_not_run (n)
    :: state[n] == SENT && reply[n] == ACCEPTED -> state[n] = DONE
    :: state[n] == SENT -> state[n] = DONE /* unknown, or given up on */
    :: state[n] == DONE
    fi;
    reply[n] = WAITING;
    known[0] = 0;
    known[1] = 0;
    asked = false
  }
}

/* Late and doubled: a Submit stays deliverable for ever once sent. */
#define was_sent(n) (submit_life[n] > 0)

active proctype World ()
{
  byte h;

  atomic {
    life[0] = 1;
    life[1] = 1;
    run Entry (1);
    run Entry (2);
    run Entry (3)
  }
end:
  do
  :: atomic { was_sent (1) -> deliver_submit (1) }
  :: atomic { was_sent (2) -> deliver_submit (2) }
  :: atomic { was_sent (3) -> deliver_submit (3) }
  :: atomic { newest == 0 -> newest = 1 }
  :: atomic { agent_rev[0] < newest -> agent_rev[0] = newest }
  :: atomic { agent_rev[1] < newest -> agent_rev[1] = newest }
  :: atomic { life[0] < LIVES ->
       life[0]++; record[0] = NONE; covers[0] = 0; disowned[0] = false; outcome[0] = 0;
       if
       :: agent_rev[0] = 0
       :: agent_rev[0] = newest
       fi
     }
  :: atomic { life[1] < LIVES ->
       life[1]++; record[1] = NONE; covers[1] = 0; disowned[1] = false; outcome[1] = 0;
       if
       :: agent_rev[1] = 0
       :: agent_rev[1] = newest
       fi
     }
  od
}
