import type { TargetIncarnation } from "./TargetIncarnation";

/** What a target has stated about the requests that it takes from all gateways together. */
export interface TargetLimit extends TargetIncarnation {
  /** Requests per second; null when its answers name no limit any more. */
  readonly limitPerS: number | null;
  /** Time since the answer that stated it, in ms. */
  readonly ageMs: number;
}
