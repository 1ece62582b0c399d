import type { SuspicionActionKind } from "./SuspicionActionKind";

/** Action of the suspicion core on one target. */
export interface SuspicionAction {
  readonly kind: SuspicionActionKind;
  readonly target: string;
  readonly incarnation: string;
  /** For `ask_peer`: failure domains whose relays must not be asked. */
  readonly excludedDomains: readonly string[];
}
