/** Outcomes of a planned expert map. */
export enum MapOutcome {
  Planned = "planned",
  Active = "in_force",
  Abandoned = "abandoned",
}
