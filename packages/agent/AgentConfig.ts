import type { GroupDefaults } from "@clementinemux/fleet/GroupDefaults";
import type { TargetDrain } from "@clementinemux/fleet/TargetDrain";

/** The part of the fleet's configuration that applies to one agent. */
export interface AgentConfig {
  readonly revision: number;
  readonly drain: TargetDrain | null;
  readonly permitMaxAgeMs: number;
  readonly orderMaxAgeMs: number;
  /** Whether a request to this target may run more than once. */
  readonly repeatable: boolean;
  readonly groups: GroupDefaults;
}
