import type { Clock } from "@clementinemux/common/Clock";
import type { Random } from "@clementinemux/common/Random";
import type { TlsFiles } from "@clementinemux/wire/TlsFiles";
import type { ProbeRequest } from "./ProbeRequest";
import type { FailureDetectorSettings } from "./FailureDetectorSettings";

/** Options of a relay. */
export interface RelayOptions {
  /** Name of this relay. The origin of its changes is made of this name and the time of its start. */
  readonly name: string;
  readonly failureDomain: string;
  /** Frame addresses (`host:port`) of the other relays. */
  readonly peers: readonly string[];
  readonly tls: TlsFiles | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly failureDetector: Partial<FailureDetectorSettings>;
  readonly tickIntervalMs: number;
  readonly syncIntervalMs: number;
  readonly rpcTimeoutMs: number;
  /** Weight of a target that is suspect but kept. */
  readonly suspectWeight: number;
  /** Called with an error thrown by a tick; later ticks still run. */
  readonly onError: (error: unknown) => void;
  /** Tries to reach a target's agent on a new connection. */
  readonly probe: (request: ProbeRequest, timeoutMs: number) => Promise<boolean>;
}
