/*
 * One idempotency key whose request must not be repeated, three submissions of it
 * through three entries, and two endpoints: endpoint 0 is the home of the key at
 * configuration revision 0, endpoint 1 at revision 1. Agents may restart and lose their
 * state; calls, Submits and Disowns may be delayed, duplicated or lost; entries and
 * agents may have either revision.
 *
 * Properties, checked by assert():
 *   - the request runs at most once;
 *   - if submission n is reported as "not run", no submission up to n has run or will
 *     run.
 *
 * Abstractions. All events happen within the lifetime of one key. The first incarnation
 * of an agent started long before and has seen all submissions; a later one may have
 * missed some. The guard period after a restart is modelled by its effect: it does not
 * end while a call that was made before this incarnation is in transit. Submissions
 * carry their number. Link sessions are not modelled: a message names the incarnation
 * that it is sent to and may be delivered at any time.
 *
 * Broken variants, each with -D and each of which must violate an assertion:
 *   NO_INCARNATION           an agent accepts Submits to an earlier incarnation
 *   REPORT_BEFORE_RECORD     an agent refuses without recording the refusal
 *   HOME_BY_LIVE_SET         an entry may choose either endpoint, whatever the home
 *   LATER_ATTEMPT_IN_NEW_INCARNATION  a restarted agent runs submissions after the first
 *   NO_GUARD                 a restarted agent has no guard period
 *   UNSENT_IS_NOT_RUN        an entry reports each unsent submission as not run
 *   NO_DISOWN                an entry does not query the earlier home
 *   DISOWN_FORGETS_REFUSALS  the earlier home ignores which submissions it has refused
 */
#define SUBMISSIONS 3
#define INCARNATIONS 2 /* of each agent */

#define NONE 0       /* states of a record in the agent's ledger */
#define RUN 1
#define REFUSED 2

#define WAITING 0    /* replies of the home to an entry */
#define ACCEPTED 1
#define NOT_RUN 2
#define UNKNOWN 3

#define IDLE 0       /* states of a submission */
#define CALLED 1     /* sent by the caller */
#define QUERYING 2   /* the entry queries the earlier home */
#define SENT 3       /* the Submit is in transit or delivered */
#define DONE 4

byte published;              /* newest published configuration revision */
byte agent_revision[2];
byte incarnation[2];
byte record[2];
byte refused_upto[2];        /* highest submission that the refusal covers */
bool disowned[2];            /* an entry at a later revision has made this agent refuse the key */
byte refusal_outcome[2];     /* outcome that is sent with the refusal */

byte state[SUBMISSIONS + 1];
/* incarnation of each agent when the caller sent the submission */
byte call_incarnation[(SUBMISSIONS + 1) * 2];
byte submit_home[SUBMISSIONS + 1];
byte submit_incarnation[SUBMISSIONS + 1];
byte submit_revision[SUBMISSIONS + 1];
/* sent to the earlier home, which has run the request, although the home is now another endpoint */
bool submit_moved[SUBMISSIONS + 1];
byte reply[SUBMISSIONS + 1];

bool ran;
byte ran_by;                 /* submission with which the request ran */
bool reported_not_run[SUBMISSIONS + 1];

inline report_not_run (n)
{
  assert (!(ran && ran_by <= n));
  reported_not_run[n] = true;
  state[n] = DONE
}

inline start_run (n)
{
  assert (!ran);
  assert (!(n <= 1 && reported_not_run[1]) && !(n <= 2 && reported_not_run[2])
          && !(n <= 3 && reported_not_run[3]));
  ran = true;
  ran_by = n
}

/* Replies to an entry. Replies to a submission that is done are dropped, to reduce the number of
 * states. */
inline answer (n, result)
{
  if
  :: state[n] == SENT -> reply[n] = result
  :: else
  fi
}

inline refuse (h, n, result)
{
  if
  :: refused_upto[h] < n -> refused_upto[h] = n
  :: else
  fi;
#ifndef REPORT_BEFORE_RECORD
  record[h] = REFUSED;
#endif
  refusal_outcome[h] = result;
  answer (n, result)
}

inline deliver_submit (n)
{
  h = submit_home[n];
  if
#ifndef NO_INCARNATION
  :: submit_incarnation[n] != incarnation[h] -> answer (n, UNKNOWN)
#endif
  :: else ->
     if
     :: record[h] == RUN -> answer (n, ACCEPTED)
     :: record[h] == REFUSED && (disowned[h] || n <= refused_upto[h]) ->
        if
        :: refused_upto[h] < n -> refused_upto[h] = n
        :: else
        fi;
        answer (n, refusal_outcome[h])
     :: record[h] == NONE || (record[h] == REFUSED && !disowned[h] && n > refused_upto[h]) ->
        if
#ifndef LATER_ATTEMPT_IN_NEW_INCARNATION
        :: incarnation[h] > 1 && n != 1 -> refuse (h, n, UNKNOWN)
#endif
#ifndef NO_GUARD
        :: incarnation[h] > 1 && n == 1 && call_incarnation[n * 2 + h] < incarnation[h] ->
           refuse (h, n, NOT_RUN)
#endif
#ifndef HOME_BY_LIVE_SET
        :: agent_revision[h] >= submit_revision[n] && agent_revision[h] != h && !submit_moved[n] ->
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

/* An entry gives up a submission that it has not sent to any agent. */
inline give_up_unsent (n)
{
  if
#ifdef UNSENT_IS_NOT_RUN
  :: true -> report_not_run (n)
#else
  :: n == 1 -> report_not_run (n)
  :: else -> state[n] = DONE
#endif
  fi
}

/* @param known_incarnation incarnation of the home that the entry learned before the call arrived:
 * the current one or an earlier one. */
inline send_submit (n, home, known_incarnation)
{
  submit_home[n] = home;
  submit_incarnation[n] = known_incarnation;
  reply[n] = WAITING;
  state[n] = SENT
}

/* The guard period of an incarnation lasts while a call from before it is in transit. */
#define in_transit(n) ((state[n] == CALLED || state[n] == QUERYING || state[n] == SENT) \
                       && call_incarnation[(n) * 2] < incarnation[0])
