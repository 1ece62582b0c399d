import type { Random } from "@clementinemux/common/Random";
import { CostModel } from "@clementinemux/cost/CostModel";
import type { CostRequest } from "@clementinemux/cost/CostRequest";
import type { RequestWork } from "@clementinemux/cost/RequestWork";
import type { TargetLoad } from "@clementinemux/cost/TargetLoad";
import { WorkLedger } from "@clementinemux/cost/WorkLedger";
import { computeEngineWork } from "@clementinemux/cost/computeEngineWork";
import { estimateFinishMs } from "@clementinemux/cost/estimateFinishMs";
import type { EventQueue } from "../EventQueue";
import type { ChoiceRequest } from "./ChoiceRequest";
import type { ChoiceReport } from "./ChoiceReport";
import type { ModelCandidate } from "./ModelCandidate";
import type { RankModel } from "./RankModel";
import { choiceParameters } from "./choiceParameters";
import { getEndTokens } from "./getEndTokens";
import { getTrueLoad } from "./getTrueLoad";

const { engine, ranksPerGroup, slotWaitMs, slotPollMs } = choiceParameters;

interface ChoiceGatewayOptions {
  readonly events: EventQueue;
  readonly ranks: readonly RankModel[];
  readonly failureDomain: number;
  readonly choose: (candidates: readonly ModelCandidate[], random: Random) => string | null;
  /** Whether the present state of the ranks and the true lengths are known. */
  readonly isPerfect: boolean;
  readonly random: Random;
}

/** A modelled gateway, which sees its own requests exactly and those of the others by their reports. */
export class ChoiceGateway {
  readonly #options: ChoiceGatewayOptions;
  readonly #model = new CostModel();
  readonly #ledger = new WorkLedger();
  readonly #own: Float64Array;
  #others: ChoiceReport;

  constructor(options: ChoiceGatewayOptions) {
    this.#options = options;
    const size = options.ranks.length;
    this.#own = new Float64Array(size);
    this.#others = { inFlight: new Float64Array(size), leftMs: new Float64Array(size) };
  }

  report(): ChoiceReport {
    const leftMs = Float64Array.from(this.#own, (_, rank) => this.#ledger.get(String(rank)).leftMs);
    return { inFlight: Float64Array.from(this.#own), leftMs };
  }

  learn(others: ChoiceReport): void {
    this.#others = others;
  }

  submit(request: ChoiceRequest): void {
    const { events, choose, random, ranks } = this.#options;
    const cost = this.#describe(request);
    const work = this.#model.estimate(cost);
    const chosen = choose(this.#listCandidates(request, work), random);
    const rank = chosen === null ? undefined : ranks[Number(chosen)];
    if (chosen !== null && rank !== undefined) {
      this.#send(request, cost, work, chosen, rank);
    } else if (events.nowMs - request.arrivedAtMs + slotPollMs > slotWaitMs) {
      request.isRejected = true;
    } else {
      events.schedule(slotPollMs, () => {
        this.submit(request);
      });
    }
  }

  #send(request: ChoiceRequest, cost: CostRequest, work: RequestWork, id: string, rank: RankModel): void {
    const { events } = this.#options;
    const index = Number(id);
    this.#own[index] = (this.#own[index] ?? 0) + 1;
    const running = this.#ledger.begin(id, work, (done) => this.#model.estimateAnswerAbove(cost, done));
    rank.submit(
      request,
      () => {
        running.noteEvent();
      },
      () => {
        this.#own[index] = (this.#own[index] ?? 1) - 1;
        running.end();
        this.#model.note(cost, request.events * engine.stride, 0, events.nowMs);
      },
    );
  }

  #listCandidates(request: ChoiceRequest, work: RequestWork): ModelCandidate[] {
    const { ranks, isPerfect, failureDomain } = this.#options;
    const usedWork = isPerfect
      ? computeEngineWork(engine, request.promptTokens, request.events * engine.stride)
      : work;
    return ranks.map((rank, index) => {
      const load = isPerfect ? getTrueLoad(rank) : this.#getLoad(index);
      const heldTokens = isPerfect ? getTrueHeldTokens(rank) : this.#getHeldTokens(index);
      return {
        id: String(index),
        slots: engine.slots,
        load: load.requests,
        weight: 1,
        isNear: Math.floor(index / ranksPerGroup) === failureDomain,
        finishMs: estimateFinishMs(usedWork, load),
        leftMs: load.leftMs,
        hasMemory: heldTokens + usedWork.promptTokens + usedWork.answerTokens <= engine.kvCapacityTokens,
      };
    });
  }

  #getHeldTokens(index: number): number {
    const perRequest = engine.meanPromptTokens + engine.meanAnswerTokens;
    return this.#ledger.get(String(index)).heldTokens + (this.#others.inFlight[index] ?? 0) * perRequest;
  }

  #getLoad(index: number): TargetLoad {
    const { leftMs, prefillMs } = this.#ledger.get(String(index));
    return {
      requests: (this.#own[index] ?? 0) + (this.#others.inFlight[index] ?? 0),
      leftMs: leftMs + (this.#others.leftMs[index] ?? 0),
      prefillMs,
    };
  }

  #describe({ promptTokens, hintTokens, maxTokens }: ChoiceRequest): CostRequest {
    return {
      route: "r",
      engine,
      slots: engine.slots,
      promptTokens,
      hintTokens,
      maxAnswerTokens: maxTokens,
    };
  }
}

/** Tokens that the requests of a rank hold at their end. */
function getTrueHeldTokens({ requests }: RankModel): number {
  return requests.reduce((sum, request) => sum + getEndTokens(request), 0);
}
