import type { Attempt } from "./Attempt";
import type { FailedAttempt } from "./FailedAttempt";
import type { FullResponse } from "./FullResponse";

/** Receives what becomes of the attempts of one request. */
export interface AttemptListener {
  readonly onFullResponse: (attempt: Attempt, response: FullResponse) => void;
  readonly onStreamStart: (status: number, headers: readonly string[]) => void;
  readonly onEvent: (attempt: Attempt, bytes: Buffer, id: string | null) => void;
  readonly onStreamEnd: (attempt: Attempt) => void;
  readonly onNotRun: (attempt: Attempt, faultyTarget: string | null) => void;
  readonly onFailure: (failed: FailedAttempt) => void;
}
