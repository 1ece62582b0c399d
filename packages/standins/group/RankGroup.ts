import type { ExpertMap } from "@clementinemux/experts/ExpertMap";
import type { GroupShape } from "@clementinemux/experts/GroupShape";
import { RankActivation } from "@clementinemux/experts/activation/RankActivation";
import { computeRankLoads } from "@clementinemux/experts/computeRankLoads";

interface StepResult {
  /** Map version that the ranks used; that of rank 0 if they differed. */
  readonly version: number;
  /** Duration of the step: the sum over layers of the slowest rank's compute time. */
  readonly stepMs: number;
  /** Compute time of each rank, without its waiting at barriers. */
  readonly rankMs: Float64Array;
  /** Whether ranks used different map versions. */
  readonly isMixed: boolean;
}

interface RankGroupSettings {
  readonly shape: GroupShape;
  readonly startMap: ExpertMap;
  /** Compute time of a token on a rank of speed 1. */
  readonly msPerToken: number;
  /** Relative speed of each rank; below 1 for a slow rank. */
  readonly rankSpeeds: Float64Array;
  readonly orderMaxAgeMs: number;
  /** Whether the engines themselves check epochs and stamps. Default true. */
  readonly checksFencing?: boolean;
  /** Initial incarnation of every rank. Default "1". */
  readonly incarnation?: string;
}

/** Stand-in for a rank group: ranks that run steps in lockstep, with a barrier after every layer. */
export class RankGroup {
  readonly #ranks: RankActivation[];
  /** Steps in which ranks used different map versions. */
  mixedSteps = 0;
  stepCount = 0;
  readonly #settings: RankGroupSettings;
  readonly #maps = new Map<number, ExpertMap>();

  constructor(settings: RankGroupSettings) {
    this.#settings = settings;
    this.#maps.set(settings.startMap.version, settings.startMap);
    const { shape, incarnation = "1" } = settings;
    this.#ranks = Array.from({ length: shape.rankCount }, (_, rank) => this.#createRank(rank, incarnation));
  }

  get ranks(): readonly RankActivation[] {
    return this.#ranks;
  }

  /** Map of a version that some rank has loaded; null if none has. */
  getMap(version: number): ExpertMap | null {
    return this.#maps.get(version) ?? null;
  }

  /**
   * Restarts a rank without its state. The others have recovered the group and wait for it at their next
   * step.
   */
  restartRank(rank: number, incarnation: string): void {
    const others = this.#ranks.filter((_, index) => index !== rank);
    const restarted = this.#createRank(rank, incarnation);
    restarted.setStep(Math.max(0, ...others.map((other) => other.getStatus(0).nextStep)));
    this.#ranks[rank] = restarted;
  }

  /** Marks the weights of a map as loaded on a rank. */
  completeWeightLoad(rank: number, map: ExpertMap): void {
    this.#maps.set(map.version, map);
    this.#ranks[rank]?.setLoaded(map.version);
  }

  /** Completes the pending weight loads of all ranks. */
  completeWeightLoads(): void {
    for (const [rank, { mapToLoad }] of this.#ranks.entries()) {
      if (mapToLoad !== null) {
        this.completeWeightLoad(rank, mapToLoad);
      }
    }
  }

  /** Runs a step with the given tokens by layer and expert. Returns null while a rank has to wait. */
  runStep(tokens: readonly Float64Array[]): StepResult | null {
    const versions = this.ranks.map((rank) => rank.getNextVersion());
    const version = versions[0];
    if (version === undefined || version === null || versions.includes(null)) {
      return null;
    }
    const isMixed = versions.some((other) => other !== version);
    this.mixedSteps += isMixed ? 1 : 0;
    this.stepCount += 1;
    for (const rank of this.ranks) {
      rank.startStep();
    }
    return { version, ...this.#computeTimes(version, tokens), isMixed };
  }

  #createRank(rank: number, incarnation: string): RankActivation {
    const { shape, orderMaxAgeMs, checksFencing = true } = this.#settings;
    return new RankActivation({ rank, incarnation, shape, orderMaxAgeMs, checksFencing });
  }

  #computeTimes(version: number, tokens: readonly Float64Array[]): Pick<StepResult, "stepMs" | "rankMs"> {
    const { shape, msPerToken, rankSpeeds, startMap } = this.#settings;
    const map = this.#maps.get(version) ?? startMap;
    const rankMs = new Float64Array(shape.rankCount);
    let stepMs = 0;
    for (const [index, layer] of map.layers.entries()) {
      const times = computeRankLoads(layer, tokens[index] ?? [], shape.rankCount).map(
        (load, rank) => (load * msPerToken) / (rankSpeeds[rank] ?? 1),
      );
      stepMs += Math.max(...times);
      for (const [rank, time] of times.entries()) {
        rankMs[rank] = (rankMs[rank] ?? 0) + time;
      }
    }
    return { stepMs, rankMs };
  }
}
