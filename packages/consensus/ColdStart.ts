import type { Random } from "@clementinemux/common/Random";

/** Time after a start within which the first question goes out, so that replicas started together differ. */
const maxFirstPreVoteDelayMs = 40;

/**
 * Lets replicas that were all restarted elect a leader without waiting for an election timeout. A restarted replica
 * waits since the lease of a leader that it confirmed before may still run. When every voter has heard no leader since
 * its own start, none of them leads, so that no lease runs. A voter names its life in its answer and votes early only
 * for that life: after another start, it may have confirmed a leader in between.
 */
export class ColdStart {
  /** Names this start of the replica. */
  readonly life: string;
  /** When the replica first asks the others, by its own clock. */
  readonly firstAskMs: number;
  readonly #coldIncarnations = new Map<string, string>();
  #isCold: boolean;

  /** `isMember` tells whether the replica was part of a group before its start. */
  constructor(isMember: boolean, nowMs: number, random: Random) {
    this.#isCold = isMember;
    this.life = Math.floor(random() * Number.MAX_SAFE_INTEGER).toString(36);
    this.firstAskMs = nowMs + random() * maxFirstPreVoteDelayMs;
  }

  /** Whether no leader was heard since the start. */
  get isCold(): boolean {
    return this.#isCold;
  }

  /** Notes that a leader was heard, or that this replica leads. */
  end(): void {
    this.#isCold = false;
  }

  /** Notes that a voter is cold in the given life. */
  note(voter: string, life: string): void {
    this.#coldIncarnations.set(voter, life);
  }

  /** Life in which a voter was cold; undefined when it has not said so. */
  getLife(voter: string): string | undefined {
    return this.#coldIncarnations.get(voter);
  }

  /** Whether this replica and all other voters are cold. */
  isWhole(voters: readonly string[], own: string): boolean {
    return this.#isCold && voters.every((id) => id === own || this.#coldIncarnations.has(id));
  }
}
