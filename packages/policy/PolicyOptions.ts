import type { Random } from "@clementinemux/common/Random";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { RoutingKind } from "./routing/RoutingKind";

export interface PolicyOptions {
  readonly config: FleetConfig;
  /** Prefix of attempt ids; unique among entries and new on every start. */
  readonly entryId: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly random: Random;
  /** Monotonic time of the entry's start; 0 by default. */
  readonly startedAtMs?: number;
  /** `Full` by default. */
  readonly routing?: RoutingKind;
  /** True by default; benchmarks disable it to show what the retry budget prevents. */
  readonly retryBudgetEnabled?: boolean;
}
