import type { TargetIncarnation } from "@clementinemux/registry/TargetIncarnation";

/** Crash of a target, as one gateway has seen it, or as a coordinator knows it. */
export interface CrashReport {
  readonly target: TargetIncarnation;
  readonly ageMs: number;
  /**
   * Shared prompt parts of the gateway's requests that were at the target and had not begun to be answered. Those that
   * this gateway has recently seen answered are left out.
   */
  readonly parts: readonly string[];
  /** Whether the sender has attributed the crash: its suspicions contain what followed. Missing from gateways. */
  readonly isAttributed?: boolean;
}
