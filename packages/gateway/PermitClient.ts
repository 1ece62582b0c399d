import type { Clock } from "@clementinemux/common/Clock";
import type { Random } from "@clementinemux/common/Random";
import type { Counters } from "@clementinemux/metrics/Counters";
import type { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import type { LimitTable } from "@clementinemux/registry/LimitTable";
import type { PermitAnswer } from "@clementinemux/registry/PermitAnswer";
import type { PermitRequest } from "@clementinemux/registry/PermitRequest";
import type { PermitResponse } from "@clementinemux/registry/PermitResponse";
import type { TargetIncarnation } from "@clementinemux/registry/TargetIncarnation";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { ColdPermitOutcome } from "./ColdPermitOutcome";
import { GatewayHandler } from "./GatewayHandler";
import type { Permit } from "./Permit";
import { PermitOutcome } from "./PermitOutcome";

/** What a gateway knows of cold targets. */
interface ColdRates {
  /** Requests per second that a cold target may get from all gateways together; null for a warm one. */
  getRatePerS(target: TargetRecord): number | null;
  /** Ids of the cold targets. */
  listIds(): ReadonlySet<string>;
  readonly outcomes: Counters<ColdPermitOutcome>;
}

interface PermitClientOptions {
  readonly limits: LimitTable;
  /** Null if no target is ever cold. */
  readonly cold: ColdRates | null;
  /** Resolves with null when no permits can be had. Never rejects. */
  readonly call: (request: PermitRequest) => Promise<PermitResponse | null>;
  /** Gateways that share the permits. */
  readonly getLiveEntries: () => number;
  readonly outcomes: Counters<PermitOutcome>;
  readonly errors: ErrorBoundary<GatewayHandler>;
  readonly clock: Clock;
  readonly random: Random;
}

interface PendingAsk {
  readonly targets: readonly TargetRecord[];
  readonly maxWaitMs: number;
  readonly askedAtMs: number;
  readonly resolve: (permit: Permit | null) => void;
}

/** What this gateway knows of the permits of one target. */
interface PermitState {
  /** Until then the leader has no permit that nobody holds. */
  freeAtMs: number;
  probedAtMs: number;
  /** Until when the permits are booked for callers that this gateway has told to return. */
  bookedUntilMs: number;
}

/** Longest time that a request waits for a permit; the leader promises none for later. */
const maxWaitMs = 1000;
/** A permit may be used this long after its start. */
const permitValidMs = 100;
/** An answer that took longer, since this process stood still, grants nothing. */
const maxAnswerMs = 400;
/** The leader is asked again after this time, though it has named a later one. */
const maxMemoryMs = 5000;
/** Time until the next call after one that failed. */
const failedPauseMs = 100;
/**
 * Calls per second of all gateways together while targets are cold: the leader spends 46 us on one, and 2.7% of a core at most.
 * Further asks share the next call of their gateway.
 */
const maxColdCallsPerS = 580;
/** A limited target that nothing was heard of for this long gets a request, so that the end of its limit is learned. */
const probeAgeMs = 1000;
const maxReturnMs = 10_000;
const minReturnMs = 300;
/** Callers that are rejected together return spread over this share of the delay. */
const returnSpread = 0.25;

/**
 * Fetches permits for sends to limited and cold targets from the leading coordinator, and remembers for which targets there are none,
 * so that a crowd of requests makes few calls. Without a permit nothing may be sent.
 */
export class PermitClient {
  readonly #options: PermitClientOptions;
  readonly #states = new Map<string, PermitState>();
  #queue: PendingAsk[] = [];
  /** After a failed call, the coordinators are left alone until then. */
  #blockedUntilMs = -Infinity;
  #calledAtMs = -Infinity;

  constructor(options: PermitClientOptions) {
    this.#options = options;
  }

  /** Whether no permit can be had for the moment, as no coordinator grants any. */
  get isBlocked(): boolean {
    return this.#now() < this.#blockedUntilMs;
  }

  /** Asks for a permit of any of the targets that can be used within `waitMs`. Resolves with null when there is none. */
  take(targets: readonly TargetRecord[], waitMs: number): Promise<Permit | null> {
    return new Promise((resolve) => {
      const askedAtMs = this.#now();
      this.#queue.push({ targets, maxWaitMs: Math.min(maxWaitMs, waitMs), askedAtMs, resolve });
      if (this.#queue.length === 1) {
        this.#flushSoon();
      }
    });
  }

  /** Time until a permit may be used, in ms. */
  getStartInMs({ startAtMs }: Permit): number {
    return Math.max(0, startAtMs - this.#now());
  }

  /** Whether a permit may still be used; counts those that may not. */
  checkValid({ target, isForCold, endAtMs }: Permit): boolean {
    const isCold = this.#getColdRatePerS(target) !== null;
    const isValid = this.#now() <= endAtMs && (isForCold || !isCold);
    if (!isValid) {
      this.#options.outcomes.add(PermitOutcome.Expired);
      this.#countCold(isForCold || isCold, ColdPermitOutcome.Expired);
    }
    return isValid;
  }

  /** Whether the leader may have a permit of a target within `waitMs`, as far as this gateway knows. */
  mayHave({ id }: TargetIncarnation, waitMs: number): boolean {
    const freeInMs = (this.#states.get(id)?.freeAtMs ?? -Infinity) - this.#now();
    const knownInMs = Math.max(freeInMs, this.#getCallInMs());
    return !this.isBlocked && knownInMs <= Math.min(maxWaitMs, Math.max(0, waitMs));
  }

  /** Whether a request should go to the target to learn whether its limit still applies; then true once in a while. */
  takeProbe(target: TargetIncarnation): boolean {
    const nowMs = this.#now();
    const state = this.#getState(target);
    const isDue =
      // The end of a cold time is known.
      this.#options.limits.getLimitPerS(target) !== null &&
      this.#options.limits.getAgeMs(target, nowMs) > probeAgeMs &&
      nowMs - state.probedAtMs > probeAgeMs &&
      this.mayHave(target, 0);
    if (isDue) {
      state.probedAtMs = nowMs;
    }
    return isDue;
  }

  /**
   * Time after which a rejected caller may return, in ms, when all targets of its service are limited. Each one books the
   * next permit of this gateway's share.
   */
  bookReturnMs(targets: readonly TargetRecord[]): number {
    const nowMs = this.#now();
    const gateways = Math.max(1, this.#options.getLiveEntries());
    const returns = targets.map((target) => {
      const state = this.#getState(target);
      const limitPerS = this.#getRatePerS(target) ?? 0;
      const spacingMs = limitPerS === 0 ? Infinity : (1000 * gateways) / limitPerS;
      const atMs = Math.max(nowMs + minReturnMs, state.freeAtMs, state.bookedUntilMs);
      return { state, atMs, spacingMs };
    });
    const [first] = returns
      .filter(({ spacingMs }) => Number.isFinite(spacingMs))
      .sort((a, b) => a.atMs - b.atMs);
    const inMs = Math.min(maxReturnMs, (first?.atMs ?? Infinity) - nowMs);
    if (first !== undefined) {
      first.state.bookedUntilMs = nowMs + Math.min(maxReturnMs, inMs + first.spacingMs);
    }
    return inMs * (1 + this.#options.random() * returnSpread);
  }

  /** Forgets what the leader has said of a target whose limit has changed. */
  reset(id: string): void {
    this.#states.delete(id);
  }

  /** Removes the state of targets without a limit. */
  retain(): void {
    const { limits, cold } = this.#options;
    const limited = limits.list(this.#now()).map(({ id }) => id);
    const known = new Set([...limited, ...(cold?.listIds() ?? [])]);
    for (const id of this.#states.keys()) {
      if (!known.has(id)) {
        this.#states.delete(id);
      }
    }
  }

  #flushSoon(): void {
    const inMs = this.#getCallInMs();
    const flush = (): void => {
      this.#flush();
    };
    if (inMs > 0) {
      setTimeout(flush, inMs);
    } else {
      setImmediate(flush);
    }
  }

  /** Time until this gateway may call the leader, in ms. */
  #getCallInMs(): number {
    const { cold, getLiveEntries } = this.#options;
    const gapMs =
      cold === null || cold.listIds().size === 0 ? 0 : (1000 * getLiveEntries()) / maxColdCallsPerS;
    return Math.max(0, this.#calledAtMs + gapMs - this.#now());
  }

  #flush(): void {
    const batch = this.#queue;
    this.#queue = [];
    this.#calledAtMs = this.#now();
    const { errors } = this.#options;
    void errors
      .runAsync(GatewayHandler.Permits, () => this.#send(batch))
      .finally(() => {
        for (const { resolve } of batch) {
          resolve(null);
        }
      });
  }

  /** Asks for the permits of a batch. What an exception leaves without an answer gets no permit. */
  async #send(batch: readonly PendingAsk[]): Promise<void> {
    const sentAtMs = this.#now();
    const request = this.#createRequest(batch);
    const response = await this.#options.call(request);
    const answers = this.#now() - sentAtMs > maxAnswerMs ? [] : (response?.answers ?? []);
    const knowsCold = response?.knowsCold === true;
    const coldIds = new Set(Object.keys(request.coldRatesPerS ?? {}));
    for (const [index, ask] of batch.entries()) {
      const isUsable = knowsCold || !ask.targets.some(({ id }) => coldIds.has(id));
      ask.resolve(this.#apply(ask, isUsable ? (answers[index] ?? null) : null, coldIds));
    }
  }

  #createRequest(batch: readonly PendingAsk[]): PermitRequest {
    const { limits } = this.#options;
    const nowMs = this.#now();
    const getLeftMs = ({ maxWaitMs, askedAtMs }: PendingAsk): number =>
      Math.max(0, maxWaitMs - (nowMs - askedAtMs));
    const targets = new Map(batch.flatMap((ask) => ask.targets).map((target) => [target.id, target]));
    return {
      asks: batch.map((ask) => ({ targets: ask.targets.map(getIncarnation), maxWaitMs: getLeftMs(ask) })),
      limits: [...targets.values()].map((target) => ({
        ...getIncarnation(target),
        limitPerS: limits.getLimitPerS(target),
        ageMs: limits.getAgeMs(target, nowMs),
      })),
      coldRatesPerS: this.#describeCold([...targets.values()]),
      isForwarded: false,
    };
  }

  #describeCold(targets: readonly TargetRecord[]): Record<string, number> {
    const rates: Record<string, number> = {};
    for (const target of targets) {
      const ratePerS = this.#getColdRatePerS(target);
      if (ratePerS !== null) {
        rates[target.id] = ratePerS;
      }
    }
    return rates;
  }

  #getColdRatePerS(target: TargetRecord): number | null {
    return this.#options.cold?.getRatePerS(target) ?? null;
  }

  /** Requests per second that a target may get from all gateways together; null if there is no limit. */
  #getRatePerS(target: TargetRecord): number | null {
    const limitPerS = this.#options.limits.getLimitPerS(target) ?? Infinity;
    const ratePerS = Math.min(limitPerS, this.#getColdRatePerS(target) ?? Infinity);
    return Number.isFinite(ratePerS) ? ratePerS : null;
  }

  #countCold(isCold: boolean, outcome: ColdPermitOutcome): void {
    if (isCold) {
      this.#options.cold?.outcomes.add(outcome);
    }
  }

  #apply({ targets }: PendingAsk, answer: PermitAnswer | null, coldIds: ReadonlySet<string>): Permit | null {
    const nowMs = this.#now();
    const hasCold = targets.some(({ id }) => coldIds.has(id));
    if (answer === null) {
      this.#countCold(hasCold, ColdPermitOutcome.Failed);
      this.#blockedUntilMs = nowMs + failedPauseMs;
      this.#options.outcomes.add(PermitOutcome.Failed);
      return null;
    }
    for (const target of targets) {
      const freeInMs = answer.freeInMs[target.id] ?? Infinity;
      this.#getState(target).freeAtMs = nowMs + Math.min(maxMemoryMs, freeInMs);
    }
    const target = targets.find(({ id }) => id === answer.target);
    this.#options.outcomes.add(target === undefined ? PermitOutcome.Refused : PermitOutcome.Granted);
    if (target === undefined) {
      this.#countCold(hasCold, ColdPermitOutcome.Refused);
      return null;
    }
    const startAtMs = nowMs + answer.startInMs;
    const isForCold = coldIds.has(target.id);
    this.#countCold(isForCold, answer.startInMs > 0 ? ColdPermitOutcome.Waited : ColdPermitOutcome.Granted);
    return { target, isForCold, startAtMs, endAtMs: startAtMs + permitValidMs };
  }

  #getState({ id }: TargetIncarnation): PermitState {
    const known = this.#states.get(id);
    if (known !== undefined) {
      return known;
    }
    const state = { freeAtMs: -Infinity, probedAtMs: -Infinity, bookedUntilMs: -Infinity };
    this.#states.set(id, state);
    return state;
  }

  #now(): number {
    return this.#options.clock.monotonicMs();
  }
}

function getIncarnation({ id, bornMs }: TargetIncarnation): TargetIncarnation {
  return { id, bornMs };
}
