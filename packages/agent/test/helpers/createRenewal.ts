import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";

const drain = { reason: "disk errors", author: "op", sinceMs: 0 };
const leaseMs = 4000;

/** Creates control's response to a renewal. At revision 1 runner-1 is drained, at revision 2 it is not. */
export function createRenewal(
  appliedRevision: number,
  revision: number,
  asFullConfig = false,
): RenewResponse {
  const all = [
    { revision: 1, change: { kind: ConfigChangeKind.DrainTarget, target: "runner-1", drain } as const },
    { revision: 2, change: { kind: ConfigChangeKind.UndrainTarget, target: "runner-1" } as const },
  ];
  const drains = revision === 1 ? { "runner-1": drain } : {};
  return {
    epoch: 1,
    revision,
    confirmed: true,
    leaseMs,
    changes: asFullConfig
      ? []
      : all.filter((each) => each.revision > appliedRevision && each.revision <= revision),
    config: asFullConfig ? { ...createDefaultConfig(), revision, drains } : null,
  };
}
