import type { Random } from "@clementinemux/common/Random";
import { RequestClass } from "@clementinemux/common/RequestClass";
import { TargetKind } from "@clementinemux/common/TargetKind";
import { hashString } from "@clementinemux/common/hashString";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import { getTeamSettings } from "@clementinemux/policy/getTeamSettings";
import type { Deployment } from "./Deployment";
import type { RequestRecord } from "./RequestRecord";
import { engineModel } from "./engineModel";

const sharedPrefixCount = 400;
const sharedBlockCount = 10;
const zipfExponent = 1.1;
/** Means of the sizes drawn below; the nominal capacity is computed from them. */
const meanOutputTokens = 112;
const meanUncachedTokens = 400;

/**
 * Draws requests: teams by their shares, and prompts that begin with a shared prefix of Zipf-distributed
 * popularity.
 */
export class Workload {
  readonly config: FleetConfig;
  readonly #deployment: Deployment;
  readonly #random: Random;
  readonly #driftIntervalMs: number;
  readonly #cumulative: readonly number[];
  #count = 0;

  constructor(deployment: Deployment, random: Random, driftIntervalMs: number) {
    this.#deployment = deployment;
    this.#random = random;
    this.#driftIntervalMs = driftIntervalMs;
    this.config = createConfig(deployment.teamShares.length);
    const weights = Array.from({ length: sharedPrefixCount }, (_, rank) => (rank + 1) ** -zipfExponent);
    this.#cumulative = accumulate(weights);
  }

  /**
   * Requests/s that the engines complete with full batches and `meanUncachedTokens` of prefill per request.
   */
  getNominalPerS(): number {
    const { batchLimitCount, stepMs, prefillMsPerToken } = engineModel;
    const perStep = batchLimitCount / meanOutputTokens;
    const fullStepMs = 2 * stepMs + perStep * meanUncachedTokens * prefillMsPerToken;
    return (this.#deployment.engineCount * perStep * 1000) / fullStepMs;
  }

  drawTeam(): number {
    return draw(accumulate(this.#deployment.teamShares), this.#random);
  }

  createRecord(teamIndex: number, nowMs: number, isMeasured: boolean): RequestRecord {
    this.#count += 1;
    const team = `team-${teamIndex}`;
    const settings = getTeamSettings(this.config, { team, model: "m", service: "", region: "r" });
    const ownTokens = 100 + Math.floor(this.#random() * 400);
    const maxTokenCount = 100 + Math.floor(this.#random() * 100);
    const requestId = `request-${this.#count}`;
    return {
      request: {
        requestId,
        team,
        kind: TargetKind.Engine,
        model: "m",
        adapter: "",
        requestClass: settings.requestClass,
        arrivedAtMs: nowMs,
        deadlineAtMs: nowMs + settings.deadlineMs,
        promptTokenCount: sharedBlockCount * engineModel.blockTokens + ownTokens,
        maxTokenCount,
        prefixHashes: this.#drawPrefix(requestId, ownTokens, nowMs),
        repeatable: true,
      },
      outputTokenCount: Math.ceil(maxTokenCount * (0.5 + 0.5 * this.#random())),
      isMeasured,
      deliveredCount: 0,
      firstTokenAtMs: null,
      completedAtMs: null,
      refusedOutcome: null,
      refusedAtMs: null,
      hasRun: false,
      firstPrefillCount: null,
      attemptCount: 0,
      isIncorrect: false,
    };
  }

  #drawPrefix(requestId: string, ownTokens: number, nowMs: number): readonly number[] {
    const rank = draw(this.#cumulative, this.#random);
    const shift = this.#driftIntervalMs === 0 ? 0 : Math.floor(nowMs / this.#driftIntervalMs) * 37;
    const shared = (rank + shift) % sharedPrefixCount;
    const sharedHashes = Array.from({ length: sharedBlockCount }, (_, block) =>
      hashString(`p${shared}.${block}`),
    );
    const ownCount = Math.floor(ownTokens / engineModel.blockTokens);
    const ownHashes = Array.from({ length: ownCount }, (_, block) => hashString(`${requestId}.${block}`));
    return [...sharedHashes, ...ownHashes];
  }
}

function createConfig(teamCount: number): FleetConfig {
  const config = createDefaultConfig();
  const { classes } = config.defaults;
  const classOf = (index: number): RequestClass => {
    if (index < 3) {
      return RequestClass.Important;
    }
    return index >= teamCount - 2 ? RequestClass.Bulk : RequestClass.Standard;
  };
  return {
    ...config,
    defaults: {
      ...config.defaults,
      classes: {
        [RequestClass.Important]: { ...classes[RequestClass.Important], deadlineMs: 8000 },
        [RequestClass.Standard]: { ...classes[RequestClass.Standard], deadlineMs: 12_000 },
        [RequestClass.Bulk]: { ...classes[RequestClass.Bulk], deadlineMs: 30_000 },
      },
      // High enough to disable the team limits, so that the scenarios measure fairness without them.
      teamRequestsPerS: 100_000,
      teamTokensPerS: 100_000_000,
    },
    exceptions: Array.from({ length: teamCount }, (_, index) => ({
      id: `class-${index}`,
      reason: "class of the team in the bench",
      author: "bench",
      createdAtMs: 0,
      expiresAtMs: null,
      selector: { team: `team-${index}` },
      override: { requestClass: classOf(index) },
    })),
  };
}

function accumulate(weights: readonly number[]): readonly number[] {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let sum = 0;
  return weights.map((weight) => (sum += weight) / total);
}

function draw(cumulative: readonly number[], random: Random): number {
  const value = random();
  const index = cumulative.findIndex((bound) => value < bound);
  return index < 0 ? cumulative.length - 1 : index;
}
