import { getOwn } from "@clementinemux/common/getOwn";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { FleetState } from "./FleetState";

/**
 * Requests in flight by target: this gateway's own, which are exact, and those of other gateways, which
 * arrive with a delay.
 */
export class TargetLoads {
  readonly #own = new Map<string, number>();
  /** Own requests in flight at the last report. */
  #reported: ReadonlyMap<string, number> = new Map();
  readonly #getState: () => FleetState;

  constructor(getState: () => FleetState) {
    this.#getState = getState;
  }

  begin(id: string): void {
    this.#own.set(id, (this.#own.get(id) ?? 0) + 1);
  }

  end(id: string): void {
    const left = (this.#own.get(id) ?? 1) - 1;
    if (left > 0) {
      this.#own.set(id, left);
    } else {
      this.#own.delete(id);
    }
  }

  getLoad({ id }: TargetRecord): number {
    return (this.#own.get(id) ?? 0) + (getOwn(this.#getState().othersInFlight, id) ?? 0);
  }

  /** Begins the time until the next report. */
  noteReport(): void {
    this.#reported = new Map(this.#own);
  }

  /** Whether a slot of this gateway has become free since the last report, so that others do not see it yet. */
  hasFreed(id: string): boolean {
    return (this.#own.get(id) ?? 0) < (this.#reported.get(id) ?? 0);
  }

  listOwn(): Record<string, number> {
    return Object.fromEntries(this.#own);
  }
}
