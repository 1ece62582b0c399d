import type { PermitAnswer } from "./PermitAnswer";

/** Answers in the order of the request. */
export interface PermitResponse {
  readonly answers: readonly PermitAnswer[];
}
