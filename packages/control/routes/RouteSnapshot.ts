import type { TargetEnd } from "../ends/TargetEnd";
import type { EvacuationState } from "../evacuation/EvacuationState";

/** Snapshot of the `routes` log. */
export interface RouteSnapshot {
  readonly version: number;
  readonly bytes: Uint8Array;
  /** Missing from earlier releases. */
  readonly ends?: readonly TargetEnd[];
  /** Missing from earlier releases. */
  readonly evacuations?: EvacuationState;
  /** Known failure domains. Missing from earlier releases. */
  readonly failureDomains?: readonly string[];
}
