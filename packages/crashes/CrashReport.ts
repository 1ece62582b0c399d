import type { TargetIncarnation } from "@clementinemux/registry/TargetIncarnation";
import type { CandidateRequest } from "./CandidateRequest";

/** Crash of a target, as one gateway has seen it, or as a coordinator knows it. */
export interface CrashReport {
  readonly target: TargetIncarnation;
  readonly ageMs: number;
  /**
   * Shared prompt parts of the gateway's requests that were at the target and had not begun to be answered. Those that
   * this gateway has recently seen answered are left out.
   */
  readonly parts: readonly string[];
  /** The gateway's requests that were at the target. Missing from earlier releases. */
  readonly requests?: readonly CandidateRequest[];
  /** Service of the target. Missing from earlier releases. */
  readonly service?: string;
  /**
   * Whether the other targets of the service go on, so that a request may be tried at another one. False for a rank, whose
   * whole group stops. Missing from earlier releases.
   */
  readonly isIsolated?: boolean;
  /** Whether the sender has attributed the crash: its suspicions contain what followed. Missing from gateways. */
  readonly isAttributed?: boolean;
}
