import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import { ConfigCommandKind } from "@clementinemux/control/ConfigCommandKind";
import type { ConfigCommand } from "@clementinemux/control/ConfigCommand";

const drainedTargets = 100;

/**
 * Creates a command that drains or undrains one of 100 targets, so that the configuration size stays bounded.
 */
export function createDrainCommand(
  baseRevision: number,
): Extract<ConfigCommand, { kind: ConfigCommandKind.Propose }> {
  const target = `runner-${baseRevision % drainedTargets}`;
  const drain = { reason: "replace the power supply", author: "ann", sinceMs: 1_764_800_000_000 };
  const isUndrain = Math.floor(baseRevision / drainedTargets) % 2 === 1;
  return {
    kind: ConfigCommandKind.Propose,
    nowMs: 1_764_800_000_000,
    request: {
      author: "ann",
      requestId: `0a1b2c3d-4e5f-4a6b-8c7d-${String(baseRevision).padStart(12, "0")}`,
      baseRevision,
      change: isUndrain
        ? { kind: ConfigChangeKind.UndrainTarget, target }
        : { kind: ConfigChangeKind.DrainTarget, target, drain },
    },
  };
}
