import type { RequestWork } from "./RequestWork";
import { RunningWork } from "./RunningWork";
import type { TargetWork } from "./TargetWork";

const noWork: Readonly<TargetWork> = { requests: 0, leftMs: 0, prefillMs: 0, heldTokens: 0 };

/** Remaining work of a gateway's own requests, by target. Has no I/O. */
export class WorkLedger {
  readonly #targets = new Map<string, TargetWork>();

  begin(target: string, work: RequestWork, estimateAbove: (doneTokens: number) => number): RunningWork {
    const known = this.#targets.get(target) ?? { ...noWork };
    this.#targets.set(target, known);
    return new RunningWork(known, work, estimateAbove);
  }

  get(target: string): Readonly<TargetWork> {
    return this.#targets.get(target) ?? noWork;
  }

  entries(): IterableIterator<[string, Readonly<TargetWork>]> {
    return this.#targets.entries();
  }

  /** Removes targets without requests, so that rounding errors and the targets of the past do not add up. */
  removeIdle(): void {
    for (const [id, { requests }] of this.#targets) {
      if (requests === 0) {
        this.#targets.delete(id);
      }
    }
  }
}
