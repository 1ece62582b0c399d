import type { ModelEngine } from "./ModelEngine";

/** One situation of the bench. */
export interface Scenario {
  readonly name: string;
  readonly durationMs: number;
  /** Offered load as a share of the nominal capacity. */
  readonly getLoadShare: (atMs: number) => number;
  /** Additional load of one team, as a share of the nominal capacity. */
  readonly getFloodShare: (atMs: number) => number;
  /** How often the popular prefixes change; 0 for never. */
  readonly driftIntervalMs: number;
  /** Called every 100 ms to change the engines. */
  readonly applyFaults: (engines: readonly ModelEngine[], atMs: number) => void;
  /** How many times a caller submits again after a refusal, as told by Retry-After. */
  readonly callerRetryCount: number;
}
