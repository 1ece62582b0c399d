import type { MapDecision } from "@clementinemux/messages/MapDecision";

/** Present lead of a rank group, and its last map decision. */
export interface GroupLeaseRecord {
  readonly holder: string;
  readonly incarnation: string;
  readonly epoch: number;
  readonly mapVersion: number;
  readonly decision: MapDecision | null;
}
