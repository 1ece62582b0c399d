import type { ArmedMap } from "./ArmedMap";
import type { RankStamp } from "./RankStamp";
import type { ScheduledMap } from "./ScheduledMap";

/**
 * State of a rank, sent after every order and on a timer. It serves as every confirmation: the incarnation and
 * the map version are part of it.
 */
export interface RankStatus {
  readonly rank: number;
  readonly stamp: RankStamp;
  /** Rises with each status of the incarnation, so that late ones are dropped. */
  readonly sequence: number;
  readonly epochSeen: number;
  /** Whether the rank knows which maps to use; false after a start. */
  readonly isJoined: boolean;
  /** First step that the rank has not started. */
  readonly nextStep: number;
  readonly schedule: readonly ScheduledMap[];
  /** Version whose weights are loaded, with the epoch of the lead that ordered it. */
  readonly prepared: { readonly version: number; readonly epoch: number } | null;
  readonly armed: ArmedMap | null;
}
