import type { EvacuationCommand } from "./EvacuationCommand";
import type { EvacuationState } from "./EvacuationState";

/** Evacuated failure domains: part of the state machine of the `routes` log. Has no I/O. */
export class EvacuationTable {
  #state: EvacuationState = { revision: 0, failureDomains: [], ended: [] };

  #onChanged: (state: EvacuationState) => void = () => undefined;

  get state(): EvacuationState {
    return this.#state;
  }

  /** Calls `listener` with the state after each change, in place of an earlier listener. */
  listen(listener: (state: EvacuationState) => void): void {
    this.#onChanged = listener;
  }

  /**
   * Applies a command unless its revision is outdated. Returns whether it was applied. A replica whose revision is lower than
   * that of the command has lost state to a snapshot of an earlier release, and takes over the state of the command.
   */
  apply({ baseRevision, state }: EvacuationCommand): boolean {
    if (baseRevision < this.#state.revision) {
      return false;
    }
    this.#replace(state);
    return true;
  }

  /** Loads the state of a snapshot, unless a later one is known. */
  restore(state: EvacuationState): void {
    if (state.revision > this.#state.revision) {
      this.#replace(state);
    }
  }

  #replace(state: EvacuationState): void {
    this.#state = state;
    this.#onChanged(state);
  }
}
