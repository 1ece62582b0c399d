/** Policies for the expert map, for comparison. */
export enum MapPolicyName {
  /** Keeps the map of the start of the day. */
  None = "none",
  Contiguous = "contiguous",
  /** Heaviest first with replication, computed anew in each period. */
  Greedy = "greedy",
  Planner = "planner",
  /** Planner restricted to shifts of the split. */
  SplitOnly = "split_only",
  /** Planner's moves with an equal split among replicas. */
  MovesOnly = "moves_only",
}
