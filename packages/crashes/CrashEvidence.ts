import type { CrashReport } from "./CrashReport";
import type { AnsweredCause } from "./AnsweredCause";
import type { Suspicion } from "./Suspicion";

/** What a process knows about crashes of targets, for another process. Ages are as of the sending. */
export interface CrashEvidence {
  readonly reports: readonly CrashReport[];
  readonly answered: readonly AnsweredCause[];
  readonly suspicions: readonly Suspicion[];
}
