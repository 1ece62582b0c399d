import type { TargetRole } from "@clementinemux/common/TargetRole";
import type { PlacementOrderKind } from "./PlacementOrderKind";

/** Order to a runner. An unload precedes the load that needs the freed memory. */
export type PlacementOrder =
  | {
      readonly kind: PlacementOrderKind.Load;
      readonly target: string;
      readonly item: string;
      readonly sizeBytes: number;
    }
  | { readonly kind: PlacementOrderKind.Unload; readonly target: string; readonly item: string }
  | { readonly kind: PlacementOrderKind.SetRole; readonly target: string; readonly role: TargetRole };
