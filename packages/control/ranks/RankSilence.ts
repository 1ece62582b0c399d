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

/** Time between two direct questions to one rank; the platform prices them. */
const askAgainMs = 1000;

/**
 * Finds ranks that are silent: neither the process beside them nor the rank itself answers, as when their machine stands
 * still or is cut off. A rank whose neighbour alone is silent goes on as it was.
 */
export class RankSilence {
  readonly #options: RankSilenceOptions;
  readonly #suspicions = new Map<string, Suspicion>();

  constructor(options: RankSilenceOptions) {
    this.#options = options;
  }

  /** The process beside the rank has answered. */
  noteAnswer(target: string): void {
    if (this.#suspicions.get(target)?.isSilent === true) {
      this.#options.logger.info({ target }, "rank answers again");
    }
    this.#suspicions.delete(target);
  }

  /** The process beside the rank has not answered; the rank itself is asked, though not at each look. */
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
    // An answer of the process beside the rank in the meantime counts more.
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
