import type { ProposeOutcome } from "./ProposeOutcome";
import type { RevisionChange } from "./RevisionChange";

/** Response to a proposed change. */
export interface ProposeResponse {
  readonly outcome: ProposeOutcome;
  /** Revision created by the change, or the current one when it was not accepted. */
  readonly revision: number;
  /** For a conflict, the change that was accepted instead; null when it is no longer retained. */
  readonly winner: RevisionChange | null;
  readonly winnerAuthor: string | null;
  readonly message: string;
}
