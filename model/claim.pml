/*
 * At-most-once: claim, dispatch, cancel, completion, freeze and restart of an entry, lost answers, resends.
 * The claim group is one atomic register (see commit.pml for why it may be taken so).
 * Bounds: two entries, one key, three resends in all, two attempts, one restart of each entry.
 *
 * Properties: the target runs the request at most once; an attempt of which a caller was told not_run never runs.
 * Mutants: MUTANT_ANYONE_CANCELS, MUTANT_TELL_BEFORE_CANCEL, MUTANT_DISPATCH_UNCLAIMED,
 * MUTANT_RESTART_IS_SAME_CLAIMANT, MUTANT_RESEND_IS_SAME_CLAIMANT, MUTANT_RETRY_AFTER_WRITE,
 * MUTANT_CANCEL_AFTER_WRITE
 */
#define FREE 0
#define CLAIMED 1
#define DONE 2
#define IDLE 0
#define ASKING 1
#define GRANTED 2
#define WRITTEN 3
#define CANCELLING 4
#define NOBODY 99
#define MAX_ATTEMPT 2
/* A claim belongs to one request that one start of an entry has received. */
#ifdef MUTANT_RESEND_IS_SAME_CLAIMANT
#define CLAIMANT(e) ((e) * 2 + incarnation[e])
#else
#define CLAIMANT(e) ((e) * 2 + incarnation[e] + 4 * request[e])
#endif

byte state;
byte claimant = NOBODY;
byte attempt;          /* attempt that the register knows */
byte resends = 3;
byte request[2];       /* number of the resend that the entry handles */
byte runs;
bool ranAttempt[3];
bool toldNotRun[3];

byte phase[2];
byte incarnation[2];
byte mine[2];          /* attempt that the entry holds */

/* A written request may reach the target at once, late, or never. */
byte inFlight[3];

inline tellNotRun(a) { toldNotRun[a] = true; assert(!ranAttempt[a]) }

inline reset(e) { phase[e] = IDLE; mine[e] = 0; request[e] = 0 }

proctype Entry(byte e) {
  do
  :: atomic { phase[e] == IDLE && resends > 0 -> request[e] = resends; resends--; phase[e] = ASKING }
  :: atomic { phase[e] == ASKING -> /* claim reaches the register */
      if
      :: state == FREE && attempt < MAX_ATTEMPT ->
        state = CLAIMED; attempt++; claimant = CLAIMANT(e);
        if
        :: phase[e] = GRANTED; mine[e] = attempt
        :: skip /* answer lost; the entry asks again */
        fi
      :: state == CLAIMED && claimant == CLAIMANT(e) -> phase[e] = GRANTED; mine[e] = attempt
#ifdef MUTANT_RESTART_IS_SAME_CLAIMANT
      :: state == CLAIMED && ((claimant >> 1) & 1) == e && claimant != CLAIMANT(e) ->
        phase[e] = GRANTED; mine[e] = attempt; claimant = CLAIMANT(e)
#endif
#ifdef MUTANT_ANYONE_CANCELS
      :: state == CLAIMED && claimant != CLAIMANT(e) -> state = FREE; reset(e)
#endif
      :: else -> reset(e) /* in progress, recorded, or unknown */
      fi }
#ifdef MUTANT_DISPATCH_UNCLAIMED
  :: atomic { phase[e] == ASKING && attempt < MAX_ATTEMPT -> phase[e] = GRANTED; mine[e] = 0 }
#endif
  :: atomic { phase[e] == GRANTED -> phase[e] = WRITTEN; inFlight[mine[e]]++ }
  :: atomic { phase[e] == GRANTED -> /* deadline passed before the write */ phase[e] = CANCELLING;
#ifdef MUTANT_TELL_BEFORE_CANCEL
      tellNotRun(mine[e]); phase[e] = GRANTED
#endif
    }
#ifdef MUTANT_CANCEL_AFTER_WRITE
  :: atomic { phase[e] == WRITTEN -> phase[e] = CANCELLING }
#endif
  :: atomic { phase[e] == CANCELLING ->
      if
      :: state == CLAIMED && claimant == CLAIMANT(e) && attempt == mine[e] ->
        state = FREE; claimant = NOBODY;
        if
        :: tellNotRun(mine[e])
        :: skip /* acknowledgement lost: the caller is told unknown */
        fi
      :: else
      fi;
      reset(e) }
  :: atomic { phase[e] == WRITTEN -> /* answered or given up as unknown */
      if
      :: state == CLAIMED && claimant == CLAIMANT(e) -> state = DONE
      :: skip
      fi;
      reset(e) }
#ifdef MUTANT_RETRY_AFTER_WRITE
  :: atomic { phase[e] == WRITTEN && inFlight[mine[e]] < 2 -> inFlight[mine[e]]++ }
#endif
  :: atomic { incarnation[e] == 0 -> incarnation[e] = 1; reset(e) }
  od
}

active proctype Target() {
  byte a;
  do
  :: atomic { inFlight[0] + inFlight[1] + inFlight[2] > 0 ->
      if
      :: inFlight[0] > 0 -> a = 0
      :: inFlight[1] > 0 -> a = 1
      :: inFlight[2] > 0 -> a = 2
      fi;
      inFlight[a]--;
      if
      :: runs++; ranAttempt[a] = true; assert(runs <= 1); assert(!toldNotRun[a])
      :: skip /* lost */
      fi;
      a = 0 }
  od
}

init { atomic { run Entry(0); run Entry(1) } }
