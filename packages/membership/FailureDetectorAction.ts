import type { FailureDetectorActionKind } from "./FailureDetectorActionKind";

/** Action that the failure detector requests for one target. */
export interface FailureDetectorAction {
  readonly kind: FailureDetectorActionKind;
  readonly target: string;
  readonly incarnation: string;
  /** For `ask_peer`: failure domains whose relays must not be used. */
  readonly excludedDomains: readonly string[];
}
