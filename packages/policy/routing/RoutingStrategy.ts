import type { Candidate } from "./Candidate";

/** Chooses one of the candidates. */
export interface RoutingStrategy {
  /** Whether targets without room by their corrected reports are left out before the choice. */
  readonly usesReports: boolean;
  choose(candidates: readonly Candidate[]): Candidate | null;
}
