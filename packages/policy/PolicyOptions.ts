import type { Random } from "@clementinemux/common/Random";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { RoutingKind } from "./routing/RoutingKind";

/** What a policy needs to know of its entry. */
export interface PolicyOptions {
  readonly config: FleetConfig;
  /** Unique among entries and new for every start; prefixes attempt ids. */
  readonly entryId: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly random: Random;
  /** Monotonic time of the entry's start; 0 by default. */
  readonly startedAtMs?: number;
  /** Defaults to the full score. */
  readonly routing?: RoutingKind;
  /** Turned off only to measure what the retry budget prevents. */
  readonly retryBudgetEnabled?: boolean;
}
