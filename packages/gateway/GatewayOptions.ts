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
  readonly failureDomain: string;
  /** Frame addresses of coordinators; hints that may be outdated. */
  readonly seeds: readonly string[];
  readonly repeatRatio: number;
  readonly repeatSlack: number;
  readonly repeatWindowMs: number;
  /** Time from the signal to stop until the process is killed. */
  readonly graceMs: number;
  readonly codec: WireCodec;
  readonly clock: Clock;
  /** Clock that includes suspensions, for how long the gateway may act on what it knows. */
  readonly leaseClock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}
