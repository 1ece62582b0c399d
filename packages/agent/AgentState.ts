import type { AgentLoad } from "./AgentLoad";
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
  /** Rank group; null for a target that runs alone. */
  readonly group: { readonly name: string; readonly rank: number } | null;
}
