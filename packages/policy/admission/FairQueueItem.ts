import type { RequestClass } from "@clementinemux/common/RequestClass";

/** What fair queueing needs to know of a queued request. */
export interface FairQueueItem {
  readonly requestClass: RequestClass;
  readonly classWeight: number;
  readonly team: string;
  readonly teamWeight: number;
  /** Predicted service time; above 0. */
  readonly costMs: number;
}
