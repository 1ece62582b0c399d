import { AnswerLengths } from "./AnswerLengths";
import type { CostRequest } from "./CostRequest";
import { DecayingHistogram } from "./DecayingHistogram";
import type { RequestWork } from "./RequestWork";
import { computeDurationWork } from "./computeDurationWork";
import { computeEngineWork } from "./computeEngineWork";
import { hasTokenCost } from "./hasTokenCost";

interface RouteKnowledge {
  readonly lengths: AnswerLengths;
  readonly durations: DecayingHistogram;
}

/** Routes beyond this number are learned anew, the least recently used first. */
const maxRoutes = 1024;
const durationOptions = { minValue: 1, octaves: 17, priorMedian: 100, priorOctaves: 5, priorWeight: 2 };
const defaultAnswerTokens = 100;
/** With a distribution this wide, what has arrived of an answer says nothing about the rest of it. */
const memorylessOctaves = 5;

/**
 * Expected work of requests, from the parameters of their engine and from what was learned of their route.
 * Has no I/O and takes the current time as a parameter.
 */
export class CostModel {
  readonly #routes = new Map<string, RouteKnowledge>();

  /** Number of routes that something was learned of. */
  get routeCount(): number {
    return this.#routes.size;
  }

  estimate(request: CostRequest): RequestWork {
    const known = this.#routes.get(request.route);
    if (!hasTokenCost(request.engine)) {
      const [durationMs = durationOptions.priorMedian] = known?.durations.getQuantiles([0.5]) ?? [];
      return computeDurationWork(durationMs, request.slots);
    }
    const lengths = known?.lengths ?? unlearned;
    const { mean, spread } = lengths.estimate(getBasis(request));
    const minLeftTokens = mean * Math.min(1, spread / memorylessOctaves);
    const maxTokens = request.maxAnswerTokens > 0 ? request.maxAnswerTokens : Infinity;
    return computeEngineWork(request.engine, request.promptTokens, mean, { minLeftTokens, maxTokens });
  }

  /** Expected length of an answer that has `doneTokens` already, more than was expected. */
  estimateAnswerAbove(request: CostRequest, doneTokens: number): number {
    const lengths = this.#routes.get(request.route)?.lengths ?? unlearned;
    return lengths.estimateAbove(getBasis(request), doneTokens);
  }

  /** Work of a completed request. `answerTokens` is 0 if its response was not a stream. */
  measure(
    { engine, promptTokens, slots }: CostRequest,
    answerTokens: number,
    durationMs: number,
  ): RequestWork {
    return hasTokenCost(engine)
      ? computeEngineWork(engine, promptTokens, answerTokens)
      : computeDurationWork(durationMs, slots);
  }

  /** Learns from a request that has completed. `answerTokens` is 0 if its response was not a stream. */
  note(request: CostRequest, answerTokens: number, durationMs: number, nowMs: number): void {
    const { lengths, durations } = this.#take(request.route);
    durations.note(durationMs, nowMs);
    if (answerTokens > 0) {
      lengths.note(getBasis(request), answerTokens, nowMs);
    }
  }

  #take(route: string): RouteKnowledge {
    const known = this.#routes.get(route) ?? {
      lengths: new AnswerLengths(),
      durations: new DecayingHistogram(durationOptions),
    };
    this.#routes.delete(route);
    this.#routes.set(route, known);
    const [oldest] = this.#routes.keys();
    if (this.#routes.size > maxRoutes && oldest !== undefined) {
      this.#routes.delete(oldest);
    }
    return known;
  }
}

/** Prior estimate for routes without data; never updated. */
const unlearned = new AnswerLengths();

function getBasis({ engine, hintTokens, maxAnswerTokens }: CostRequest) {
  const meanTokens = engine?.meanAnswerTokens ?? 0;
  return {
    hintTokens,
    usualTokens: meanTokens > 0 ? meanTokens : defaultAnswerTokens,
    maxTokens: maxAnswerTokens,
  };
}
