/** Ways to choose a target. All but `Full` are baselines for comparison. */
export enum RoutingKind {
  Random = "random",
  RoundRobin = "round_robin",
  LeastRequests = "least_requests",
  TwoChoices = "two_choices",
  Full = "full",
}
