/*
 * Activation of an expert map: prepare, arm before a step, durable decision, tell.
 * Bounds: two ranks, two leads (the second with a higher epoch), one new map version, steps 0 to 4, activation
 * before step 2, one restart of each rank.
 *
 * Property: in every step both ranks use the same map. (A step starts on each rank by itself; the barrier lets
 * no rank start a step before both have ended the one before.)
 * Mutants: MUTANT_TELL_BEFORE_DECISION, MUTANT_PASS_UNHEARD, MUTANT_NO_EPOCH, MUTANT_JOIN_FROM_ARMED,
 * MUTANT_JOIN_DURING_PROPOSAL, MUTANT_JOIN_WITHOUT_SCHEDULE, MUTANT_ARM_LATE
 * That orders of a replaced lead are not carried out is shown by orders.pml and assumed here.
 */
#define LAST_STEP 4
#define SWITCH_STEP 2
#define UNDECIDED 0
#define ACTIVATE 1
#define ABORT 2
#define NO_MAP 3

/* State of a rank towards the new map. */
#define APART 0      /* restarted, has not joined the group again */
#define SETTLED 1    /* knows which map to use in which step */
#define ARMED 2      /* does not pass the switch step before it hears the decision */

byte decision = UNDECIDED;
byte registerEpoch = 1;
byte step[2];               /* next step of each rank */
byte phase[2];
bool proposing;             /* the first lead has begun to activate the version */
bool prepared[2];
bool scheduled[2];          /* switches to the new map at the switch step */
bool restarted[2];
byte usedIn[10];            /* NO_MAP, or the map that the first rank to start the step used */
byte confirmed[4];          /* rank r has confirmed its arm to lead l, at [l * 2 + r] */

#define BARRIER(r) (step[r] <= step[1 - (r)] && phase[1 - (r)] != APART)
#ifdef MUTANT_PASS_UNHEARD
#define MAY_PASS(r) true
#else
#define MAY_PASS(r) (!(phase[r] == ARMED && step[r] == SWITCH_STEP))
#endif
#define MAP_OF(r) (scheduled[r] && step[r] >= SWITCH_STEP)

#ifdef MUTANT_JOIN_FROM_ARMED
#define MAY_JOIN_FROM(r) (phase[r] != APART)
#else
#define MAY_JOIN_FROM(r) (phase[r] == SETTLED)
#endif

/* The lead joins a rank only while no version is undecided: an arm confirmed before the restart may still count. */
#ifdef MUTANT_JOIN_DURING_PROPOSAL
#define MAY_JOIN true
#else
#define MAY_JOIN (!proposing || decision != UNDECIDED)
#endif

proctype Rank(byte r) {
  do
  :: atomic { phase[r] != APART && step[r] <= LAST_STEP && BARRIER(r) && MAY_PASS(r) ->
      if
      :: usedIn[step[r]] == NO_MAP -> usedIn[step[r]] = MAP_OF(r)
      :: else -> assert(usedIn[step[r]] == MAP_OF(r))
      fi;
      step[r]++ }
  :: atomic { phase[r] != APART && !prepared[r] -> prepared[r] = true }
  /* Hears the decision. */
  :: atomic { phase[r] == ARMED && decision == ACTIVATE -> phase[r] = SETTLED; scheduled[r] = true }
  :: atomic { phase[r] == ARMED && decision == ABORT -> phase[r] = SETTLED; prepared[r] = false }
  :: atomic { !restarted[r] -> restarted[r] = true; phase[r] = APART; prepared[r] = false; scheduled[r] = false;
      /* A step that one rank has started and the other has not is lost, and is done again by both. */
      if
      :: step[0] > step[1] -> step[0] = step[1]; usedIn[step[1]] = NO_MAP
      :: step[1] > step[0] -> step[1] = step[0]; usedIn[step[0]] = NO_MAP
      :: else
      fi }
  /* Joins with the schedule of a settled rank. */
  :: atomic { phase[r] == APART && MAY_JOIN && MAY_JOIN_FROM(1 - r) -> phase[r] = SETTLED;
#ifndef MUTANT_JOIN_WITHOUT_SCHEDULE
      scheduled[r] = scheduled[1 - r]
#endif
    }
  /* When every rank has restarted, the group starts anew with the first map. */
  :: atomic { phase[0] == APART && phase[1] == APART && MAY_JOIN -> phase[0] = SETTLED; phase[1] = SETTLED }
  od
}

#ifdef MUTANT_ARM_LATE
#define MAY_ARM(r) (prepared[r] && phase[r] == SETTLED)
#else
#define MAY_ARM(r) (prepared[r] && phase[r] == SETTLED && step[r] < SWITCH_STEP)
#endif
#define ALL_CONFIRMED(l) (confirmed[(l) * 2] && confirmed[(l) * 2 + 1])

#define IN_OFFICE(l) ((l) == 0 && registerEpoch == 1 && proposing)

inline arm(l, r) {
  phase[r] = ARMED;
  confirmed[l * 2 + r] = true
}

proctype Lead(byte l) {
  do
  :: atomic { l + 1 > registerEpoch -> registerEpoch = l + 1 }
  :: atomic { l == 0 && registerEpoch == 1 && !proposing && phase[0] == SETTLED && phase[1] == SETTLED ->
      proposing = true }
  :: atomic { IN_OFFICE(l) && MAY_ARM(0) && !confirmed[l * 2] && decision == UNDECIDED -> arm(l, 0) }
  :: atomic { IN_OFFICE(l) && MAY_ARM(1) && !confirmed[l * 2 + 1] && decision == UNDECIDED -> arm(l, 1) }
#ifdef MUTANT_NO_EPOCH
  :: atomic { ALL_CONFIRMED(l) && decision != ACTIVATE -> decision = ACTIVATE }
#else
  :: atomic { l + 1 == registerEpoch && decision == UNDECIDED && ALL_CONFIRMED(l) -> decision = ACTIVATE }
#endif
  :: atomic { l + 1 == registerEpoch && proposing && decision == UNDECIDED -> decision = ABORT }
#ifdef MUTANT_TELL_BEFORE_DECISION
  :: atomic { ALL_CONFIRMED(l) && phase[0] == ARMED -> phase[0] = SETTLED; scheduled[0] = true }
#endif
  od
}

init {
  byte k;
  atomic {
    for (k : 0 .. 9) { usedIn[k] = NO_MAP }
    phase[0] = SETTLED;
    phase[1] = SETTLED;
    run Rank(0); run Rank(1); run Lead(0); run Lead(1)
  }
}
