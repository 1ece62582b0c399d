/** Answer of an agent's `GET /agent/state`, polled by the entries. */
export interface AgentState {
  readonly target: string;
  readonly stamp: string;
  readonly accepting: boolean;
  readonly inFlight: number;
}
