interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** Whether the process was sent SIGKILL. */
  readonly isKilled: boolean;
  /** Time since the first signal to stop, without the time for which the process was suspended; null without such a signal. */
  readonly stoppingMs: number | null;
  /** Whether the process had written to its log before the first signal to stop. */
  readonly hasLogged: boolean;
}

/** A process stops within the platform's default grace of 8 s, and the second after it. */
const maxStoppingMs = 9000;

/**
 * Returns why an exit is not one that a signal asked for; null for one that is. A process ends with SIGKILL, or with code 0
 * after SIGTERM or SIGINT. Node itself ends by these two until the program has begun.
 */
export function findExitFault({ code, signal, isKilled, stoppingMs, hasLogged }: ProcessExit): string | null {
  const end = signal ?? `code ${code}`;
  if (stoppingMs !== null && stoppingMs > maxStoppingMs) {
    return `${end}, ${Math.round(stoppingMs)} ms after the signal to stop`;
  }
  const isStopped = code === 0 || (!hasLogged && (signal === "SIGTERM" || signal === "SIGINT"));
  const isAsked = (isKilled && signal === "SIGKILL") || (stoppingMs !== null && isStopped);
  return isAsked ? null : end;
}
