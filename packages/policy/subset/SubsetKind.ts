/** Ways to assign units to entries; `Balanced` is the one in use, the others are for comparison. */
export enum SubsetKind {
  Random = "random",
  Rendezvous = "rendezvous",
  Balanced = "balanced",
}
