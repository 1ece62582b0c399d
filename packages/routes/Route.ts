import type { RouteKind } from "./RouteKind";

/** One service of a route's traffic split. */
interface ServiceShare {
  readonly service: string;
  /** Relative share of the route's requests; at least 0. */
  readonly weight: number;
}

/** Services and objectives for the requests of a host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time until the final response to a request. */
  readonly timeoutMs: number;
  /** Time to the response, or to the first event of a stream, within which it counts as on time. */
  readonly objectiveMs: number;
  /** Longest gap between events with which a stream counts as on time; 0 if there is no such objective. */
  readonly gapObjectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly split: readonly ServiceShare[];
  /** Most targets that one request may be sent to. */
  readonly attempts: number;
  /** Whether requests are accepted without a key. */
  readonly isPublic: boolean;
  readonly canResume: boolean;
}
