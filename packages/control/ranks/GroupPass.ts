/** How quick the passes of one group are. */
export interface GroupPass {
  /** Mean time of its last passes; null while it is at rest. */
  readonly passMs: number | null;
  /** Highest pace that one of its ranks reports of itself. */
  readonly slowestPace: number;
  /** Whether it runs no passes although requests may wait: it is broken, or stands still while a rank is missing. */
  readonly isStopped: boolean;
}
