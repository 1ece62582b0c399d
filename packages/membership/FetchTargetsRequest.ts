/** Body of `fetchTargets`. Without `since`, the response is the plain list of announcements. */
export interface FetchTargetsRequest {
  /** `directory`, `version` and `subset` of the previous response; null in the first request. */
  readonly since?: {
    readonly directory: string;
    readonly version: number;
    readonly subset: string;
  } | null;
  /** Returns only services and engines that serve one of these models. */
  readonly models?: readonly string[];
  /**
   * Returns only the groups and single targets assigned to this entry, `groupCount` for each model if there
   * are that many. In a fleet of at most `allUpTo` targets every entry gets all of them.
   */
  readonly subset?: { readonly entry: string; readonly groupCount: number; readonly allUpTo?: number };
  /** Most targets in one response. */
  readonly limit?: number;
}