#define is_guarded (incarnation[0] > 1 && (in_transit (1) || in_transit (2) || in_transit (3)))

inline query_earlier_home (n)
{
  if
  :: record[0] == RUN ->
     submit_moved[n] = true;
     send_submit (n, 0, incarnation[0])
  :: else ->
     record[0] = REFUSED;
     disowned[0] = true;
     refusal_outcome[0] = UNKNOWN;
     if
     :: is_guarded -> give_up_unsent (n)
     :: !is_guarded && incarnation[0] > 1 && n != 1 -> give_up_unsent (n)
#ifndef DISOWN_FORGETS_REFUSALS
     :: !is_guarded && !(incarnation[0] > 1 && n != 1) && n <= refused_upto[0] -> give_up_unsent (n)
     :: !is_guarded && !(incarnation[0] > 1 && n != 1) && n > refused_upto[0] -> state[n] = QUERYING
#else
     :: !is_guarded && !(incarnation[0] > 1 && n != 1) -> state[n] = QUERYING
#endif
     fi
  fi
}

proctype Entry (byte n)
{
  byte known_incarnation[2];
  bool must_query;

  /* The caller sends the submissions in order, but does not wait for answers. */
  atomic {
    (n == 1 || state[n - 1] != IDLE);
    call_incarnation[n * 2] = incarnation[0];
    call_incarnation[n * 2 + 1] = incarnation[1];
    state[n] = CALLED
  }
  /* The call arrives at any later time, at an entry with either revision. */
  atomic {
    if
    :: submit_revision[n] = 0
    :: published == 1 -> submit_revision[n] = 1
    fi;
    if
    :: known_incarnation[0] = incarnation[0]
    :: incarnation[0] > 1 -> known_incarnation[0] = 1
    fi;
    if
    :: known_incarnation[1] = incarnation[1]
    :: incarnation[1] > 1 -> known_incarnation[1] = 1
    fi
  }
  atomic {
    if
    :: give_up_unsent (n) /* no link to the home */
#ifdef HOME_BY_LIVE_SET
    :: send_submit (n, 0, known_incarnation[0])
    :: send_submit (n, 1, known_incarnation[1])
#else
    :: submit_revision[n] == 0 -> send_submit (n, 0, known_incarnation[0])
#ifdef NO_DISOWN
    :: submit_revision[n] == 1 -> send_submit (n, 1, known_incarnation[1])
#else
    :: submit_revision[n] == 1 -> must_query = true
#endif
#endif
    fi
  }
  if
  :: must_query ->
     atomic { query_earlier_home (n) }
     atomic {
       if
       :: state[n] == QUERYING -> send_submit (n, 1, known_incarnation[1])
       :: state[n] == QUERYING -> give_up_unsent (n)
       :: else
       fi
     }
  :: else
  fi;
  atomic {
    if
    :: state[n] == SENT && reply[n] == NOT_RUN -> report_not_run (n)
    :: state[n] == SENT && reply[n] == ACCEPTED -> state[n] = DONE
    :: state[n] == SENT -> state[n] = DONE /* outcome unknown, or the entry gives up */
    :: state[n] == DONE
    fi;
    reply[n] = WAITING;
    known_incarnation[0] = 0;
    known_incarnation[1] = 0;
    must_query = false
  }
}

/* Once sent, a Submit may be delivered at any later time, also repeatedly. */
#define was_sent(n) (submit_incarnation[n] > 0)

active proctype Environment ()
{
  byte h;

  atomic {
    incarnation[0] = 1;
    incarnation[1] = 1;
    run Entry (1);
    run Entry (2);
    run Entry (3)
  }
end:
  do
  :: atomic { was_sent (1) -> deliver_submit (1) }
  :: atomic { was_sent (2) -> deliver_submit (2) }
  :: atomic { was_sent (3) -> deliver_submit (3) }
  :: atomic { published == 0 -> published = 1 }
  :: atomic { agent_revision[0] < published -> agent_revision[0] = published }
  :: atomic { agent_revision[1] < published -> agent_revision[1] = published }
  :: atomic { incarnation[0] < INCARNATIONS ->
       incarnation[0]++; record[0] = NONE; refused_upto[0] = 0; disowned[0] = false;
       refusal_outcome[0] = 0;
       if
       :: agent_revision[0] = 0
       :: agent_revision[0] = published
       fi
     }
  :: atomic { incarnation[1] < INCARNATIONS ->
       incarnation[1]++; record[1] = NONE; refused_upto[1] = 0; disowned[1] = false;
       refusal_outcome[1] = 0;
       if
       :: agent_revision[1] = 0
       :: agent_revision[1] = published
       fi
     }
  od
}
