import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { WaitingDemand } from "@clementinemux/registry/WaitingDemand";
import type { RouteTable } from "@clementinemux/routes/RouteTable";

/** Snapshot of the fleet's state, replaced as a whole. */
export interface FleetState {
  /** Null until a document is known. */
  readonly table: RouteTable | null;
  readonly targets: readonly TargetRecord[];
  /** Requests in flight by target, from all other gateways. */
  readonly othersInFlight: Readonly<Record<string, number>>;
  /** Requests that wait for a slot at all other gateways. */
  readonly othersWaiting: WaitingDemand;
  /** Remaining work by target, from all other gateways, in ms; null when it is not reported. */
  readonly othersRemainingMs: ReadonlyMap<string, number> | null;
  /** Slowdown of slow targets by id: a multiple of the usual time for the same work. */
  readonly slowdowns: Readonly<Record<string, number>>;
  readonly liveEntries: number;
}
