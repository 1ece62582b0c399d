import type { Suspicion } from "./Suspicion";

/** What a coordinator has concluded from crashes of targets, for its gateways. */
export interface CrashFindings {
  readonly suspicions: readonly Suspicion[];
  /** Parts of which the gateways are to report when they last saw them answered. */
  readonly watched: readonly string[];
}
