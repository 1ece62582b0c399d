import type { Clock } from "@clementinemux/common/Clock";
import type { PartialMessagePool } from "@clementinemux/wire/PartialMessagePool";
import type { TurnQueue } from "@clementinemux/wire/TurnQueue";
import type { CallFailure } from "./CallFailure";
import type { RelayedEvent } from "./RelayedEvent";
import type { TargetResponse } from "./TargetResponse";
import type { TargetCallOptions } from "./TargetCallOptions";

/** A call to a target and the callbacks for its response. */
export interface AttemptOptions {
  readonly targetId: string;
  /** Whether a successful response is an event stream. */
  readonly isStream: boolean;
  /** Longest time without an event while the stream is being read, in ms; null for no limit. */
  readonly stallTimeoutMs: number | null;
  readonly call: TargetCallOptions;
  readonly clock: Clock;
  /** Streams of targets deliver their events in turns; shared by all of them. */
  readonly turns: TurnQueue;
  /** Shares the memory for responses that are buffered until they are complete, and for incomplete events. */
  readonly responses: PartialMessagePool;
  /** Called for each part of a body that arrives, with its size. */
  readonly onPiece: (sizeBytes: number) => void;
  /**
   * The head of the response to this request has arrived; called once, before all other callbacks about the
   * response.
   */
  readonly onResponse: (response: TargetResponse) => void;
  /** A response that is not a stream is complete. */
  readonly onFullResponse: (status: number, headers: readonly string[], body: Buffer) => void;
  /** Status and headers of a stream; called once, before its first event. */
  readonly onStreamStart: (status: number, headers: readonly string[]) => void;
  /** Returns those of the events that the caller has not received yet. */
  readonly onEvents: (events: readonly RelayedEvent[]) => readonly RelayedEvent[];
  /** The stream has ended after a complete event. */
  readonly onStreamEnd: () => void;
  /** The target states that it has not run the request; it may name another target as the faulty one. */
  readonly onNotRun: (faultyTarget: string | null) => void;
  readonly onFailure: (failure: CallFailure, isSent: boolean, detail: string) => void;
  /** The slot at the target is free again; called once, whatever the outcome. */
  readonly onReleased: () => void;
}
