/*
 * Serving lease: what "in force" promises, for one relay and one holder (an entry, or an agent for a drain).
 * A relay grants what is left of its own confirmed lease, so that the leader needs to know only its relays.
 * Times are ticks; drift between clocks is left to lease.pml and to the margin of one tick that the leader adds.
 * Bounds: one change (revision 0 to 1), leases of 2 ticks, and (LONG_LEASE) of 3, one message each way in flight, one restart of the
 * holder, one of the relay, one change of the leader.
 *
 * Property: once a leader reports revision 1 in force, the holder takes no new work under revision 0.
 * Mutants: MUTANT_COUNT_FROM_ANSWER, MUTANT_SERVE_WITHOUT_LEASE, MUTANT_SERVE_AFTER_RESTART,
 * MUTANT_GRANT_FULL_LEASE, MUTANT_LEADER_DOES_NOT_WAIT, MUTANT_REPORT_OWN_REVISION,
 * MUTANT_FORGET_OLD_RELAY (a restarted relay replaces its earlier incarnation at the leader),
 * MUTANT_JUDGE_AFTER_ELECTION (a new leader does not wait for the leases that the old one confirmed)
 */
#if defined(LONG_LEASE) || defined(MUTANT_GRANT_FULL_LEASE)
/* With 2 ticks a full lease ends within the leader's margin. */
#define LEASE 3
#else
#define LEASE 2
#endif
/* Above every bound that an age is compared with. */
#define CAP (LEASE + 1)
#define GROW(x) x = ((x) >= CAP -> CAP : (x) + 1)
#define SHRINK(x) x = ((x) == 0 -> 0 : (x) - 1)

/* Leader; reports and their ages by incarnation of the relay. */
bool leaderRevision;
bool inForce;
bool reported[2];
byte sinceReport[2];
byte sinceElection = CAP;
bool reelected;

/* Relay. */
bool relayIncarnation;
bool relayRevision;
byte relayAge = CAP;        /* since the sending of the last renewal that a leader confirmed */
bool relayOut; bool relayOutReport; bool relayOutIncarnation; byte relayOutAge;
bool relayAnswer; bool relayAnswerRevision;
byte grantedLeft;           /* time that the lease granted to the holder may still run */
bool holderReported;        /* applied revision that the holder named */

/* Holder. */
bool holderRevision;
byte holderLeft;            /* rest of its lease */
bool holderOut; bool holderOutRevision; byte holderOutAge;
bool holderAnswer; bool holderAnswerRevision; byte holderAnswerLease;
bool everRenewed;
bool holderRestarted;

#ifdef MUTANT_SERVE_WITHOUT_LEASE
#define SERVES (everRenewed)
#else
#ifdef MUTANT_SERVE_AFTER_RESTART
#define SERVES (holderLeft > 0 || (holderRestarted && !everRenewed))
#else
#define SERVES (everRenewed && holderLeft > 0)
#endif
#endif

#ifdef MUTANT_LEADER_DOES_NOT_WAIT
#define CLEARED(i) (reported[i] || sinceReport[i] > 0)
#else
#define CLEARED(i) (reported[i] || sinceReport[i] > LEASE)
#endif
#ifdef MUTANT_JUDGE_AFTER_ELECTION
#define SETTLED true
#else
#define SETTLED (sinceElection > LEASE)
#endif

#ifdef MUTANT_GRANT_FULL_LEASE
#define GRANTED LEASE
#else
#define GRANTED (LEASE - relayAge)
#endif

active proctype System() {
  sinceReport[0] = CAP; sinceReport[1] = CAP;
  do
  :: d_step { /* tick */
      GROW(sinceReport[0]); GROW(sinceReport[1]); GROW(sinceElection); GROW(relayAge);
      if :: relayOut || relayAnswer -> GROW(relayOutAge) :: else -> relayOutAge = 0 fi;
      if :: holderOut || holderAnswer -> GROW(holderOutAge) :: else -> holderOutAge = 0 fi;
      SHRINK(grantedLeft); SHRINK(holderLeft) }
  :: atomic { !leaderRevision -> leaderRevision = true }
  :: atomic { !reelected -> reelected = true; sinceElection = 0;
      reported[0] = false; reported[1] = false; sinceReport[0] = CAP; sinceReport[1] = CAP }
  /* The relay renews with the leader. */
  :: atomic { !relayOut && !relayAnswer ->
      relayOut = true; relayOutAge = 0; relayOutIncarnation = relayIncarnation;
#ifdef MUTANT_REPORT_OWN_REVISION
      relayOutReport = relayRevision
#else
      relayOutReport = relayRevision && (grantedLeft == 0 || holderReported)
#endif
    }
  :: atomic { relayOut -> relayOut = false; /* arrives */
      reported[relayOutIncarnation] = relayOutReport; sinceReport[relayOutIncarnation] = 0;
#ifdef MUTANT_FORGET_OLD_RELAY
      if :: relayOutIncarnation -> sinceReport[0] = CAP :: else fi;
#endif
      relayAnswer = (relayOutIncarnation == relayIncarnation); relayAnswerRevision = leaderRevision }
  :: atomic { relayOut -> relayOut = false }
  :: atomic { relayAnswer -> relayAnswer = false;
      relayRevision = relayRevision || relayAnswerRevision; relayAge = relayOutAge }
  :: atomic { relayAnswer -> relayAnswer = false }
  /* The holder renews with the relay. */
  :: atomic { !holderOut && !holderAnswer -> holderOut = true; holderOutAge = 0; holderOutRevision = holderRevision }
  :: atomic { holderOut && relayAge < LEASE -> holderOut = false;
      holderReported = holderOutRevision;
      if :: GRANTED > grantedLeft -> grantedLeft = GRANTED :: else fi;
      holderAnswer = true; holderAnswerRevision = relayRevision; holderAnswerLease = GRANTED }
  :: atomic { holderOut -> holderOut = false }
  :: atomic { holderAnswer -> holderAnswer = false; everRenewed = true;
      holderRevision = holderRevision || holderAnswerRevision;
#ifdef MUTANT_COUNT_FROM_ANSWER
      holderLeft = holderAnswerLease
#else
      if
      :: holderAnswerLease > holderOutAge && holderAnswerLease - holderOutAge > holderLeft ->
        holderLeft = holderAnswerLease - holderOutAge
      :: else
      fi
#endif
    }
  :: atomic { holderAnswer -> holderAnswer = false }
  :: atomic { !holderRestarted -> holderRestarted = true; everRenewed = false; holderRevision = false; holderLeft = 0;
      holderAnswer = false }
  :: atomic { !relayIncarnation -> relayIncarnation = true;
      relayRevision = false; relayAge = CAP; relayAnswer = false; grantedLeft = 0; holderReported = false }
  /* The leader judges. */
  :: atomic { leaderRevision && SETTLED && CLEARED(0) && CLEARED(1) -> inForce = true }
  :: atomic { SERVES && !holderRevision && inForce -> assert(false) }
  od
}
