import type { MapDecision } from "@clementinemux/messages/MapDecision";
import type { LeaderActionKind } from "./LeaderActionKind";
import type { RankOrder } from "./RankOrder";

/** Action that the caller carries out for a group leader, which itself does no I/O. */
export type LeaderAction =
  | { readonly kind: LeaderActionKind.SendOrder; readonly order: RankOrder }
  | {
      readonly kind: LeaderActionKind.CommitDecision;
      readonly version: number;
      readonly epoch: number;
      readonly decision: MapDecision;
    };
