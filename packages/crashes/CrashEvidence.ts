import type { CrashReport } from "./CrashReport";
import type { AnsweredPart } from "./AnsweredPart";
import type { PartSuspicion } from "./PartSuspicion";

/** What a process knows about crashes of targets, for another process. Ages are as of the sending. */
export interface CrashEvidence {
  readonly reports: readonly CrashReport[];
  readonly answered: readonly AnsweredPart[];
  readonly suspicions: readonly PartSuspicion[];
}
