import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import type { RankChannel } from "@clementinemux/ranker/RankChannel";
import { stalledSlowdown } from "./stalledSlowdown";

interface SilentRankDetectorOptions {
  readonly recordSlowdown: (target: string, slowdown: number) => void;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface RankCheck {
  readonly checkedAtMs: number;
  readonly isSilent: boolean;
}

/** Time between two direct calls to one rank; the platform charges for each. */
const directInspectionIntervalMs = 1000;

/**
 * Detects silent ranks: neither the ranker nor the rank itself responds, as when their instance is stalled or
 * partitioned. A rank whose ranker alone is silent keeps its slowdown.
 */
export class SilentRankDetector {
  readonly #options: SilentRankDetectorOptions;
  readonly #checks = new Map<string, RankCheck>();

  constructor(options: SilentRankDetectorOptions) {
    this.#options = options;
  }

  /** Records that the ranker has responded. */
  recordResponse(target: string): void {
    if (this.#checks.get(target)?.isSilent === true) {
      this.#options.logger.info({ target }, "rank answers again");
    }
    this.#checks.delete(target);
  }

  /** Records that the ranker has not responded. Inspects the rank directly, at a limited rate. */
  async recordMissedResponse(target: string, channel: RankChannel): Promise<void> {
    const { recordSlowdown, clock } = this.#options;
    const previous = this.#checks.get(target);
    if (previous?.isSilent === true) {
      recordSlowdown(target, stalledSlowdown);
    }
    if (previous !== undefined && clock.monotonicMs() - previous.checkedAtMs < directInspectionIntervalMs) {
      return;
    }
    const check = { checkedAtMs: clock.monotonicMs(), isSilent: previous?.isSilent ?? false };
    this.#checks.set(target, check);
    const isSilent = (await channel.inspectDirectly()) === null;
    // A response of the ranker in the meantime takes precedence.
    if (this.#checks.get(target) === check) {
      this.#applyResult(target, check, isSilent);
    }
  }

  #applyResult(target: string, check: RankCheck, isSilent: boolean): void {
    const { recordSlowdown, logger } = this.#options;
    this.#checks.set(target, { ...check, isSilent });
    if (isSilent !== check.isSilent) {
      recordSlowdown(target, isSilent ? stalledSlowdown : 1);
      logger.info({ target }, isSilent ? "rank is silent" : "rank answers again");
    }
  }
}
