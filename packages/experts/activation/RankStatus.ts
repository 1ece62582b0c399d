import type { ArmedMap } from "./ArmedMap";
import type { RankStamp } from "./RankStamp";
import type { ScheduledMap } from "./ScheduledMap";

/**
 * State of a rank, sent after every order and on a timer. There are no separate confirmations, since the
 * status contains the incarnation and the map versions.
 */
export interface RankStatus {
  readonly rank: number;
  readonly stamp: RankStamp;
  /** Increases with each status of an incarnation, so that late ones can be dropped. */
  readonly sequence: number;
  readonly epochSeen: number;
  /** Whether the rank has received the schedule of maps; false after a start. */
  readonly isJoined: boolean;
  /** First step that the rank has not started. */
  readonly nextStep: number;
  readonly schedule: readonly ScheduledMap[];
  /** Version whose weights are loaded, with the epoch of the leader that ordered it. */
  readonly prepared: { readonly version: number; readonly epoch: number } | null;
  readonly armed: ArmedMap | null;
}
