import type { AgentLoad } from "./AgentLoad";
import type { CacheEvent } from "./CacheEvent";
import type { AgentRefusal } from "./AgentRefusal";

/** Answer of an agent's `GET /agent/state`, polled by the entries. */
export interface AgentState {
  readonly target: string;
  readonly stamp: string;
  readonly accepting: boolean;
  /** Why it accepts no new work; null when it does. */
  readonly reason: AgentRefusal | null;
  readonly inFlight: number;
  /** Null before the first report of the engine, and for a target that reports none. */
  readonly load: AgentLoad | null;
  /** Highest configuration revision that the agent has applied. */
  readonly revision: number;
  /** Cache events of the engine, when the question asks for them with `cacheAfter` and `cacheLimit`. */
  readonly cacheEvents?: readonly CacheEvent[];
  /** Rank group; null for a target that runs alone. */
  readonly group: { readonly name: string; readonly rank: number } | null;
}
