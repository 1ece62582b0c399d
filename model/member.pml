/*
 * Membership change of the control group, one voter at a time.
 * Bounds: voters {0,1,2,3}; replica 4 or 5 may be added; candidates 0 and 1; terms up to 3; logs up to 2 entries.
 * A configuration counts as soon as it is in a replica's log.
 *
 * Property: a committed entry is in the log of every later leader and never changes.
 * Mutants: MUTANT_CHANGE_BEFORE_OWN_COMMIT, MUTANT_TWO_AT_ONCE (both replicas added in one step)
 */
#define N 6
#define MAX_TERM 3
#define MAX_LOG 2
#define NONE 7
#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2
#define BIT(i) (1 << (i))
#define TERM_OF(entry) ((entry) >> 2)
#define KIND_OF(entry) ((entry) & 3)
#define PLAIN 0
#ifdef MUTANT_TWO_AT_ONCE
/* Three voters, since any two replicas may join four at once without two separate majorities. */
#define FIRST_VOTERS 7
#else
#define FIRST_VOTERS 15
#endif

typedef Replica {
  byte role;
  byte term;
  byte vote;
  byte size;
  byte log[2];
  byte grants;
  byte holds[2]; /* who has acknowledged each entry of this leader's log */
};
Replica r[N];
byte committed[2];
byte commitTerm[2];
byte committedSize;
byte kind;
byte mask;
byte count;

inline getVoters(i) {
  kind = PLAIN;
  if :: r[i].size >= 1 && KIND_OF(r[i].log[0]) != PLAIN -> kind = KIND_OF(r[i].log[0]) :: else fi;
  if :: r[i].size >= 2 && KIND_OF(r[i].log[1]) != PLAIN -> kind = KIND_OF(r[i].log[1]) :: else fi;
  if
  :: kind == PLAIN -> mask = FIRST_VOTERS
#ifdef MUTANT_TWO_AT_ONCE
  :: kind != PLAIN -> mask = 55
#else
  :: kind == 1 -> mask = 31
  :: kind == 2 -> mask = 47
#endif
  fi
}

/* Sets count to how many voters of mask are in set, less half of the voters; above 0 is a majority. */
inline countMajority(set) {
  count = 10;
  if :: (mask & 1) && (set & 1) -> count = count + 2 :: else fi;
  if :: (mask & 2) && (set & 2) -> count = count + 2 :: else fi;
  if :: (mask & 4) && (set & 4) -> count = count + 2 :: else fi;
  if :: (mask & 8) && (set & 8) -> count = count + 2 :: else fi;
  if :: (mask & 16) && (set & 16) -> count = count + 2 :: else fi;
  if :: (mask & 32) && (set & 32) -> count = count + 2 :: else fi;
  if :: mask == 7 -> count = count - 3 :: mask == 15 -> count = count - 4 :: else -> count = count - 5 fi
}
#define IS_MAJORITY (count > 10)

#define LAST_TERM(i) (r[i].size == 0 -> 0 : TERM_OF(r[i].log[r[i].size - 1]))
#define UP_TO_DATE(c, v) \
  (LAST_TERM(c) > LAST_TERM(v) || (LAST_TERM(c) == LAST_TERM(v) && r[c].size >= r[v].size))

inline clearHelpers() { kind = 0; mask = 0; count = 0 }

inline startElection(i) {
  r[i].term++;
  r[i].role = CANDIDATE;
  r[i].vote = i;
  r[i].grants = BIT(i)
}

