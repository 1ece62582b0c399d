/** A team and the API keys of its callers. */
export interface RouteTeam {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority unless it is null. */
  readonly priority: number | null;
}
