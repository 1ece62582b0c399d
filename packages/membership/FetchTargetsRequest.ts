/** Body of `fetchTargets`. Without `since`, the answer is the plain list of announcements. */
export interface FetchTargetsRequest {
  /** `directory`, `version` and `subset` of the previous answer; null for the first question. */
  readonly since?: {
    readonly directory: string;
    readonly version: number;
    readonly subset: string;
  } | null;
  /** Only engines that serve one of these models, and services. */
  readonly models?: readonly string[];
  /**
   * Only the groups and single targets assigned to this entry, at least `groupCount` for each model. In a fleet of
   * at most `allUpTo` targets every entry gets all of them.
   */
  readonly subset?: { readonly entry: string; readonly groupCount: number; readonly allUpTo?: number };
  /** Most targets in one answer. */
  readonly limit?: number;
}
