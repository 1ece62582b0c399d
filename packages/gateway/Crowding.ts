/** How full a service is, as far as a gateway knows; decides whether it runs one more request. */
export interface Crowding {
  readonly targets: number;
  /** Requests in flight at a target, on average over all targets and gateways. */
  readonly meanLoad: number;
  /** Requests that a target can run at once; 0 without targets. */
  readonly slots: number;
  /** Requests that each target should run at once. */
  readonly cap: number;
  /** Places that are free at ranks of slow groups. */
  readonly slowPlaces: number;
  /** Time until the first target takes requests again, in ms; null while one does, or when there is none. */
  readonly pauseMs: number | null;
  /** Recent mean time between the events of a stream; null while it is not known. */
  readonly meanGapMs: number | null;
}
