import type { Attempt } from "./Attempt";
import type { FailedAttempt } from "./FailedAttempt";
import type { FullResponse } from "./FullResponse";
import type { RelayedEvent } from "./RelayedEvent";

/** Receives what becomes of the attempts of one request. */
export interface AttemptListener {
  readonly onFullResponse: (attempt: Attempt, response: FullResponse) => void;
  readonly onStreamStart: (status: number, headers: readonly string[]) => void;
  /** Returns those of the events that the caller has not received yet. */
  readonly onEvents: (attempt: Attempt, events: readonly RelayedEvent[]) => readonly RelayedEvent[];
  readonly onStreamEnd: (attempt: Attempt) => void;
  readonly onNotRun: (attempt: Attempt, faultyTarget: string | null) => void;
  readonly onFailure: (failed: FailedAttempt) => void;
}
