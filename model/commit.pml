/*
 * Replicated log: election, append, commit, crash and disk loss, without membership change.
 * Bounds: 3 replicas, one disk loss; terms up to 3 with logs up to 2 entries, and (FOUR_TERMS) terms up to 4
 * with logs of 1 entry.
 * A message exchange is one step: a lost message is a step that is not taken, and a late one is an exchange
 * whose result the receiver does not use yet.
 *
 * Properties: one leader per term; a committed entry is in the log of every later leader and never changes.
 * Mutants: MUTANT_OLD_TERM_COMMIT, MUTANT_ANSWER_BEFORE_SYNC, MUTANT_DISK_LOSS_SAME_ID, MUTANT_NO_LOG_CHECK
 */
#define N 3
#if defined(FOUR_TERMS) || defined(MUTANT_OLD_TERM_COMMIT)
/* An entry of an older term is overwritten after its commit in the fourth term at the earliest. */
#define MAX_TERM 4
#define MAX_LOG 1
#else
#define MAX_TERM 3
#define MAX_LOG 2
#endif
#define NONE 7
#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2
#define REMOVED 3
#define BIT(i) (1 << (i))
#define MAJORITY(mask) ((mask) == 3 || (mask) == 5 || (mask) == 6 || (mask) == 7)

typedef Replica {
  byte role;
  byte term;
  byte vote;
  byte size;
  byte log[2];
  byte grants;
  byte match[N];
#ifdef MUTANT_ANSWER_BEFORE_SYNC
  byte diskTerm;
  byte diskVote;
  byte diskSize;
#endif
};
Replica r[N];
byte leaderOfTerm[MAX_TERM + 1] = NONE;
byte committed[2];
byte commitTerm[2];
byte committedSize;
bool diskLost;


#define LAST_TERM(i) (r[i].size == 0 -> 0 : r[i].log[r[i].size - 1])
#ifdef MUTANT_NO_LOG_CHECK
#define UP_TO_DATE(c, v) true
#else
#define UP_TO_DATE(c, v) \
  (LAST_TERM(c) > LAST_TERM(v) || (LAST_TERM(c) == LAST_TERM(v) && r[c].size >= r[v].size))
#endif

inline startElection(i) {
  r[i].term++;
  r[i].role = CANDIDATE;
  r[i].vote = i;
  r[i].grants = BIT(i);
  r[i].match[0] = 0; r[i].match[1] = 0; r[i].match[2] = 0
}

inline giveVote(v, c) {
  if
  :: r[v].term < r[c].term -> r[v].term = r[c].term; r[v].vote = NONE; r[v].role = FOLLOWER
  :: else
  fi;
  if
  :: r[v].vote == NONE && UP_TO_DATE(c, v) -> r[v].vote = c; r[c].grants = r[c].grants | BIT(v)
  :: else
  fi
}

inline becomeLeader(c) {
  assert(leaderOfTerm[r[c].term] == NONE || leaderOfTerm[r[c].term] == c);
  leaderOfTerm[r[c].term] = c;
  r[c].role = LEADER;
  /* Leader completeness; a leader of an earlier term than the commit may lack the entry, and can't commit. */
  assert(committedSize < 1 || commitTerm[0] >= r[c].term || (r[c].size >= 1 && r[c].log[0] == committed[0]));
  assert(committedSize < 2 || commitTerm[1] >= r[c].term || (r[c].size >= 2 && r[c].log[1] == committed[1]))
}

inline replicate(l, f) {
  if
  :: r[f].term < r[l].term -> r[f].vote = NONE
  :: else
  fi;
  r[f].term = r[l].term;
  r[f].role = FOLLOWER;
  /* One entry a step: the first that the follower lacks or has from another term. */
  if
  :: r[f].size > 0 && r[l].size > 0 && r[f].log[0] != r[l].log[0] -> r[f].log[0] = r[l].log[0]; r[f].log[1] = 0; r[f].size = 1
  :: r[f].size == 0 && r[l].size > 0 -> r[f].log[0] = r[l].log[0]; r[f].size = 1
  :: r[f].size == 1 && r[l].size == 2 && r[f].log[0] == r[l].log[0] -> r[f].log[1] = r[l].log[1]; r[f].size = 2
  :: r[f].size == 2 && r[l].size == 2 && r[f].log[0] == r[l].log[0] && r[f].log[1] != r[l].log[1] -> r[f].log[1] = r[l].log[1]
  :: else
  fi;
  if
  :: r[f].size < r[l].size -> r[l].match[f] = r[f].size
  :: else -> r[l].match[f] = r[l].size
  fi
}

