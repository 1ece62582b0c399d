import type { SuspicionActionKind } from "./SuspicionActionKind";

/** Action that the failure detector requests for one target. */
export interface SuspicionAction {
  readonly kind: SuspicionActionKind;
  readonly target: string;
  readonly incarnation: string;
  /** For `ask_peer`: failure domains whose relays must not be used. */
  readonly excludedDomains: readonly string[];
}
