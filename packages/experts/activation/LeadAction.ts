import type { MapDecision } from "@clementinemux/messages/MapDecision";
import type { LeadActionKind } from "./LeadActionKind";
import type { RankOrder } from "./RankOrder";

/** What a group lead asks its shell to do. */
export type LeadAction =
  | { readonly kind: LeadActionKind.SendOrder; readonly order: RankOrder }
  | {
      readonly kind: LeadActionKind.CommitDecision;
      readonly version: number;
      readonly epoch: number;
      readonly decision: MapDecision;
    };
