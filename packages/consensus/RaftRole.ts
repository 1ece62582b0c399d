/** Part that a replica plays in its log group. */
export enum RaftRole {
  Follower = "follower",
  PreCandidate = "pre_candidate",
  Candidate = "candidate",
  Leader = "leader",
}
