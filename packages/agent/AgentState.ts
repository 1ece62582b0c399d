import type { AgentLoad } from "./AgentLoad";
import type { CacheEvent } from "./CacheEvent";
import type { TargetCrash } from "./TargetCrash";
import type { AgentRefusal } from "./AgentRefusal";

/** Response of an agent's `GET /agent/state`, which entries poll. */
export interface AgentState {
  readonly target: string;
  readonly stamp: string;
  readonly accepting: boolean;
  /** Why the agent rejects new requests; null when it accepts them. */
  readonly reason: AgentRefusal | null;
  readonly inFlight: number;
  /** Null before the engine's first load report, and for a target without load reports. */
  readonly load: AgentLoad | null;
  /** Highest configuration revision that the agent has applied. */
  readonly revision: number;
  /** Cache events of the engine that were requested with `cacheAfter` and `cacheLimit`. */
  readonly cacheEvents?: readonly CacheEvent[];
  /** Last crash of the target; null for none, and missing from agents of earlier releases. */
  readonly lastCrash?: TargetCrash | null;
  /** Rank group of the target; null when it is not part of one. */
  readonly group: { readonly name: string; readonly rank: number } | null;
}
