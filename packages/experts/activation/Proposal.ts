import type { MapDecision } from "@clementinemux/messages/MapDecision";
import type { ExpertMap } from "../ExpertMap";

/** Map that a lead is activating. */
export interface Proposal {
  readonly map: ExpertMap;
  readonly startedAtMs: number;
  /** Incarnation of each rank that has confirmed its arm. */
  readonly confirmations: Map<number, string>;
  /** Incarnation of each rank at the start. */
  readonly incarnations: ReadonlyMap<number, string>;
  /** Set when every rank has prepared the map. */
  beforeStep: number | null;
  /** Decision on its way to the control log; it is never changed once sent. */
  committing: MapDecision | null;
}
