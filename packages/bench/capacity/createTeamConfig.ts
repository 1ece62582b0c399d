import { RequestClass } from "@clementinemux/common/RequestClass";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";

/** Creates a configuration with one exception per team. */
export function createTeamConfig(teamCount: number): FleetConfig {
  const config = createDefaultConfig();
  const exceptions = Array.from({ length: teamCount }, (_, index) => ({
    id: `team-${index}-limit`,
    reason: `contract ${index}: higher limit until the next review`,
    author: "ann",
    createdAtMs: 1_764_800_000_000 + index,
    expiresAtMs: 1_796_300_000_000 + index,
    selector: { team: `team-${index}` },
    override: { requestClass: RequestClass.Important, requestsPerS: 200 + index, tokensPerS: 80_000 },
  }));
  return { ...config, exceptions };
}
