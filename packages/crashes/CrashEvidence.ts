import type { CrashReport } from "./CrashReport";
import type { PartClearance } from "./PartClearance";
import type { PartSuspicion } from "./PartSuspicion";

/** What a process knows about crashes of targets, for another process. Ages are as of the sending. */
export interface CrashEvidence {
  readonly reports: readonly CrashReport[];
  readonly clearances: readonly PartClearance[];
  readonly suspicions: readonly PartSuspicion[];
}