inline becomeLeader(c) {
  getVoters(c);
  countMajority(r[c].grants);
  if
  :: IS_MAJORITY ->
    r[c].role = LEADER;
    r[c].grants = 0;
    r[c].holds[0] = 0;
    r[c].holds[1] = 0;
    assert(committedSize < 1 || commitTerm[0] >= r[c].term || (r[c].size >= 1 && r[c].log[0] == committed[0]));
    assert(committedSize < 2 || commitTerm[1] >= r[c].term || (r[c].size >= 2 && r[c].log[1] == committed[1]))
  :: else
  fi;
  clearHelpers()
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

inline replicate(l, f) {
  if :: r[f].term < r[l].term -> r[f].vote = NONE :: else fi;
  r[f].term = r[l].term;
  r[f].role = FOLLOWER;
  if
  :: r[f].size > 0 && r[f].log[0] != r[l].log[0] -> r[f].log[0] = r[l].log[0]; r[f].log[1] = 0; r[f].size = 1
  :: r[f].size == 0 -> r[f].log[0] = r[l].log[0]; r[f].size = 1
  :: r[f].size == 1 && r[l].size == 2 && r[f].log[0] == r[l].log[0] -> r[f].log[1] = r[l].log[1]; r[f].size = 2
  :: r[f].size == 2 && r[l].size == 2 && r[f].log[0] == r[l].log[0] && r[f].log[1] != r[l].log[1] ->
    r[f].log[1] = r[l].log[1]
  :: else
  fi;
  if :: r[f].log[0] == r[l].log[0] -> r[l].holds[0] = r[l].holds[0] | BIT(f) :: else fi;
  if
  :: r[l].size == 2 && r[f].size == 2 && r[f].log[1] == r[l].log[1] && r[f].log[0] == r[l].log[0] ->
    r[l].holds[1] = r[l].holds[1] | BIT(f)
  :: else
  fi
}

inline commitFirst(l) {
  if
  :: committedSize >= 1 -> assert(r[l].log[0] == committed[0])
  :: else -> committed[0] = r[l].log[0]; commitTerm[0] = r[l].term; committedSize = 1
  fi
}

inline advanceCommit(l, n) {
  getVoters(l);
  countMajority((r[l].holds[n - 1] | BIT(l)));
  if
  :: IS_MAJORITY && TERM_OF(r[l].log[n - 1]) == r[l].term ->
    commitFirst(l);
    if
    :: n == 2 && committedSize >= 2 -> assert(r[l].log[1] == committed[1])
    :: n == 2 && committedSize < 2 -> committed[1] = r[l].log[1]; commitTerm[1] = r[l].term; committedSize = 2
    :: else
    fi
  :: else
  fi;
  clearHelpers()
}

#ifdef MUTANT_CHANGE_BEFORE_OWN_COMMIT
#define MAY_CHANGE(l) true
#else
/* The first entry of the term is committed. */
#define MAY_CHANGE(l) (r[l].size == 1 && committedSize >= 1 && commitTerm[0] == r[l].term)
#endif

/* Replica 0 adds replica 4, and replica 1 adds replica 5. */
proctype Run(byte i) {
  do
  :: d_step { r[i].role != LEADER && r[i].term < MAX_TERM -> startElection(i) }
  :: d_step { r[i].role == CANDIDATE -> becomeLeader(i) }
  :: d_step { r[i].role == LEADER && r[i].size < MAX_LOG -> r[i].log[r[i].size] = r[i].term << 2; r[i].size++ }
  :: d_step { r[i].role == LEADER && r[i].size < MAX_LOG && MAY_CHANGE(i) ->
      r[i].log[r[i].size] = (r[i].term << 2) + 1 + i; r[i].size++ }
  :: d_step { r[i].role == LEADER && r[i].size >= 1 -> advanceCommit(i, 1) }
  :: d_step { r[i].role == LEADER && r[i].size >= 2 -> advanceCommit(i, 2) }
  od
}

proctype Link(byte a; byte b) {
  do
  :: d_step { r[a].role == CANDIDATE && (r[b].term < r[a].term || (r[b].term == r[a].term && r[b].vote == NONE)) ->
      giveVote(b, a) }
  :: d_step { r[a].role == LEADER && r[a].size > 0 && r[b].term <= r[a].term -> replicate(a, b) }
  od
}

init {
  byte k;
  atomic {
    for (k : 0 .. N - 1) { r[k].vote = NONE }
    run Run(0); run Run(1);
    run Link(0, 1); run Link(0, 2); run Link(0, 3); run Link(0, 4);
#ifdef MUTANT_TWO_AT_ONCE
    run Link(0, 5);
#endif
    run Link(1, 0); run Link(1, 2); run Link(1, 3); run Link(1, 5)
  }
}
