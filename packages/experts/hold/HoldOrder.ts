import type { HoldOrderKind } from "./HoldOrderKind";
import type { RankHosting } from "./RankHosting";

/** Order of the leader to one rank. */
export type HoldOrder = {
  readonly rank: number;
  readonly epoch: number;
} & (
  | { readonly kind: HoldOrderKind.Prepare; readonly version: number; readonly hosting: RankHosting }
  | { readonly kind: HoldOrderKind.Hold | HoldOrderKind.Go; readonly step: number }
  | { readonly kind: HoldOrderKind.Arm; readonly version: number; readonly step: number }
  | { readonly kind: HoldOrderKind.Disarm; readonly version: number }
);
