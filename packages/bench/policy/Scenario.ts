import type { ModelEngine } from "./ModelEngine";

/** Load and faults of one bench run. */
export interface Scenario {
  readonly name: string;
  readonly durationMs: number;
  /** Offered load as a share of the nominal capacity. */
  readonly getLoadShare: (atMs: number) => number;
  /** Additional load of one team, as a share of the nominal capacity. */
  readonly getFloodShare: (atMs: number) => number;
  /** Time between changes of the popular prefixes; 0 for none. */
  readonly driftIntervalMs: number;
  /** Called every 100 ms to change the engines. */
  readonly applyFaults: (engines: readonly ModelEngine[], atMs: number) => void;
  /** How many times a caller retries a rejected request, each time after the delay in Retry-After. */
  readonly callerRetryCount: number;
}
