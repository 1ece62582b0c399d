import type { TargetIncarnation } from "@clementinemux/registry/TargetIncarnation";
import type { TargetRegistry } from "@clementinemux/registry/TargetRegistry";
import type { ColdBounds } from "@clementinemux/routes/ColdBounds";
import type { RouteTable } from "@clementinemux/routes/RouteTable";
import { defaultColdBounds } from "@clementinemux/routes/defaultColdBounds";
import { computeColdRatePerS } from "@clementinemux/routes/computeColdRatePerS";

interface ColdRatesOptions {
  readonly targets: Pick<TargetRegistry, "find" | "getColdLeftMs">;
  /** 1.5 times the rate of a cold target and 5 requests more by default. */
  readonly bounds?: ColdBounds | undefined;
  /** Null until there is a document. */
  readonly getTable: () => RouteTable | null;
}

/** Rates at which the leader grants permits for cold targets. Has no I/O and no clock. */
export class ColdRates {
  readonly #options: ColdRatesOptions;

  constructor(options: ColdRatesOptions) {
    this.#options = options;
  }

  /**
   * Requests per second that a target may get; null when it is warm. `statedPerS` is what the gateway that asks knows; null if
   * it takes the target for warm. The lower rate applies, since either of the two may have missed a heartbeat.
   */
  getRatePerS(target: TargetIncarnation, statedPerS: number | null, nowMs: number): number | null {
    const known = this.#options.targets.find(target.id);
    if (statedPerS !== null && known !== null && known.bornMs > target.bornMs) {
      // The request would reach the later incarnation, which has permits of its own.
      return 0;
    }
    const knownPerS = this.#getKnownPerS(target, nowMs);
    return knownPerS === null || statedPerS === null
      ? (knownPerS ?? statedPerS)
      : Math.min(knownPerS, statedPerS);
  }

  #getKnownPerS(target: TargetIncarnation, nowMs: number): number | null {
    const { targets, bounds = defaultColdBounds, getTable } = this.#options;
    if (targets.getColdLeftMs(target, nowMs) === 0) {
      return null;
    }
    const service = targets.find(target.id)?.service ?? "";
    const coldStart = getTable()?.findService(service)?.coldStart ?? null;
    return coldStart === null ? null : computeColdRatePerS(coldStart.requestsPerS, bounds);
  }
}
