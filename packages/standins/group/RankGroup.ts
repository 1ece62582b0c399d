import type { ExpertMap } from "@clementinemux/experts/ExpertMap";
import type { GroupShape } from "@clementinemux/experts/GroupShape";
import { RankActivation } from "@clementinemux/experts/activation/RankActivation";
import { computeRankLoads } from "@clementinemux/experts/computeRankLoads";

interface StepResult {
  /** Time of the step: the sum over layers of the slowest rank. */
  readonly stepMs: number;
  /** Compute time of each rank without waiting. */
  readonly rankMs: Float64Array;
  readonly isMixed: boolean;
}

interface RankGroupSettings {
  readonly shape: GroupShape;
  readonly startMap: ExpertMap;
  readonly msPerToken: number;
  /** Work per unit of time of each rank; below 1 for a slow rank. */
  readonly rankSpeeds: Float64Array;
  readonly orderMaxAgeMs: number;
}

/** Stand-in for a rank group: engines that run steps in lock-step, with a barrier after every layer. */
export class RankGroup {
  readonly ranks: readonly RankActivation[];
  mixedSteps = 0;
  stepCount = 0;
  readonly #settings: RankGroupSettings;
  readonly #maps = new Map<number, ExpertMap>();

  constructor(settings: RankGroupSettings) {
    this.#settings = settings;
    this.#maps.set(settings.startMap.version, settings.startMap);
    const { shape, orderMaxAgeMs } = settings;
    this.ranks = Array.from(
      { length: shape.rankCount },
      (_, rank) => new RankActivation({ rank, incarnation: "1", shape, orderMaxAgeMs }),
    );
  }

  /** All ranks have the weights that they were asked for. */
  finishLoads(): void {
    for (const rank of this.ranks) {
      const map = rank.mapToLoad;
      if (map !== null) {
        this.#maps.set(map.version, map);
        rank.setLoaded(map.version);
      }
    }
  }

  /** Runs a step with the given tokens by layer and expert; null while a rank must wait. */
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
    return { ...this.#computeTimes(version, tokens), isMixed };
  }

  #computeTimes(version: number, tokens: readonly Float64Array[]): Omit<StepResult, "isMixed"> {
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
