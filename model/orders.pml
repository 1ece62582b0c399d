/*
 * Orders to a target whose engine ignores fencing numbers; the agent is the only way to it.
 * Leader 1 has epoch 1 and may be frozen at any step; leader 2 follows with epoch 2 once leader 1's lease has
 * run out. The agent may restart once, with empty memory.
 * Bounds: lease of 2 ticks, orders accepted up to 2 ticks after the stamp, ages capped at 3 ticks.
 *
 * Property: once leader 2 has sent its first order, to whichever target, no order of epoch 1 is carried out.
 * Mutants: MUTANT_NO_WAIT, MUTANT_NO_STAMP_AGE, MUTANT_NO_INCARNATION, MUTANT_CHECK_BEFORE_STAMP
 */
#define MAX_AGE 2
#define LEASE 2
#define CAP 5
#define GROW(x) x = ((x) >= CAP -> CAP : (x) + 1)

byte leaseAge;              /* of leader 1, by real time; drift is in lease.pml */
bool elected;               /* leader 2 */
byte sinceElected;
byte agentIncarnation;
byte highestEpoch;
bool acted;                 /* leader 2 has sent an order */

byte stampAge[3];           /* age of the stamp that leader i holds, by the agent's clock */
byte stampIncarnation[3];
bool hasStamp[3];
bool sent[3];               /* an order of leader i is under way */
byte orderAge[3];
byte orderIncarnation[3];
bool mayUse;                /* leader 1 has checked its lease after it got the stamp */
bool restarted;

inline execute(epoch) {
  assert(epoch == 2 || !acted)
}

inline receive(i) {
  if
#ifndef MUTANT_NO_INCARNATION
  :: orderIncarnation[i] != agentIncarnation -> skip
#endif
#ifndef MUTANT_NO_STAMP_AGE
  :: orderAge[i] > MAX_AGE -> skip
#endif
  :: i < highestEpoch -> skip
  :: else -> highestEpoch = i; execute(i)
  fi;
  sent[i] = false
}

active proctype System() {
  byte k;
  do
  :: atomic { true -> /* tick */
      GROW(leaseAge);
      if :: elected -> GROW(sinceElected) :: else fi;
      for (k : 1 .. 2) {
        GROW(stampAge[k]);
        GROW(orderAge[k])
      };
      k = 0 }
  :: atomic { leaseAge < LEASE && !elected -> leaseAge = 0 }
  :: atomic { leaseAge >= LEASE && !elected -> elected = true }
  /* Leader 1: stamp, lease check, send; it may be frozen between any two of these. */
  :: atomic { !hasStamp[1] && !sent[1] ->
      hasStamp[1] = true; stampAge[1] = 0; stampIncarnation[1] = agentIncarnation;
#ifndef MUTANT_CHECK_BEFORE_STAMP
      mayUse = false
#endif
    }
#ifdef MUTANT_CHECK_BEFORE_STAMP
  :: atomic { leaseAge < LEASE -> mayUse = true }
#else
  :: atomic { hasStamp[1] && leaseAge < LEASE -> mayUse = true }
#endif
  :: atomic { hasStamp[1] -> hasStamp[1] = false;
#ifndef MUTANT_CHECK_BEFORE_STAMP
      mayUse = false
#endif
    }
  :: atomic { hasStamp[1] && mayUse && !sent[1] ->
      sent[1] = true; orderAge[1] = stampAge[1]; orderIncarnation[1] = stampIncarnation[1];
      hasStamp[1] = false; mayUse = false }
  /* Leader 2. */
  :: atomic { elected && !hasStamp[2] && !sent[2] ->
      hasStamp[2] = true; stampAge[2] = 0; stampIncarnation[2] = agentIncarnation }
#ifdef MUTANT_NO_WAIT
  :: atomic { elected && hasStamp[2] ->
#else
  :: atomic { elected && sinceElected > MAX_AGE && hasStamp[2] ->
#endif
      sent[2] = true; acted = true; orderAge[2] = stampAge[2]; orderIncarnation[2] = stampIncarnation[2]; hasStamp[2] = false }
  :: atomic { sent[1] -> receive(1) }
  :: atomic { sent[2] -> receive(2) }
  :: atomic { !restarted -> restarted = true; agentIncarnation = 1; highestEpoch = 0;
#ifdef MUTANT_NO_INCARNATION
      /* The new process has a new clock, so that an old stamp may look young. */
      stampAge[1] = 0; orderAge[1] = 0
#endif
    }
  od
}
