import type { ProposeOutcome } from "./ProposeOutcome";
import type { RevisionChange } from "./RevisionChange";

/** Answer to a proposed change. */
export interface ProposeResponse {
  readonly outcome: ProposeOutcome;
  /** Revision made by the change, or the present one when it was not accepted. */
  readonly revision: number;
  /** The change that won, for a conflict; null when it is no longer held. */
  readonly winner: RevisionChange | null;
  readonly winnerAuthor: string | null;
  readonly message: string;
}
