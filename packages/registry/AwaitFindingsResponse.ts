import type { CrashFindings } from "@clementinemux/crashes/CrashFindings";

/** Findings on crashes, sent when they have changed, or unchanged after a while. */
export interface AwaitFindingsResponse {
  readonly revision: string;
  readonly findings: CrashFindings;
}
