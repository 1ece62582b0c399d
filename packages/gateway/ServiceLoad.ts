/** Load of a service as seen by one gateway; decides whether the service may run one more request. */
export interface ServiceLoad {
  readonly targets: number;
  /** Requests in flight at a target, averaged over the targets, from all gateways. */
  readonly meanLoad: number;
  /** Requests that a target can run at once; 0 without targets. */
  readonly slots: number;
  /** Concurrency limit of each target. */
  readonly cap: number;
  /** Free slots at ranks of slow groups. */
  readonly slowPlaces: number;
  /** Targets that take requests with a permit only; not among `targets`. */
  readonly limited: number;
  /** Targets that may get no request now, as their share still grows; not among `targets`. */
  readonly held: number;
  /**
   * Time until the first target accepts requests again, in ms; null while a target accepts them, or without
   * targets.
   */
  readonly pauseMs: number | null;
  /** Recent mean time between the events of a stream, in ms; null while it is not known. */
  readonly meanGapMs: number | null;
}
