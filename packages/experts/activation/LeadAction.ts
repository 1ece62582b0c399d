import type { MapDecision } from "@clementinemux/messages/MapDecision";
import type { LeadActionKind } from "./LeadActionKind";
import type { RankOrder } from "./RankOrder";

/** Action that the caller carries out for a group leader, which itself does no I/O. */
export type LeadAction =
  | { readonly kind: LeadActionKind.SendOrder; readonly order: RankOrder }
  | {
      readonly kind: LeadActionKind.CommitDecision;
      readonly version: number;
      readonly epoch: number;
      readonly decision: MapDecision;
    };
