/** State of a target as reported by itself and stored in the registry. */
export interface TargetRecord {
  readonly id: string;
  readonly service: string;
  /** `host:port` on which the target accepts requests. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Whether the target has announced in a response that it is leaving; stays true for its incarnation. */
  readonly isLeaving: boolean;
  /** Whether the target has unregistered; the record is kept so that a late heartbeat cannot restore it. */
  readonly isGone: boolean;
  /** Unix time of the target's start; orders the incarnations of one id. */
  readonly bornMs: number;
  /** Increases with each heartbeat of one incarnation. */
  readonly sequence: number;
  /**
   * Time for which the target stays cold, in ms, counted from the arrival of its heartbeat; 0 when it is warm. Missing if the
   * heartbeat does not state it, and from coordinators of earlier releases.
   */
  readonly coldLeftMs?: number;
}
