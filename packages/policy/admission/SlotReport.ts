/** What a gateway knows of a service at a report: its own state, and that of all other gateways together. */
export interface SlotReport {
  readonly nowMs: number;
  readonly ownInFlight: number;
  readonly othersInFlight: number;
  /** Requests that wait at this gateway, by priority. */
  readonly ownWaiting: ReadonlyMap<number, number>;
  /** Requests that wait at the other gateways, by priority. */
  readonly othersWaiting: ReadonlyMap<number, number>;
}
