import { createRandom } from "@clementinemux/common/createRandom";
import { CoordinatorMetrics } from "@clementinemux/control/routes/CoordinatorMetrics";
import { GroupController } from "@clementinemux/control/ranks/GroupController";
import { planBalancedMap } from "@clementinemux/experts/hold/planBalancedMap";
import { PassMeter } from "@clementinemux/gateway/PassMeter";
import { computeConcurrencyLimit } from "@clementinemux/gateway/computeConcurrencyLimit";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import { createLogger } from "@clementinemux/logging/createLogger";
import { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import type { ShiftDay } from "./ShiftDay";
import { ShiftDemand } from "./ShiftDemand";
import { ShiftGroup } from "./ShiftGroup";
import { ShiftPlacement } from "./ShiftPlacement";
import type { ShiftPolicy } from "./ShiftPolicy";
import type { ShiftResult } from "./ShiftResult";
import { ShiftRankChannel } from "./ShiftRankChannel";
import { ShiftStream } from "./ShiftStream";
import { shiftParameters } from "./shiftParameters";

const { ranks: rankCount, slots, stride, stepMs, experts } = shiftParameters;
/** Interval at which a group that is paused at a step barrier checks whether it may continue. */
const pausedPollMs = 5;
/** Longest wait for a slot as a share of the objective, as at a gateway. */
const maxWaitShare = 0.4;
const idealPlanRounds = 12;

/**
 * Simulates a day of one rank group with the real group controller, concurrency limit and pacer, on a virtual
 * clock.
 */
export class ShiftModel {
  readonly #day: ShiftDay;
  readonly #policy: ShiftPolicy;
  readonly #random: () => number;
  readonly #demand: ShiftDemand;
  readonly #group = new ShiftGroup();
  readonly #meter = new PassMeter();
  readonly #controller: GroupController;
  readonly #channels: readonly ShiftRankChannel[];
  #streams: ShiftStream[] = [];
  #waiting: ShiftStream[] = [];
  #nowMs = 0;
  #requestCount = 0;
  #onTime = 0;
  #late = 0;
  #refused = 0;
  #passes = 0;
  #passSumMs = 0;

  constructor(day: ShiftDay, policy: ShiftPolicy) {
    this.#day = day;
    this.#policy = policy;
    this.#random = createRandom(day.seed);
    this.#demand = new ShiftDemand({ ...experts, random: createRandom(day.seed + 1) });
    this.#channels = this.#group.ranks.map(
      (_, rank) => new ShiftRankChannel(this.#group, rank, () => this.#nowMs),
    );
    this.#controller = new GroupController({
      group: "model",
      parameters: experts,
      term: 1,
      fences: FencingTokens.ofTerm(1),
      getGapObjectiveMs: () => day.gapObjectiveMs,
      activate: () => Promise.resolve(false),
      clock: { monotonicMs: () => this.#nowMs, wallMs: () => this.#nowMs },
      metrics: new CoordinatorMetrics(),
      logger: createLogger("bench", {}),
    });
  }

  async run(): Promise<ShiftResult> {
    const { durationMs, shiftEveryMs } = this.#day;
    let arrivalAtMs = this.#drawArrivalGapMs();
    let passAtMs = 0;
    let passEndsAtMs = Infinity;
    let inspectAtMs = 0;
    let shiftAtMs = shiftEveryMs;
    this.#balance();
    while (this.#nowMs < durationMs) {
      this.#nowMs = Math.min(arrivalAtMs, passAtMs, passEndsAtMs, inspectAtMs, shiftAtMs);
      if (this.#nowMs === shiftAtMs) {
        this.#demand.shift(this.#day.shiftShare);
        shiftAtMs += shiftEveryMs;
        this.#balance();
      }
      if (this.#nowMs === arrivalAtMs) {
        this.#addRequest();
        arrivalAtMs += this.#drawArrivalGapMs();
      }
      if (this.#nowMs === passEndsAtMs) {
        this.#endPass();
        [passAtMs, passEndsAtMs] = [this.#nowMs, Infinity];
      }
      if (this.#nowMs === inspectAtMs) {
        inspectAtMs += await this.#inspect();
      }
      if (this.#nowMs === passAtMs) {
        const passMs = this.#beginPass();
        [passAtMs, passEndsAtMs] =
          passMs === null ? [this.#nowMs + pausedPollMs, Infinity] : [Infinity, this.#nowMs + passMs];
      }
    }
    return this.#getResult();
  }

  #getResult(): ShiftResult {
    return {
      asked: this.#requestCount,
      onTime: this.#onTime / this.#requestCount,
      late: this.#late / this.#requestCount,
      refused: this.#refused / this.#requestCount,
      meanPassMs: this.#passSumMs / Math.max(1, this.#passes),
      copies: this.#group.copies,
      heldPasses: this.#group.blockedPasses,
    };
  }

  #addRequest(): void {
    const { meanEvents, meanPromptTokens, gapObjectiveMs } = this.#day;
    this.#requestCount += 1;
    this.#waiting.push(
      new ShiftStream({
        arrivedAtMs: this.#nowMs,
        events: 1 + Math.floor(-Math.log(1 - this.#random()) * (meanEvents - 1)),
        promptTokens: meanPromptTokens * (0.5 + this.#random()),
        maxHoldMs: this.#policy.maxHoldMs,
        gapObjectiveMs,
      }),
    );
  }

  /** Admits requests up to the concurrency limit and rejects those that have waited too long. */
  #admit(): void {
    const { objectiveMs, gapObjectiveMs } = this.#day;
    while (this.#waiting.length > 0) {
      const meanLoad = this.#streams.length / rankCount;
      const meanGapMs = this.#policy.limitsByMeasuredGaps ? this.#meter.getMeanMs(this.#nowMs) : null;
      const limit = computeConcurrencyLimit({ slots, stride, stepMs, gapObjectiveMs, meanGapMs, meanLoad });
      if (meanLoad >= limit) {
        break;
      }
      this.#streams.push(...this.#waiting.splice(0, 1));
    }
    const kept = this.#waiting.filter(
      ({ arrivedAtMs }) => this.#nowMs - arrivedAtMs < objectiveMs * maxWaitShare,
    );
    this.#refused += this.#waiting.length - kept.length;
    this.#waiting = kept;
  }

  #beginPass(): number | null {
    this.#admit();
    const newTokens = this.#streams
      .filter(({ isNew }) => isNew)
      .reduce((most, { promptTokens }) => Math.max(most, promptTokens), 0);
    const passMs = this.#group.beginPass(this.#demand.loads, this.#streams.length, newTokens, this.#nowMs);
    if (passMs !== null) {
      this.#passes += 1;
      this.#passSumMs += passMs;
      this.#meter.note(passMs, this.#nowMs);
    }
    return passMs;
  }

  #endPass(): void {
    this.#streams = this.#streams.filter((stream) => {
      const isDone = stream.push(this.#nowMs);
      if (isDone && stream.isOnTime(this.#day.objectiveMs)) {
        this.#onTime += 1;
      } else if (isDone) {
        this.#late += 1;
      }
      return !isDone;
    });
  }

  async #inspect(): Promise<number> {
    if (this.#policy.placement === ShiftPlacement.Controller) {
      const inspections = await Promise.all(
        this.#channels.map((channel) => channel.inspect(1, InspectionPart.Counts)),
      );
      await this.#controller.step(this.#channels, inspections);
    }
    return this.#controller.nextStepMs;
  }

  #balance(): void {
    const loads = this.#demand.loads;
    const paces = this.#group.ranks.map(() => 1);
    const limits = {
      paces,
      placements: experts.placements,
      spare: Infinity,
      maxNewPerRank: Infinity,
      goalSkew: 1.05,
    };
    for (
      let round = 0;
      this.#policy.placement === ShiftPlacement.Ideal && round < idealPlanRounds;
      round += 1
    ) {
      this.#group.hosting = planBalancedMap({ ...limits, present: this.#group.hosting, loads }).hosting;
    }
  }

  #drawArrivalGapMs(): number {
    return (-Math.log(1 - this.#random()) * 1000) / this.#day.streamsPerS;
  }
}
