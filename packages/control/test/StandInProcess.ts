import type { Random } from "@clementinemux/common/Random";
import type { SimulatedTime } from "@clementinemux/experts/test/SimulatedTime";
import type { StandInGroup } from "@clementinemux/experts/test/StandInGroup";

/** Share of waits in which the process stalls, as one that is suspended or starved of CPU time. */
const stallShare = 0.002;
const maxStallMs = 3000;

/** Process in the simulated time of a group. It stalls at random, and then continues without noticing it. */
export class StandInProcess {
  readonly #group: StandInGroup;
  readonly #time: SimulatedTime;
  readonly #random: Random;
  #stalledUntilMs = 0;

  constructor(group: StandInGroup, time: SimulatedTime, random: Random) {
    this.#group = group;
    this.#time = time;
    this.#random = random;
  }

  stall(ms: number): void {
    this.#stalledUntilMs = Math.max(this.#stalledUntilMs, this.#group.nowMs + ms);
  }

  async sleep(ms: number): Promise<void> {
    if (this.#random() < stallShare) {
      this.stall(this.#random() * maxStallMs);
    }
    await this.#time.sleep(ms);
    while (this.#group.nowMs < this.#stalledUntilMs) {
      await this.#time.sleep(this.#stalledUntilMs - this.#group.nowMs);
    }
  }
}
