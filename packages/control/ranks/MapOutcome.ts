/** What became of a plan for the placement of experts. */
export enum MapOutcome {
  Planned = "planned",
  InForce = "in_force",
  Abandoned = "abandoned",
}
