import type { Random } from "@clementinemux/common/Random";
import type { GroupTime } from "@clementinemux/experts/test/GroupTime";
import type { HeldGroup } from "@clementinemux/experts/test/HeldGroup";

/** Share of waits in which the process stops, as one that is frozen or starved of time. */
const stopShare = 0.002;
const longestStopMs = 3000;

/** Process in the simulated time of a group. It stands still now and then, and goes on as if nothing had happened. */
export class StandInProcess {
  readonly #group: HeldGroup;
  readonly #time: GroupTime;
  readonly #random: Random;
  #stoppedUntilMs = 0;

  constructor(group: HeldGroup, time: GroupTime, random: Random) {
    this.#group = group;
    this.#time = time;
    this.#random = random;
  }

  stop(ms: number): void {
    this.#stoppedUntilMs = Math.max(this.#stoppedUntilMs, this.#group.nowMs + ms);
  }

  async sleep(ms: number): Promise<void> {
    if (this.#random() < stopShare) {
      this.stop(this.#random() * longestStopMs);
    }
    await this.#time.sleep(ms);
    while (this.#group.nowMs < this.#stoppedUntilMs) {
      await this.#time.sleep(this.#stoppedUntilMs - this.#group.nowMs);
    }
  }
}
