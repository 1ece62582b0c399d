import type { TargetRecord } from "@clementinemux/registry/TargetRecord";

/** Targets of a service that this gateway may send to at one moment. */
export interface UsableTargets {
  /** Those of sound groups, which are used first. */
  readonly targets: readonly TargetRecord[];
  /** Ranks of slow groups, for what `targets` have no place for. */
  readonly slow: readonly TargetRecord[];
  /** Time until the first target takes requests again, in ms; null while one does, or when there is none. */
  readonly pauseMs: number | null;
}
