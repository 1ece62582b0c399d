/*
 * Serving lease: what "in force" promises, for one relay and one holder (an entry, or an agent for a drain).
 * Times are ticks; drift between clocks is left to lease.pml and to the margin of one tick that the leader adds.
 * Bounds: one change (revision 0 to 1), relay lease and holder lease of 2 ticks, one message each way in flight,
 * one restart of the holder and one of the relay.
 *
 * Property: once the leader reports revision 1 in force, the holder takes no new work under revision 0.
 * Mutants: MUTANT_COUNT_FROM_ANSWER, MUTANT_SERVE_WITHOUT_LEASE, MUTANT_RELAY_UNCONFIRMED,
 * MUTANT_LEADER_DOES_NOT_WAIT, MUTANT_SERVE_AFTER_RESTART, MUTANT_REPORT_OWN_REVISION,
 * MUTANT_REPORT_AFTER_RELAY_RESTART (a restarted relay has forgotten the leases that it granted)
 */
#define HOLDER_LEASE 2
#define RELAY_LEASE 2
/* Above every bound that an age is compared with. */
#define CAP 5
#define GROW(x) x = ((x) >= CAP -> CAP : (x) + 1)

/* Leader. */
bool leaderRevision;
bool inForce;
bool reportedRevision;      /* lowest applied revision that the relay last reported */
byte sinceReport = CAP;

/* Relay. */
bool relayRevision;
byte relayAge = CAP;        /* since the sending of the last renewal that the leader confirmed */
bool relayOut; bool relayOutReport; byte relayOutAge;
bool relayAnswer; bool relayAnswerRevision;
bool holderKnown;
bool holderReported;        /* applied revision of the holder */
byte sinceRelayStart = CAP;
bool relayRestarted;
byte sinceHolder = CAP;     /* since the relay last answered the holder */

/* Holder. */
bool holderRevision;
byte holderAge = CAP;       /* since the sending of the last renewal that was answered */
bool holderOut; bool holderOutRevision; byte holderOutAge;
bool holderAnswer; bool holderAnswerRevision;
bool everRenewed;
bool restarted;

#ifdef MUTANT_SERVE_WITHOUT_LEASE
#define SERVES (everRenewed)
#else
#ifdef MUTANT_SERVE_AFTER_RESTART
#define SERVES (holderAge < HOLDER_LEASE || (restarted && !everRenewed))
#else
#define SERVES (everRenewed && holderAge < HOLDER_LEASE)
#endif
#endif
#define HOLDER_COUNTS (holderKnown && sinceHolder <= HOLDER_LEASE)

active proctype System() {
  do
  :: d_step { /* tick */
      GROW(sinceReport); GROW(sinceRelayStart); GROW(relayAge); GROW(relayOutAge); GROW(sinceHolder); GROW(holderAge); GROW(holderOutAge) }
  :: atomic { !leaderRevision -> leaderRevision = true }
  /* The relay renews with the leader. */
  :: atomic { !relayOut && !relayAnswer ->
      relayOut = true; relayOutAge = 0;
#ifdef MUTANT_REPORT_OWN_REVISION
      relayOutReport = relayRevision
#else
#ifdef MUTANT_REPORT_AFTER_RELAY_RESTART
      relayOutReport = relayRevision && (!HOLDER_COUNTS || holderReported)
#else
      relayOutReport = relayRevision && sinceRelayStart > HOLDER_LEASE && (!HOLDER_COUNTS || holderReported)
#endif
#endif
    }
  :: atomic { relayOut -> relayOut = false; /* arrives */
      reportedRevision = relayOutReport; sinceReport = 0;
      relayAnswer = true; relayAnswerRevision = leaderRevision }
  :: atomic { relayOut -> relayOut = false }
  :: atomic { relayAnswer -> relayAnswer = false;
      relayRevision = relayRevision || relayAnswerRevision; relayAge = relayOutAge }
  :: atomic { relayAnswer -> relayAnswer = false }
  /* The holder renews with the relay. */
  :: atomic { !holderOut && !holderAnswer -> holderOut = true; holderOutAge = 0; holderOutRevision = holderRevision }
#ifdef MUTANT_RELAY_UNCONFIRMED
  :: atomic { holderOut -> holderOut = false;
#else
  :: atomic { holderOut && relayAge < RELAY_LEASE -> holderOut = false;
#endif
      holderKnown = true; holderReported = holderOutRevision; sinceHolder = 0;
      holderAnswer = true; holderAnswerRevision = relayRevision }
  :: atomic { holderOut -> holderOut = false }
  :: atomic { holderAnswer -> holderAnswer = false; everRenewed = true;
      holderRevision = holderRevision || holderAnswerRevision;
#ifdef MUTANT_COUNT_FROM_ANSWER
      holderAge = 0
#else
      holderAge = holderOutAge
#endif
    }
  :: atomic { holderAnswer -> holderAnswer = false }
  :: atomic { !restarted -> restarted = true; everRenewed = false; holderRevision = false; holderAge = CAP;
      holderAnswer = false }
  :: atomic { !relayRestarted -> relayRestarted = true; sinceRelayStart = 0;
      relayRevision = false; relayAge = CAP; relayAnswer = false; relayOut = false;
      holderKnown = false; holderReported = false; sinceHolder = CAP }
  /* The leader judges. */
#ifdef MUTANT_LEADER_DOES_NOT_WAIT
  :: atomic { leaderRevision && (reportedRevision || sinceReport > 0) -> inForce = true }
#else
  :: atomic { leaderRevision && (reportedRevision || sinceReport > RELAY_LEASE + HOLDER_LEASE) -> inForce = true }
#endif
  :: atomic { SERVES && !holderRevision && inForce -> assert(false) }
  od
}
