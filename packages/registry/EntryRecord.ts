import type { WaitingDemand } from "./WaitingDemand";

/** An entry as reported by itself to its coordinator. */
export interface EntryRecord {
  readonly name: string;
  readonly incarnation: string;
  /** `host:port` that callers connect to. */
  readonly address: string;
  readonly failureDomain: string;
  readonly isReady: boolean;
  /** Requests in flight by target id. */
  readonly inFlight: Readonly<Record<string, number>>;
  /** Requests that wait for a slot, by service and priority. Missing from gateways of earlier releases. */
  readonly waiting?: WaitingDemand;
  /**
   * Remaining work of these requests, in hundredths of a second of the target's time, in the order of the keys of
   * `inFlight`. Missing from entries of earlier releases, and from those that do not route by work.
   */
  readonly remainingCs?: readonly number[];
}
