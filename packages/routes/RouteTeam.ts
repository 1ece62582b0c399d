/** A team and the keys that its callers present. */
export interface RouteTeam {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the route's priority when it is not null. */
  readonly priority: number | null;
}
