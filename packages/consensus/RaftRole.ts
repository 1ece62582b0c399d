/** Role of a replica in its Raft group. */
export enum RaftRole {
  Follower = "follower",
  PreCandidate = "pre_candidate",
  Candidate = "candidate",
  Leader = "leader",
}
