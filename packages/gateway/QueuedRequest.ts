import type { SlotRequest } from "@clementinemux/policy/admission/SlotRequest";
import type { ServiceLoad } from "./ServiceLoad";

/** A request in the queue of its service. No method throws. */
export interface QueuedRequest extends SlotRequest {
  /** Load of the service when the request last looked for a slot; null before that. */
  readonly getLoad: () => ServiceLoad | null;
  /** Looks for a slot or a permit; `mayTake` tells whether the request may take one of the given number of free slots. */
  readonly prepare: (mayTake: (freeSlots: number) => boolean) => boolean;
  /** Ends the request if it is suspected of crashing targets; it then leaves the queue. */
  readonly checkSuspect: () => void;
  /** Takes what `prepare` has found; the request has left the queue. */
  readonly start: () => void;
  /** The request cannot get a slot in time, and has left the queue. `waitMs` is the time until one is likely to be free. */
  readonly reject: (waitMs: number) => void;
  /** The wait limit is over, and the request has left the queue. */
  readonly expire: (waitMs: number) => void;
}
