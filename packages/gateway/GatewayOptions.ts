import type { Clock } from "@clementinemux/common/Clock";
import type { Random } from "@clementinemux/common/Random";
import type { ColdBounds } from "@clementinemux/routes/ColdBounds";
import type { Logger } from "roarr";
import type { QueueMode } from "./QueueMode";
import type { TargetChoiceKind } from "./TargetChoiceKind";
import type { WireCodec } from "./WireCodec";

/** Configuration and dependencies of a gateway. */
export interface GatewayOptions {
  readonly name: string;
  readonly host: string;
  readonly callerPort: number;
  readonly readyPort: number;
  readonly readyPath: string;
  /** Port of the metrics page; null disables it. */
  readonly metricsPort: number | null;
  readonly failureDomain: string;
  /** Frame addresses of coordinators; hints that may be outdated. */
  readonly seeds: readonly string[];
  readonly repeatRatio: number;
  readonly repeatSlack: number;
  readonly repeatWindowMs: number;
  /** Time from the stop signal until the process is killed. */
  readonly graceMs: number;
  /** Longest time that an event of a stream is delayed to even out pauses; 0 forwards each at once. */
  readonly maxHoldMs: number;
  /** Shortest stall timeout of streams, in ms; routes may allow more. */
  readonly minStallTimeoutMs: number;
  /** Bytes of uploads and responses that all requests together may buffer until these are complete. */
  readonly maxHeldBytes: number;
  /** Requests that may be in flight at once; more are rejected. */
  readonly maxInFlight: number;
  /** What cold targets may get; 1.5 times their rate and 5 requests more by default. */
  readonly coldBounds?: ColdBounds;
  readonly queueMode: QueueMode;
  readonly targetChoice: TargetChoiceKind;
  readonly codec: WireCodec;
  readonly clock: Clock;
  /** Clock that includes suspensions of the machine; used for how long the gateway may rely on its state. */
  readonly leaseClock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}
