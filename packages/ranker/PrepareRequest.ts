import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import type { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";

type PrepareOrder = Extract<HoldOrder, { kind: HoldOrderKind.Prepare }>;

/** Order of a leader to prepare a map, with the whole map in compressed form. */
export interface PrepareRequest {
  /** Fencing number of the order; it contains the term of the leader. */
  readonly fence: number;
  readonly order: Omit<PrepareOrder, "hosting">;
  /** See `packHosting`. */
  readonly packedHosting: Uint8Array;
}
