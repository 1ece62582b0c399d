import type { MapDecision } from "@clementinemux/messages/MapDecision";
import type { ExpertMap } from "../ExpertMap";

/** Map that a leader is activating. */
export interface Proposal {
  readonly map: ExpertMap;
  readonly startedAtMs: number;
  /** Incarnation of each rank that has confirmed that it is armed. */
  readonly confirmations: Map<number, string>;
  /** Incarnation of each rank when the activation started. */
  readonly incarnations: ReadonlyMap<number, string>;
  /** Step at which the map becomes active; null until every rank has prepared the map. */
  beforeStep: number | null;
  /** Decision that is sent to the control log, or null; it does not change once it was sent. */
  committing: MapDecision | null;
}
