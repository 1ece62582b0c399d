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
import { ShiftLead } from "./ShiftLead";
import type { ShiftPolicy } from "./ShiftPolicy";
import type { ShiftResult } from "./ShiftResult";
import { ShiftRankWay } from "./ShiftRankWay";
import { ShiftStream } from "./ShiftStream";
import { shiftFigures } from "./shiftFigures";

const { ranks: rankCount, slots, stride, stepMs, experts } = shiftFigures;
/** Time after which a group that is held looks whether it may go on. */
const heldPollMs = 5;
/** A request waits this share of its objective for a place, as at a gateway. */
const waitShare = 0.4;
const idealRounds = 12;

/** Plays a day against one group with the decisions of the product, on a virtual clock. */
export class ShiftModel {
  readonly #day: ShiftDay;
  readonly #policy: ShiftPolicy;
  readonly #random: () => number;
  readonly #demand: ShiftDemand;
  readonly #group = new ShiftGroup();
  readonly #meter = new PassMeter();
  readonly #conductor: GroupController;
  readonly #ways: readonly ShiftRankWay[];
  #streams: ShiftStream[] = [];
  #waiting: ShiftStream[] = [];
  #nowMs = 0;
  #asked = 0;
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
    this.#ways = this.#group.ranks.map((_, rank) => new ShiftRankWay(this.#group, rank, () => this.#nowMs));
    this.#conductor = new GroupController({
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
    let arrivalAtMs = this.#drawPause();
    let passAtMs = 0;
    let passEndsAtMs = Infinity;
    let lookAtMs = 0;
    let shiftAtMs = shiftEveryMs;
    this.#balance();
    while (this.#nowMs < durationMs) {
      this.#nowMs = Math.min(arrivalAtMs, passAtMs, passEndsAtMs, lookAtMs, shiftAtMs);
      if (this.#nowMs === shiftAtMs) {
        this.#demand.shift(this.#day.shiftShare);
        shiftAtMs += shiftEveryMs;
        this.#balance();
      }
      if (this.#nowMs === arrivalAtMs) {
        this.#arrive();
        arrivalAtMs += this.#drawPause();
      }
      if (this.#nowMs === passEndsAtMs) {
        this.#endPass();
        [passAtMs, passEndsAtMs] = [this.#nowMs, Infinity];
      }
      if (this.#nowMs === lookAtMs) {
        lookAtMs += await this.#look();
      }
      if (this.#nowMs === passAtMs) {
        const passMs = this.#beginPass();
        [passAtMs, passEndsAtMs] =
          passMs === null ? [this.#nowMs + heldPollMs, Infinity] : [Infinity, this.#nowMs + passMs];
      }
    }
    return this.#getResult();
  }

  #getResult(): ShiftResult {
    return {
      asked: this.#asked,
      onTime: this.#onTime / this.#asked,
      late: this.#late / this.#asked,
      refused: this.#refused / this.#asked,
      meanPassMs: this.#passSumMs / Math.max(1, this.#passes),
      copies: this.#group.copies,
      heldPasses: this.#group.refusedPasses,
    };
  }

  #arrive(): void {
    const { meanEvents, meanPromptTokens, gapObjectiveMs } = this.#day;
    this.#asked += 1;
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

  /** Admits what has a place, and refuses what has waited for one too long. */
  #admit(): void {
    const { objectiveMs, gapObjectiveMs } = this.#day;
    while (this.#waiting.length > 0) {
      const meanLoad = this.#streams.length / rankCount;
      const meanGapMs = this.#policy.hasCap ? this.#meter.getMeanMs(this.#nowMs) : null;
      const cap = computeConcurrencyLimit({ slots, stride, stepMs, gapObjectiveMs, meanGapMs, meanLoad });
      if (meanLoad >= cap) {
        break;
      }
      this.#streams.push(...this.#waiting.splice(0, 1));
    }
    const kept = this.#waiting.filter(
      ({ arrivedAtMs }) => this.#nowMs - arrivedAtMs < objectiveMs * waitShare,
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

  async #look(): Promise<number> {
    if (this.#policy.lead === ShiftLead.Product) {
      const inspections = await Promise.all(this.#ways.map((way) => way.inspect(1, InspectionPart.Counts)));
      await this.#conductor.step(this.#ways, inspections);
    }
    return this.#conductor.nextStepMs;
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
    for (let round = 0; this.#policy.lead === ShiftLead.Ideal && round < idealRounds; round += 1) {
      this.#group.hosting = planBalancedMap({ ...limits, present: this.#group.hosting, loads }).hosting;
    }
  }

  #drawPause(): number {
    return (-Math.log(1 - this.#random()) * 1000) / this.#day.streamsPerS;
  }
}
