import type { MapDecision } from "@clementinemux/messages/MapDecision";
import type { ExpertMap } from "../ExpertMap";
import type { RankOrderKind } from "./RankOrderKind";
import type { RankStamp } from "./RankStamp";
import type { ScheduledMap } from "./ScheduledMap";

interface OrderHeader {
  readonly epoch: number;
  readonly rank: number;
  readonly stamp: RankStamp;
}

type OrderBody =
  | { readonly kind: RankOrderKind.Query }
  | { readonly kind: RankOrderKind.Join; readonly schedule: readonly ScheduledMap[] }
  | { readonly kind: RankOrderKind.Prepare; readonly map: ExpertMap }
  | { readonly kind: RankOrderKind.Arm; readonly version: number; readonly beforeStep: number }
  | { readonly kind: RankOrderKind.Decide; readonly version: number; readonly decision: MapDecision };

/** Order from a group leader to a rank. */
export type RankOrder = OrderHeader & OrderBody;
