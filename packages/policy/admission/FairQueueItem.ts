import type { RequestClass } from "@clementinemux/common/RequestClass";

/** Properties of a request that fair queueing depends on. */
export interface FairQueueItem {
  readonly requestClass: RequestClass;
  readonly classWeight: number;
  readonly team: string;
  readonly teamWeight: number;
  /** Predicted service time; above 0. */
  readonly costMs: number;
}
