import type { GroupShape } from "./GroupShape";
import type { LeaderSettings } from "./activation/LeaderSettings";
import type { LoadSettings } from "./loads/LoadSettings";
import type { PlanWeights } from "./planner/PlanWeights";

/** Settings of the leader of one rank group. */
export interface RankGroupLeaderSettings {
  readonly shape: GroupShape;
  readonly lead: LeaderSettings;
  readonly load: LoadSettings;
  readonly weights: PlanWeights;
  /** First and end hour of each period in which no weights are moved; the end hour is exclusive. */
  readonly busyHours: readonly (readonly [number, number])[];
  readonly planIntervalMs: number;
  readonly storeBytesPerS: number;
}
