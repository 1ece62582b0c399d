import type { RankHosting } from "./RankHosting";

/** Map that is to come into force. */
export interface MapGoal {
  readonly version: number;
  readonly hosting: RankHosting;
  /** Epoch for which it was planned; void in any other. */
  readonly epoch: number;
}
