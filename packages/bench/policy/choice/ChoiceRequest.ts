import type { SizeClass } from "./SizeClass";

/** A modelled request, with what became of it. */
export interface ChoiceRequest {
  readonly size: SizeClass;
  readonly arrivedAtMs: number;
  readonly promptTokens: number;
  readonly events: number;
  /** 0 for none. */
  readonly hintTokens: number;
  readonly maxTokens: number;
  readonly isMeasured: boolean;
  doneEvents: number;
  firstAtMs: number | null;
  lastAtMs: number | null;
  longestGapMs: number;
  isRejected: boolean;
  /** Times that an engine had to drop it and start anew, for lack of memory. */
  preemptions: number;
}
