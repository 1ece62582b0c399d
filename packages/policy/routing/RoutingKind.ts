/** Routing strategies. All except `Full` are baselines for benchmarks. */
export enum RoutingKind {
  Random = "random",
  RoundRobin = "round_robin",
  LeastRequests = "least_requests",
  TwoChoices = "two_choices",
  Full = "full",
}
