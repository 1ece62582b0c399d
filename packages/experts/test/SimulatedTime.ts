import type { StandInGroup } from "./StandInGroup";

/** Simulated time of a stand-in group for which several concurrent processes wait. */
export class SimulatedTime {
  readonly #group: StandInGroup;
  #waiters: { readonly dueMs: number; readonly wake: () => void }[] = [];

  constructor(group: StandInGroup) {
    this.#group = group;
  }

  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.#waiters.push({ dueMs: this.#group.nowMs + ms, wake: resolve });
    });
  }

  /** Advances the time until the work is done. */
  async run(work: Promise<unknown>): Promise<void> {
    const state = { isDone: false };
    void work.then(() => {
      state.isDone = true;
    });
    await flushPromises();
    while (!state.isDone) {
      const next = this.#waiters.reduce((left, right) => (left.dueMs <= right.dueMs ? left : right));
      this.#waiters = this.#waiters.filter((waiter) => waiter !== next);
      if (next.dueMs > this.#group.nowMs) {
        this.#group.advance(next.dueMs - this.#group.nowMs);
      }
      next.wake();
      await flushPromises();
    }
  }
}

/** Waits until all resolved promises have been processed. */
function flushPromises(): Promise<void> {
  return new Promise(setImmediate);
}
