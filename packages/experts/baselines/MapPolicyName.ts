/** Policies for the expert map, to compare the planner with. */
export enum MapPolicyName {
  /** Keeps the initial map of the day. */
  None = "none",
  Contiguous = "contiguous",
  /** Places replicas in descending order of load; recomputes the whole map in each period. */
  Greedy = "greedy",
  Planner = "planner",
  /** Planner restricted to changes of the split. */
  SplitOnly = "split_only",
  /** Planner's moves with an equal split among replicas. */
  MovesOnly = "moves_only",
}
