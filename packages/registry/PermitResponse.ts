import type { PermitAnswer } from "./PermitAnswer";

/** Answers in the order of the request. */
export interface PermitResponse {
  readonly answers: readonly PermitAnswer[];
  /**
   * Whether the leader has kept to the rates of cold targets. Missing from coordinators of earlier releases, whose permits
   * for cold targets must not be used.
   */
  readonly knowsCold?: boolean;
}
