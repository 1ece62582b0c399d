import type { Candidate } from "./Candidate";

export interface RoutingStrategy {
  /** Whether targets whose corrected load reports show no capacity are excluded before the choice. */
  readonly usesLoadReports: boolean;
  choose(candidates: readonly Candidate[]): Candidate | null;
}
