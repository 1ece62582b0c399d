import type { RouteKind } from "./RouteKind";

/** One service of a route's split. */
interface ServiceShare {
  readonly service: string;
  /** Relative share of the route's requests; at least 0. */
  readonly weight: number;
}

/** Where the requests of a host and path prefix go, and what the operator promises for them. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time a request may be kept waiting for its final answer. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event of a stream, within which it counts as on time. */
  readonly objectiveMs: number;
  /** Longest pause between events within which a stream counts as on time; 0 without one. */
  readonly gapObjectiveMs: number;
  /** Rank, 0 is the most urgent. */
  readonly priority: number;
  readonly split: readonly ServiceShare[];
  /** Most targets to which one request may be sent. */
  readonly attempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  readonly canResume: boolean;
}
