/*
 * Leader lease. Replica 0 leads; 1 and 2 may elect another leader. One tick of real time at a time; every
 * clock may gain or lose one tick in all (the drift bound over one election timeout).
 * Bounds: election timeout of 4 ticks, one heartbeat round in flight at a time, one restart of each follower.
 *
 * Property: when a new leader is elected, the old leader's lease has run out by the old leader's own clock.
 * Mutants: MUTANT_COUNT_FROM_ANSWER, MUTANT_NO_DRIFT_MARGIN, MUTANT_VOTE_AFTER_RESTART, MUTANT_NO_STICKY_VOTE
 */
#define TIMEOUT 4
#ifdef MUTANT_NO_DRIFT_MARGIN
#define LEASE 4
#else
#define LEASE 2
#endif
#define CAP 5

byte leaseAge = CAP;   /* since the sending of the last round that a majority acknowledged, by the leader's clock */
byte roundAge;         /* since the sending of the round in flight */
bool roundOut;
byte heard[3];         /* since follower i last heard the leader, by its clock */
bool delivered[3];
bool drifted[3];
bool restarted[3];
bool elected;

#define GROW(x, n) x = ((x) + (n) > CAP -> CAP : (x) + (n))

inline advance(i) {
  /* A leader's clock may lose a tick, a follower's may gain one. */
  if
  :: i == 0 && !drifted[0] -> drifted[0] = true
  :: i == 0 -> GROW(leaseAge, 1); GROW(roundAge, 1)
  :: i != 0 && !drifted[i] -> drifted[i] = true; GROW(heard[i], 2)
  :: i != 0 -> GROW(heard[i], 1)
  fi
}

active proctype System() {
  heard[1] = 0; heard[2] = 0;
  do
  :: atomic { true -> advance(0); advance(1); advance(2) }
  :: atomic { !elected && !roundOut -> roundOut = true; roundAge = 0; delivered[1] = false; delivered[2] = false }
  :: atomic { roundOut && !delivered[1] -> delivered[1] = true; heard[1] = 0 }
  :: atomic { roundOut && !delivered[2] -> delivered[2] = true; heard[2] = 0 }
  :: atomic { roundOut && (delivered[1] || delivered[2]) ->
      roundOut = false;
#ifdef MUTANT_COUNT_FROM_ANSWER
      leaseAge = 0;
#else
      leaseAge = roundAge;
#endif
      roundAge = 0 }
  :: atomic { roundOut -> roundOut = false; roundAge = 0 }
  :: atomic { !restarted[1] -> restarted[1] = true;
#ifdef MUTANT_VOTE_AFTER_RESTART
      heard[1] = CAP
#else
      heard[1] = 0
#endif
    }
  :: atomic { !restarted[2] -> restarted[2] = true;
#ifdef MUTANT_VOTE_AFTER_RESTART
      heard[2] = CAP
#else
      heard[2] = 0
#endif
    }
  :: atomic { !elected &&
#ifdef MUTANT_NO_STICKY_VOTE
      (heard[1] >= TIMEOUT || heard[2] >= TIMEOUT) ->
#else
      heard[1] >= TIMEOUT && heard[2] >= TIMEOUT ->
#endif
      elected = true;
      assert(leaseAge >= LEASE) }
  od
}
