/** Speed of the forward passes of one group. */
export interface GroupPassState {
  /** Mean time of its recent passes; null while it is idle. */
  readonly passMs: number | null;
  /** Highest slowdown that one of its ranks reports for itself. */
  readonly highestSlowdown: number;
  /** Whether it runs no passes although requests may wait: it is broken, or idle while a rank is missing. */
  readonly isStalled: boolean;
}
