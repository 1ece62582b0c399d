/*
 * Ends of targets: one target that unregisters, its late heartbeat, and its next incarnation.
 * Bounds: three coordinators, of which each may be killed (two kills in all) and started again; two
 * elections; one gateway. One kill and one election beside the loss of everything (FORGET).
 * Reports, calls and answers may be lost or late; a coordinator keeps a report until it is recorded or killed.
 *
 * Properties: a coordinator that has caught up after the acknowledgement never lists the target; a gateway that has learned of
 * the end never uses it again, also after all coordinators have lost everything (FORGET); the next incarnation is used at once.
 * Mutants: MUTANT_MEMORY_ONLY (a kill loses the record), MUTANT_ACK_BEFORE_MAJORITY, MUTANT_NO_CATCH_UP (heartbeats count at
 * once after a start), MUTANT_NO_BARRIER (a gateway takes over each list), MUTANT_BARRIER_BY_ID (not by incarnation)
 */
#define N 3
#define G 1
#define NONE 7
#define BIT(i) (1 << (i))
#define IS_MAJORITY(set) ((set) == 3 || (set) >= 5)
#ifdef MUTANT_NO_BARRIER
#define FORGET
#endif
#ifdef FORGET
#define MAX_KILLS 1
#define MAX_ELECTIONS 1
#else
#define MAX_KILLS 2
#define MAX_ELECTIONS 2
#endif

bool up[N] = true;
bool caughtUp[N] = true;
bool stored[N];  /* the record is on the disk */
bool applied[N]; /* the record holds against heartbeats */
bool removed[N]; /* has got the call itself; in memory */
bool pending[N]; /* keeps the report */
bool lists[N] = true;
bool listsNext[N];
bool fresh[N]; /* has caught up after the acknowledgement */
byte leader = 0;
byte acks = 7; /* replicas with the log of the leader */
bool acked;
bool forgot;
byte kills;
byte elections;
bool learned[G];
bool uses[G] = true;
bool usesNext[G];

inline forgetMemory(c) {
  up[c] = false; caughtUp[c] = false; applied[c] = false; removed[c] = false; pending[c] = false;
  lists[c] = false; listsNext[c] = false; fresh[c] = false
}

#define IS_COMMITTED (leader != NONE && stored[leader] && IS_MAJORITY(acks))
#ifdef MUTANT_ACK_BEFORE_MAJORITY
#define MAY_ACK (leader != NONE && stored[leader])
#else
#define MAY_ACK IS_COMMITTED
#endif

proctype Coordinator(byte c) {
  byte v;
  do
  /* The target's call arrives; the answer comes later or never. */
  :: d_step { up[c] && caughtUp[c] && !pending[c] && !applied[c] ->
      pending[c] = true; removed[c] = true; lists[c] = false }
  :: d_step { up[c] && pending[c] && leader != NONE && !stored[leader] ->
      stored[leader] = true; acks = BIT(leader) }
  :: d_step { up[c] && pending[c] && MAY_ACK -> pending[c] = false; acked = true }
  :: d_step { up[c] && leader != NONE && leader != c && !(acks & BIT(c)) ->
      stored[c] = stored[leader]; acks = acks | BIT(c) }
  :: d_step { up[c] && caughtUp[c] && IS_COMMITTED && (acks & BIT(c)) && !applied[c] ->
      applied[c] = true; lists[c] = false }
  :: d_step { up[c] && kills < MAX_KILLS ->
      kills++;
      forgetMemory(c);
      acks = acks & ~BIT(c);
#ifdef MUTANT_MEMORY_ONLY
      stored[c] = false;
#endif
      if :: leader == c -> leader = NONE; acks = 0 :: else fi }
  :: d_step { !up[c] ->
      up[c] = true;
#ifdef MUTANT_NO_CATCH_UP
      caughtUp[c] = true; fresh[c] = acked
#endif
    }
  /* The leader's confirmation needs a majority, whose log it has then committed. */
  :: d_step { up[c] && !caughtUp[c] && leader != NONE && IS_MAJORITY(acks) && (acks & BIT(c)) ->
      caughtUp[c] = true; applied[c] = stored[leader]; fresh[c] = acked }
  /* An election; also while a former leader is up, which then follows. */
  :: d_step { up[c] && leader != c && elections < MAX_ELECTIONS ->
      v = 0;
      do
      :: v < N && !(v != c && up[v] && (!stored[v] || stored[c])) -> v++
      :: else -> break
      od;
      if
      :: v < N -> elections++; leader = c; acks = BIT(c)
      :: else
      fi;
      v = 0 }
  /* The late heartbeat, and one of the next incarnation. */
  :: d_step { up[c] && caughtUp[c] && !applied[c] && !removed[c] && !lists[c] ->
      lists[c] = true; assert(!fresh[c] || forgot) }
  :: d_step { up[c] && caughtUp[c] && acked && !listsNext[c] -> listsNext[c] = true }
  od
}

proctype Gateway(byte g; byte c) {
  do
  :: d_step { up[c] && caughtUp[c] ->
      if :: applied[c] || removed[c] -> learned[g] = true :: else fi;
#ifdef MUTANT_NO_BARRIER
      uses[g] = lists[c];
#else
      uses[g] = lists[c] && !learned[g];
#endif
#ifdef MUTANT_BARRIER_BY_ID
      usesNext[g] = listsNext[c] && !learned[g];
#else
      usesNext[g] = listsNext[c];
#endif
      assert(!(learned[g] && uses[g]));
      assert(usesNext[g] == listsNext[c]) }
  od
}

#ifdef FORGET
proctype Forget() {
  d_step {
    forgot = true;
    forgetMemory(0); forgetMemory(1); forgetMemory(2);
    stored[0] = false; stored[1] = false; stored[2] = false;
    leader = NONE; acks = 0
  }
}
#endif

init {
  atomic {
    run Coordinator(0); run Coordinator(1); run Coordinator(2);
    run Gateway(0, 0); run Gateway(0, 1); run Gateway(0, 2);
#ifdef FORGET
    run Forget()
#endif
  }
}
