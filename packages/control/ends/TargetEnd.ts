/** Acknowledged end of an incarnation of a target, which also ends all earlier incarnations of its id. */
export interface TargetEnd {
  readonly id: string;
  /** Unix time of the incarnation's start; 0 if its target announces none. */
  readonly bornMs: number;
  /** Whether the target has unregistered; otherwise it is draining. */
  readonly isGone: boolean;
  /** Sequence of the heartbeat that reported the drain, or of the last one known before the target unregistered. */
  readonly sequence: number;
  /** Time of day at which the leader recorded the end. */
  readonly recordedAtWallMs: number;
}
