/*
 * Activation of an expert map: prepare, arm before a step, durable decision, tell.
 * Bounds: two ranks, two leads (the second with a higher epoch), one new map version, steps 0 to 4, activation
 * before step 2, one restart of each rank.
 *
 * Property: in every step both ranks use the same map. (A step starts on each rank by itself; the barrier lets
 * no rank start a step before both have ended the one before.)
 * Mutants: MUTANT_TELL_BEFORE_DECISION, MUTANT_PASS_UNHEARD, MUTANT_NO_EPOCH,
 * MUTANT_REJOIN_WITHOUT_READ, MUTANT_ARM_LATE
 */
#define LAST_STEP 4
#define SWITCH_STEP 2
#define UNDECIDED 0
#define ACTIVATE 1
#define ABORT 2
#define NO_MAP 3

byte decision = UNDECIDED;
byte registerEpoch = 1;
byte step[2];               /* next step of each rank */
bool newMap[2];             /* the rank's map is the new one */
bool prepared[2];
bool armed[2];
byte incarnation[2];
byte usedIn[10];            /* NO_MAP, or the map that the first rank to start the step used */

byte confirmed[4];          /* 0: none; 1 + incarnation: rank r has confirmed to lead l, at [l * 2 + r] */

#define BARRIER(r) (step[r] <= step[1 - (r)])
#ifdef MUTANT_PASS_UNHEARD
#define MAY_PASS(r) true
#else
#define MAY_PASS(r) (!(armed[r] && step[r] == SWITCH_STEP))
#endif

proctype Rank(byte r) {
  do
  :: atomic { step[r] <= LAST_STEP && BARRIER(r) && MAY_PASS(r) ->
      if
      :: usedIn[step[r]] == NO_MAP -> usedIn[step[r]] = newMap[r]
      :: else -> assert(usedIn[step[r]] == newMap[r])
      fi;
      step[r]++ }
  :: atomic { !prepared[r] && !newMap[r] -> prepared[r] = true }
  /* Hears the decision; a map that was prepared but not armed may not be activated. */
  :: atomic { armed[r] && step[r] == SWITCH_STEP && decision == ACTIVATE -> armed[r] = false; newMap[r] = true }
  :: atomic { armed[r] && decision == ABORT -> armed[r] = false; prepared[r] = false }
  :: atomic { incarnation[r] == 0 -> /* restart */
      incarnation[r] = 1; prepared[r] = false; armed[r] = false;
#ifndef MUTANT_REJOIN_WITHOUT_READ
      /* Joins only after it has made an undecided version aborted, or read that it is active. */
      if
      :: decision == UNDECIDED -> decision = ABORT
      :: else
      fi;
#endif
      if
      :: decision == ACTIVATE && step[r] >= SWITCH_STEP -> newMap[r] = true
      :: decision == ACTIVATE && step[r] < SWITCH_STEP -> armed[r] = true; newMap[r] = false
      :: else -> newMap[r] = false
      fi }
  od
}

proctype Lead(byte l) {
  do
  :: atomic { l + 1 > registerEpoch -> registerEpoch = l + 1 }
  :: atomic { prepared[0] && !armed[0] && confirmed[l * 2] == 0 &&
#ifndef MUTANT_ARM_LATE
      step[0] < SWITCH_STEP &&
#endif
      decision == UNDECIDED -> armed[0] = true; confirmed[l * 2] = 1 + incarnation[0] }
  :: atomic { prepared[1] && !armed[1] && confirmed[l * 2 + 1] == 0 &&
#ifndef MUTANT_ARM_LATE
      step[1] < SWITCH_STEP &&
#endif
      decision == UNDECIDED -> armed[1] = true; confirmed[l * 2 + 1] = 1 + incarnation[1] }
  /* A rank that is armed already confirms to a new lead as well. */
  :: atomic { armed[0] && confirmed[l * 2] == 0 -> confirmed[l * 2] = 1 + incarnation[0] }
  :: atomic { armed[1] && confirmed[l * 2 + 1] == 0 -> confirmed[l * 2 + 1] = 1 + incarnation[1] }
#ifdef MUTANT_NO_EPOCH
  :: atomic { confirmed[l * 2] > 0 && confirmed[l * 2 + 1] > 0 && decision != ACTIVATE -> decision = ACTIVATE }
#else
  :: atomic { l + 1 == registerEpoch && decision == UNDECIDED && confirmed[l * 2] > 0 && confirmed[l * 2 + 1] > 0 ->
      decision = ACTIVATE }
#endif
  :: atomic { l + 1 == registerEpoch && decision == UNDECIDED -> decision = ABORT }
#ifdef MUTANT_TELL_BEFORE_DECISION
  :: atomic { confirmed[l * 2] > 0 && confirmed[l * 2 + 1] > 0 && armed[0] && step[0] == SWITCH_STEP ->
      armed[0] = false; newMap[0] = true }
#endif
  od
}

init {
  byte k;
  atomic {
    for (k : 0 .. 9) { usedIn[k] = NO_MAP }
    run Rank(0); run Rank(1); run Lead(0); run Lead(1)
  }
}
