import type { Random } from "@clementinemux/common/Random";

/**
 * The first pre-vote is sent after a random delay up to this one, so that replicas started together differ.
 */
const maxFirstPreVoteDelayMs = 40;

/**
 * Lets replicas that were all restarted elect a leader without waiting for an election timeout.
 *
 * A restarted replica usually waits, since a leader that it acknowledged before the restart may still hold a
 * lease. A replica is cold while it has had no contact with a leader since its start. When all voters are
 * cold, none of them is the leader, so no lease is valid and the election may start at once.
 *
 * A voter includes its incarnation in its pre-vote reply, and votes early only if the vote request names that
 * incarnation. Without this check, a voter that was restarted again could vote early although it has
 * acknowledged a leader between the two starts.
 */
export class ColdStart {
  /** Identifies this start of the replica. */
  readonly incarnation: string;
  /** When the replica first requests pre-votes, by its own clock. */
  readonly firstPreVoteAtMs: number;
  readonly #coldIncarnations = new Map<string, string>();
  #isCold: boolean;

  /** `isMember`: whether the replica was a member of a Raft group before its start. */
  constructor(isMember: boolean, nowMs: number, random: Random) {
    this.#isCold = isMember;
    this.incarnation = Math.floor(random() * Number.MAX_SAFE_INTEGER).toString(36);
    this.firstPreVoteAtMs = nowMs + random() * maxFirstPreVoteDelayMs;
  }

  /** Whether the replica has had no contact with a leader since its start. */
  get isCold(): boolean {
    return this.#isCold;
  }

  /** Records contact with a leader, or that this replica has become the leader. */
  markWarm(): void {
    this.#isCold = false;
  }

  /** Records that a voter is cold in the given incarnation. */
  recordColdVoter(voter: string, incarnation: string): void {
    this.#coldIncarnations.set(voter, incarnation);
  }

  /** Incarnation in which a voter reported to be cold; undefined when it has not. */
  getColdIncarnation(voter: string): string | undefined {
    return this.#coldIncarnations.get(voter);
  }

  /** Whether this replica and all other voters are cold. */
  areAllVotersCold(voters: readonly string[], own: string): boolean {
    return this.#isCold && voters.every((id) => id === own || this.#coldIncarnations.has(id));
  }
}
