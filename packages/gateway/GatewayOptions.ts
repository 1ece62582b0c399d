import type { Clock } from "@clementinemux/common/Clock";
import type { Random } from "@clementinemux/common/Random";
import type { Logger } from "roarr";
import type { WireCodec } from "./WireCodec";

/** What a gateway has to know at its start. */
export interface GatewayOptions {
  readonly name: string;
  readonly host: string;
  readonly callerPort: number;
  readonly readyPort: number;
  readonly readyPath: string;
  /** Port of the metrics page; null serves none. */
  readonly metricsPort: number | null;
  readonly failureDomain: string;
  /** Frame addresses of coordinators; hints that may be outdated. */
  readonly seeds: readonly string[];
  readonly repeatRatio: number;
  readonly repeatSlack: number;
  readonly repeatWindowMs: number;
  /** Time from the signal to stop until the process is killed. */
  readonly graceMs: number;
  /** Longest time that an event of a stream is held back to even out pauses; 0 passes each on at once. */
  readonly maxHoldMs: number;
  /** Time without an event for which a stream is never ended, in ms; routes may allow more. */
  readonly leastStallMs: number;
  /** Bytes of uploads and answers that all requests may hold together until these are complete. */
  readonly maxHeldBytes: number;
  /** Requests that may be in flight at once; more are refused. */
  readonly maxInFlight: number;
  readonly codec: WireCodec;
  readonly clock: Clock;
  /** Clock that includes suspensions, for how long the gateway may act on what it knows. */
  readonly leaseClock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}
