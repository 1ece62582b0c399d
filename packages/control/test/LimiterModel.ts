import { FleetLimiter } from "@clementinemux/control/limits/FleetLimiter";
import type { Random } from "@clementinemux/common/Random";
import { LimitTable } from "@clementinemux/registry/LimitTable";
import type { PermitAnswer } from "@clementinemux/registry/PermitAnswer";

interface LimiterModelOptions {
  readonly senders: number;
  readonly targets: number;
  /** Requests per second of each sender. */
  readonly demandPerS: number;
  readonly maxDelayMs: number;
  readonly lostShare: number;
  readonly random: Random;
}

const waitMs = 200;
const permitValidMs = 100;
/** Senders discard answers that took longer. */
const maxAnswerMs = 300;

/** Senders, one leader at a time and limited targets in simulated time; records what arrives at each target. */
export class LimiterModel {
  readonly arrivals: number[][];
  readonly limits: number[];
  nowMs = 0;
  readonly #options: LimiterModelOptions;
  readonly #events = new Map<number, (() => void)[]>();
  readonly #freeAtMs: Map<string, number>[];
  #limiter = new FleetLimiter(new LimitTable());
  #table = new LimitTable();
  #term = 0;
  #isCut = false;

  constructor(options: LimiterModelOptions, limitPerS: number) {
    this.#options = options;
    this.limits = Array.from({ length: options.targets }, () => limitPerS);
    this.arrivals = this.limits.map(() => []);
    this.#freeAtMs = Array.from({ length: options.senders }, () => new Map<string, number>());
    this.electLeader();
  }

  /** A leader that knows nothing takes over; permits of the last one are still on their way. */
  electLeader(): void {
    this.#table = new LimitTable();
    this.#limiter = new FleetLimiter(this.#table);
    this.#term += 1;
  }

  restartSender(index: number): void {
    this.#freeAtMs[index]?.clear();
  }

  /** While cut, no ask reaches the leader. */
  setCut(isCut: boolean): void {
    this.#isCut = isCut;
  }

  run(durationMs: number): void {
    const { senders, demandPerS, random } = this.#options;
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs; this.nowMs += 1) {
      for (const event of this.#events.get(this.nowMs) ?? []) {
        event();
      }
      this.#events.delete(this.nowMs);
      const expected = (senders * demandPerS) / 1000;
      const count = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
      for (let sent = 0; sent < count; sent += 1) {
        this.#ask(Math.floor(random() * senders));
      }
    }
  }

  #ask(sender: number): void {
    const free = this.#freeAtMs[sender] ?? new Map<string, number>();
    const sentAtMs = this.nowMs;
    const targets = this.limits
      .map((_, index) => ({ id: String(index), bornMs: 1 }))
      .filter(({ id }) => (free.get(id) ?? 0) - sentAtMs <= waitMs);
    if (targets.length === 0 || this.#isCut) {
      return;
    }
    const limits = targets.map((target) => ({
      ...target,
      limitPerS: this.limits[Number(target.id)] ?? 0,
      ageMs: 0,
    }));
    this.#deliver(() => {
      this.#table.merge(limits, this.nowMs);
      const answer = this.#limiter.take({ targets, maxWaitMs: waitMs }, this.#term, this.nowMs);
      this.#deliver(() => {
        this.#apply(answer, free, sentAtMs);
      });
    });
  }

  #apply(answer: PermitAnswer, free: Map<string, number>, sentAtMs: number): void {
    if (this.nowMs - sentAtMs > maxAnswerMs) {
      return;
    }
    for (const [id, freeInMs] of Object.entries(answer.freeInMs)) {
      free.set(id, this.nowMs + (freeInMs ?? Infinity));
    }
    const { target } = answer;
    if (target !== null) {
      this.#at(answer.startInMs + this.#options.random() * permitValidMs, () => {
        this.arrivals[Number(target)]?.push(this.nowMs);
      });
    }
  }

  #deliver(event: () => void): void {
    const { lostShare, maxDelayMs, random } = this.#options;
    if (random() >= lostShare) {
      this.#at(random() * maxDelayMs, event);
    }
  }

  #at(inMs: number, event: () => void): void {
    const atMs = this.nowMs + Math.max(1, Math.ceil(inMs));
    this.#events.set(atMs, [...(this.#events.get(atMs) ?? []), event]);
  }
}
