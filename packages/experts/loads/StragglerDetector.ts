import type { StragglerReport } from "./StragglerReport";
import { RankAssessment } from "./RankAssessment";

// A rank's compute time varies by a few percent between windows on healthy hardware.
const slowExcess = 1.15;
const recoveredExcess = 1.05;
// A single long pause must not make a rank be reported for replacement.
const windowsToConfirm = 5;
const loadedRatio = 1.1;
// A group at half speed, or with this share of stragglers, wastes more than it serves.
const drainExcess = 2;
const drainShare = 0.25;

interface RankHistory {
  incarnation: string;
  slowCount: number;
  healthyCount: number;
  isSlow: boolean;
  excess: number;
}

interface RankSample {
  readonly incarnation: string;
  readonly stepMs: number;
  /** Load summed over the layers, with the active map. */
  readonly load: number;
}

function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

/**
 * Distinguishes ranks that are slow because of the load of their experts from stragglers, which are slow
 * regardless of load. Compute time is assumed to be proportional to load; only time beyond that counts as
 * excess.
 */
export class StragglerDetector {
  readonly #histories = new Map<number, RankHistory>();
  readonly #rankCount: number;

  constructor(rankCount: number) {
    this.#rankCount = rankCount;
  }

  /** Evaluates one window. Stragglers without a sample are still reported as slow. */
  assess(samples: ReadonlyMap<number, RankSample>): StragglerReport {
    const medianMs = getMedian([...samples.values()].map(({ stepMs }) => stepMs));
    const medianLoad = getMedian([...samples.values()].map(({ load }) => load));
    const assessments = new Array<RankAssessment>(this.#rankCount).fill(RankAssessment.Healthy);
    const reportForReplacement: number[] = [];
    for (const [rank, sample] of samples) {
      const history = this.#getHistory(rank, sample.incarnation);
      const timeRatio = medianMs > 0 ? sample.stepMs / medianMs : 1;
      const loadRatio = medianLoad > 0 ? sample.load / medianLoad : 1;
      const wasSlow = history.isSlow;
      this.#addExcess(history, timeRatio / Math.max(1, loadRatio));
      if (history.isSlow && !wasSlow) {
        reportForReplacement.push(rank);
      }
      if (!history.isSlow && timeRatio > loadedRatio && loadRatio > loadedRatio) {
        assessments[rank] = RankAssessment.ExpertLoad;
      }
    }
    return this.#createReport(assessments, reportForReplacement);
  }

  #getHistory(rank: number, incarnation: string): RankHistory {
    const known = this.#histories.get(rank);
    if (known?.incarnation === incarnation) {
      return known;
    }
    const created = { incarnation, slowCount: 0, healthyCount: 0, isSlow: false, excess: 1 };
    this.#histories.set(rank, created);
    return created;
  }

  #addExcess(history: RankHistory, excess: number): void {
    history.excess += (excess - history.excess) / windowsToConfirm;
    history.slowCount = excess >= slowExcess ? history.slowCount + 1 : 0;
    history.healthyCount = excess <= recoveredExcess ? history.healthyCount + 1 : 0;
    if (history.slowCount >= windowsToConfirm) {
      history.isSlow = true;
    }
    if (history.healthyCount >= windowsToConfirm) {
      history.isSlow = false;
    }
  }

  #createReport(assessments: RankAssessment[], reportForReplacement: readonly number[]): StragglerReport {
    const rankSpeeds = new Float64Array(this.#rankCount).fill(1);
    const slowRanks = new Set<number>();
    let worstExcess = 1;
    for (const [rank, history] of this.#histories) {
      if (history.isSlow) {
        assessments[rank] = RankAssessment.SlowRank;
        rankSpeeds[rank] = 1 / Math.max(1, history.excess);
        slowRanks.add(rank);
        worstExcess = Math.max(worstExcess, history.excess);
      }
    }
    const suggestDrain = worstExcess >= drainExcess || slowRanks.size >= this.#rankCount * drainShare;
    return { assessments, rankSpeeds, slowRanks, reportForReplacement, suggestDrain };
  }
}