byte count;
inline advanceCommit(l, n) {
  count = 1;
  if :: (l != 0 && r[l].match[0] >= n) -> count++ :: else fi;
  if :: (l != 1 && r[l].match[1] >= n) -> count++ :: else fi;
  if :: (l != 2 && r[l].match[2] >= n) -> count++ :: else fi;
  if
#ifdef MUTANT_OLD_TERM_COMMIT
  :: count >= 2 ->
#else
  :: count >= 2 && r[l].log[n - 1] == r[l].term ->
#endif
    if
    :: committedSize >= 1 -> assert(r[l].log[0] == committed[0])
    :: else -> committed[0] = r[l].log[0]; commitTerm[0] = r[l].term; committedSize = 1
    fi;
    if
    :: n < 2
    :: n == 2 && committedSize >= 2 -> assert(r[l].log[1] == committed[1])
    :: n == 2 && committedSize < 2 -> committed[1] = r[l].log[1]; commitTerm[1] = r[l].term; committedSize = 2
    fi
  :: else
  fi;
  count = 0
}

proctype Run(byte i) {
  do
  :: d_step { r[i].role != REMOVED && r[i].role != LEADER && r[i].term < MAX_TERM -> startElection(i) }
  :: d_step { r[i].role == CANDIDATE && MAJORITY(r[i].grants) -> becomeLeader(i) }
  :: d_step { r[i].role == LEADER && r[i].size < MAX_LOG -> r[i].log[r[i].size] = r[i].term; r[i].size++ }
  :: d_step { r[i].role == LEADER && r[i].size >= 1 -> advanceCommit(i, 1) }
  :: d_step { r[i].role == LEADER && r[i].size >= 2 -> advanceCommit(i, 2) }
  :: d_step { r[i].role == LEADER -> r[i].role = FOLLOWER }
#ifdef MUTANT_ANSWER_BEFORE_SYNC
  :: d_step { r[i].diskTerm = r[i].term; r[i].diskVote = r[i].vote; r[i].diskSize = r[i].size }
  :: d_step { r[i].role != REMOVED -> /* crash */
      r[i].role = FOLLOWER; r[i].grants = 0; r[i].term = r[i].diskTerm; r[i].vote = r[i].diskVote;
      if :: r[i].size > r[i].diskSize -> r[i].size = r[i].diskSize :: else fi;
      if :: r[i].size == 0 -> r[i].log[0] = 0; r[i].log[1] = 0 :: r[i].size == 1 -> r[i].log[1] = 0 :: else fi }
#else
  :: d_step { r[i].role == CANDIDATE -> /* crash: what was answered is on disk */ r[i].role = FOLLOWER; r[i].grants = 0 }
#endif
  :: d_step { !diskLost && r[i].role != REMOVED ->
      diskLost = true;
      r[i].term = 0; r[i].vote = NONE; r[i].size = 0; r[i].log[0] = 0; r[i].log[1] = 0; r[i].grants = 0;
#ifdef MUTANT_DISK_LOSS_SAME_ID
      r[i].role = FOLLOWER
#else
      /* The identity is gone with the disk; the machine returns as another member. */
      r[i].role = REMOVED
#endif
    }
  od
}

#define CAN_VOTE(v, c) (r[v].role != REMOVED && r[c].role == CANDIDATE && \
  (r[v].term < r[c].term || (r[v].term == r[c].term && (r[v].vote == NONE))))
#define CAN_SEND(l, f) (r[l].role == LEADER && r[f].role != REMOVED && r[f].term <= r[l].term)

proctype Link(byte a; byte b) {
  do
  :: d_step { CAN_VOTE(b, a) -> giveVote(b, a) }
  :: d_step { CAN_SEND(a, b) -> replicate(a, b) }
  od
}

init {
  byte k;
  atomic {
    for (k : 0 .. N - 1) { r[k].vote = NONE;
#ifdef MUTANT_ANSWER_BEFORE_SYNC
      r[k].diskVote = NONE;
#endif
    }
    for (k : 0 .. MAX_TERM) { leaderOfTerm[k] = NONE }
    run Run(0); run Run(1); run Run(2);
    run Link(0, 1); run Link(0, 2); run Link(1, 0); run Link(1, 2); run Link(2, 0); run Link(2, 1)
  }
}
