import type { RequestClass } from "@clementinemux/common/RequestClass";

/** Properties of a request that fair queueing depends on. */
export interface FairQueueItem<Class extends string | number = RequestClass> {
  readonly requestClass: Class;
  readonly classWeight: number;
  readonly team: string;
  readonly teamWeight: number;
  /** Predicted service time; above 0. */
  readonly costMs: number;
  /** Time by which the item has to be served; earlier ones of a team come first. Without it, items keep their order. */
  readonly dueAtMs?: number;
}
