import type { TargetRecord } from "@clementinemux/registry/TargetRecord";

/** Targets of a service that this gateway may currently send to. */
export interface UsableTargets {
  /** Targets of healthy groups, which are used first. */
  readonly healthy: readonly TargetRecord[];
  /** Ranks of slow groups, for requests that find no slot at `healthy`. */
  readonly slow: readonly TargetRecord[];
  /** Targets that take a limited number of requests, as they state or as they are cold. Each request needs a permit. */
  readonly limited: readonly TargetRecord[];
  /** Number of targets that get a limited share after they have appeared or warmed up, and may get no request now. */
  readonly held: number;
  /**
   * Time until the first target accepts requests again, in ms; null while a target accepts them, or without
   * targets.
   */
  readonly pauseMs: number | null;
}
