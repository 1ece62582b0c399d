import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import type { RankWay } from "@clementinemux/ranker/RankWay";
import { stoppedPace } from "./stoppedPace";

interface RankSilenceOptions {
  readonly notePace: (target: string, pace: number) => void;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface Suspicion {
  readonly askedAtMs: number;
  readonly isSilent: boolean;
}

/** Time between two direct calls to one rank; the platform charges for each. */
const askAgainMs = 1000;

/**
 * Detects silent ranks: neither the ranker nor the rank itself responds, as when their instance is stalled or
 * partitioned. A rank whose ranker alone is silent keeps its slowdown.
 */
export class RankSilence {
  readonly #options: RankSilenceOptions;
  readonly #suspicions = new Map<string, Suspicion>();

  constructor(options: RankSilenceOptions) {
    this.#options = options;
  }

  /** Records that the ranker has responded. */
  noteAnswer(target: string): void {
    if (this.#suspicions.get(target)?.isSilent === true) {
      this.#options.logger.info({ target }, "rank answers again");
    }
    this.#suspicions.delete(target);
  }

  /** Records that the ranker has not responded. Inspects the rank directly, at a limited rate. */
  async noteMissed(target: string, way: RankWay): Promise<void> {
    const { notePace, clock } = this.#options;
    const known = this.#suspicions.get(target);
    if (known?.isSilent === true) {
      notePace(target, stoppedPace);
    }
    if (known !== undefined && clock.monotonicMs() - known.askedAtMs < askAgainMs) {
      return;
    }
    const asked = { askedAtMs: clock.monotonicMs(), isSilent: known?.isSilent ?? false };
    this.#suspicions.set(target, asked);
    const isSilent = (await way.inspectDirectly()) === null;
    // A response of the ranker in the meantime takes precedence.
    if (this.#suspicions.get(target) === asked) {
      this.#judge(target, asked, isSilent);
    }
  }

  #judge(target: string, asked: Suspicion, isSilent: boolean): void {
    const { notePace, logger } = this.#options;
    this.#suspicions.set(target, { ...asked, isSilent });
    if (isSilent !== asked.isSilent) {
      notePace(target, isSilent ? stoppedPace : 1);
      logger.info({ target }, isSilent ? "rank is silent" : "rank answers again");
    }
  }
}
