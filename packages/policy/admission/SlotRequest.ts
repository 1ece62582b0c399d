import type { FairQueueItem } from "./FairQueueItem";

/** A request that waits for a slot of its service. Its class is its priority, 0 for the most urgent; class weights have no effect. */
export interface SlotRequest extends FairQueueItem<number> {
  readonly enteredAtMs: number;
  /** Until when the request waits; it needs a slot by then. */
  readonly dueAtMs: number;
}
