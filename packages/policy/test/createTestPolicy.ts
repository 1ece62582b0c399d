import { createRandom } from "@clementinemux/common/createRandom";
import type { FleetDefaults } from "@clementinemux/fleet/FleetDefaults";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import { createPolicy } from "@clementinemux/policy/createPolicy";

/** Creates a policy with high team limits and the given overrides of the defaults. */
export function createTestPolicy(
  defaults: Partial<FleetDefaults> = {},
  seed = 1,
): ReturnType<typeof createPolicy> {
  const config = createDefaultConfig();
  const wide = { teamRequestsPerS: 1000, teamTokensPerS: 1_000_000 };
  return createPolicy({
    config: { ...config, defaults: { ...config.defaults, ...wide, ...defaults } },
    entryId: "e",
    failureDomain: "d1",
    region: "r",
    random: createRandom(seed),
    // Started in the past, so that the token buckets are full.
    startedAtMs: -10_000,
  });
}
