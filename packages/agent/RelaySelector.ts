import type { Random } from "@clementinemux/common/Random";

interface RelayState {
  failureCount: number;
  retryAtMs: number;
}

const activeCount = 2;
const firstBackoffMs = 1000;
const maxBackoffMs = 30_000;

/**
 * Chooses the relays that an agent sends heartbeats to: the nearest two that are not backing off. Pure: the
 * caller passes the current time. A nearer relay is used again after its backoff, which is jittered so that
 * not all agents return to a recovered relay at once.
 */
export class RelaySelector {
  readonly #states: readonly RelayState[];
  readonly #random: Random;

  constructor(relayCount: number, random: Random) {
    this.#states = Array.from({ length: relayCount }, () => ({ failureCount: 0, retryAtMs: -Infinity }));
    this.#random = random;
  }

  /** Indexes of the relays to use, nearest first; if all are backing off, the one with the earliest retry. */
  choose(nowMs: number): number[] {
    const indexes = [...this.#states.keys()];
    const ready = indexes.filter((index) => this.#getRetryAtMs(index) <= nowMs);
    if (ready.length > 0) {
      return ready.slice(0, activeCount);
    }
    return indexes.sort((left, right) => this.#getRetryAtMs(left) - this.#getRetryAtMs(right)).slice(0, 1);
  }

  onSuccess(index: number): void {
    const state = this.#states[index];
    if (state !== undefined) {
      state.failureCount = 0;
      state.retryAtMs = -Infinity;
    }
  }

  onFailure(index: number, nowMs: number): void {
    const state = this.#states[index];
    if (state !== undefined) {
      const backoffMs = Math.min(firstBackoffMs * 2 ** state.failureCount, maxBackoffMs);
      state.failureCount += 1;
      state.retryAtMs = nowMs + backoffMs * (0.5 + this.#random());
    }
  }

  #getRetryAtMs(index: number): number {
    return this.#states[index]?.retryAtMs ?? Infinity;
  }
}
