import type { GroupDefaults } from "@clementinemux/fleet/GroupDefaults";
import type { TargetDrain } from "@clementinemux/fleet/TargetDrain";

/** The part of the fleet's configuration that concerns one agent; the rest is not kept. */
export interface AgentConfig {
  readonly revision: number;
  readonly drain: TargetDrain | null;
  readonly permitMaxAgeMs: number;
  readonly orderMaxAgeMs: number;
  /** Whether requests to this target may run twice. */
  readonly repeatable: boolean;
  readonly groups: GroupDefaults;
}
