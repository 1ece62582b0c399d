import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { RouteTable } from "@clementinemux/routes/RouteTable";

/** Copy of the fleet's state at one moment, swapped as a whole. */
export interface FleetState {
  /** Null until a document is known. */
  readonly table: RouteTable | null;
  readonly targets: readonly TargetRecord[];
  /** Requests in flight by target, of all other entries. */
  readonly othersInFlight: Readonly<Record<string, number>>;
  /** Times of slow targets for the same work. */
  readonly paces: Readonly<Record<string, number>>;
  readonly liveEntries: number;
}
