import type { Random } from "@clementinemux/common/Random";
import { createRandom } from "@clementinemux/common/createRandom";
import { EventQueue } from "../EventQueue";
import { ChoiceGateway } from "./ChoiceGateway";
import { ChoiceKind } from "./ChoiceKind";
import type { ChoiceReport } from "./ChoiceReport";
import type { ChoiceRequest } from "./ChoiceRequest";
import { RankModel } from "./RankModel";
import { choiceParameters } from "./choiceParameters";
import { choosers } from "./choosers";
import { createRequest } from "./createRequest";

interface ChoiceModelOptions {
  readonly kind: ChoiceKind;
  readonly gateways: number;
  readonly requestsPerS: number;
  /** Standard deviation of the logarithm (base 2) of hint by length; null for requests without a hint. */
  readonly hintError: number | null;
  readonly durationMs: number;
  /** Ranks whose passes wait for each other; 1 for independent engines. */
  readonly ranksPerGroup: number;
  readonly seed: number;
}

interface KnownReport {
  readonly report: ChoiceReport;
  readonly atMs: number;
}

const { ranks, failureDomains, arrivalShares, waveShare, waveMs, reportMs, exchangeMs } = choiceParameters;
const idlePollMs = 5;
const warmUpMs = 5000;
const drainMs = 15_000;

/** Model of gateways that choose ranks by what they know of each other's requests, on a virtual clock. */
export class ChoiceModel {
  readonly #options: ChoiceModelOptions;
  readonly #events = new EventQueue();
  readonly #random: Random;
  readonly #ranks = Array.from({ length: ranks }, () => new RankModel());
  readonly #gateways: readonly ChoiceGateway[];
  /** The reports of each gateway, the newest first, as far as they can still be the newest that is known. */
  readonly #reports: KnownReport[][];
  readonly #requests: ChoiceRequest[] = [];

  constructor(options: ChoiceModelOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    this.#reports = Array.from({ length: options.gateways }, () => []);
    this.#gateways = Array.from(
      { length: options.gateways },
      (_, index) =>
        new ChoiceGateway({
          events: this.#events,
          ranks: this.#ranks,
          failureDomain: index % failureDomains,
          choose: choosers[options.kind],
          isPerfect: options.kind === ChoiceKind.Perfect,
          random: createRandom(options.seed + 1 + index),
        }),
    );
  }

  /** Runs the model and returns all requests with what became of them. */
  run(): readonly ChoiceRequest[] {
    const { ranksPerGroup } = this.#options;
    for (let first = 0; first < ranks; first += ranksPerGroup) {
      this.#runPass(this.#ranks.slice(first, first + ranksPerGroup));
    }
    for (const index of this.#gateways.keys()) {
      this.#events.schedule((reportMs * index) / this.#gateways.length, () => {
        this.#exchange(index);
      });
    }
    for (let failureDomain = 0; failureDomain < failureDomains; failureDomain += 1) {
      this.#scheduleArrival(failureDomain);
    }
    this.#events.runUntil(this.#options.durationMs + drainMs);
    return this.#requests;
  }

  /** A pass of a group takes as long as that of its slowest rank. */
  #runPass(group: readonly RankModel[]): void {
    const passMs = group.reduce((longest, rank) => Math.max(longest, rank.startPass()), 0);
    this.#events.schedule(passMs === 0 ? idlePollMs : passMs, () => {
      for (const rank of passMs === 0 ? [] : group) {
        rank.endPass(this.#events.nowMs);
      }
      this.#runPass(group);
    });
  }

  #exchange(index: number): void {
    const { nowMs } = this.#events;
    const gateway = this.#gateways[index];
    if (gateway !== undefined) {
      const kept = [{ report: gateway.report(), atMs: nowMs }, ...(this.#reports[index] ?? [])];
      this.#reports[index] = kept.slice(0, 2);
      gateway.learn(this.#sumOthers(index));
    }
    this.#events.schedule(reportMs, () => {
      this.#exchange(index);
    });
  }

  #sumOthers(index: number): ChoiceReport {
    const sum = { inFlight: new Float64Array(ranks), leftMs: new Float64Array(ranks) };
    for (const [other, reports] of this.#reports.entries()) {
      const known = reports.find(({ atMs }) => atMs <= this.#events.nowMs - exchangeMs)?.report;
      for (let rank = 0; other !== index && known !== undefined && rank < ranks; rank += 1) {
        sum.inFlight[rank] = (sum.inFlight[rank] ?? 0) + (known.inFlight[rank] ?? 0);
        sum.leftMs[rank] = (sum.leftMs[rank] ?? 0) + (known.leftMs[rank] ?? 0);
      }
    }
    return sum;
  }

  #scheduleArrival(failureDomain: number): void {
    const { requestsPerS, durationMs, hintError } = this.#options;
    const phase = failureDomain / failureDomains;
    const wave = 1 + waveShare * Math.sin(2 * Math.PI * (this.#events.nowMs / waveMs + phase));
    const perMs = ((arrivalShares[failureDomain] ?? 0) * requestsPerS * wave) / 1000;
    this.#events.schedule(-Math.log(1 - this.#random()) / perMs, () => {
      const { nowMs } = this.#events;
      if (nowMs >= durationMs) {
        return;
      }
      const request = createRequest(this.#random, { nowMs, hintError, isMeasured: nowMs >= warmUpMs });
      this.#requests.push(request);
      this.#pickGateway(failureDomain)?.submit(request);
      this.#scheduleArrival(failureDomain);
    });
  }

  #pickGateway(failureDomain: number): ChoiceGateway | undefined {
    const near = this.#gateways.filter((_, index) => index % failureDomains === failureDomain);
    return near[Math.floor(this.#random() * near.length)];
  }
}
