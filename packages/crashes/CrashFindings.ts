import type { PartSuspicion } from "./PartSuspicion";

/** What a coordinator has concluded from crashes of targets, for its gateways. */
export interface CrashFindings {
  readonly suspicions: readonly PartSuspicion[];
  /** Parts of which the gateways are to report when they last saw them answered. */
  readonly watched: readonly string[];
}
