/** Algorithms that assign units to entries. `Balanced` is used in production, the others are baselines. */
export enum SubsetKind {
  Random = "random",
  Rendezvous = "rendezvous",
  Balanced = "balanced",
}
