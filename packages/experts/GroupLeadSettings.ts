import type { GroupShape } from "./GroupShape";
import type { LeadSettings } from "./activation/LeadSettings";
import type { LoadSettings } from "./loads/LoadSettings";
import type { PlanWeights } from "./planner/PlanWeights";

/** Settings of the leader of one rank group. */
export interface GroupLeadSettings {
  readonly shape: GroupShape;
  readonly lead: LeadSettings;
  readonly load: LoadSettings;
  readonly weights: PlanWeights;
  /** First and end hour of each period in which no weights are moved; the end hour is exclusive. */
  readonly busyHours: readonly (readonly [number, number])[];
  readonly planIntervalMs: number;
  readonly storeBytesPerS: number;
}
