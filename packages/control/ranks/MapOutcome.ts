/** Outcomes of a planned expert map. */
export enum MapOutcome {
  Planned = "planned",
  InForce = "in_force",
  Abandoned = "abandoned",
}
