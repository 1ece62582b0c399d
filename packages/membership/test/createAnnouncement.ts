import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import { TargetKind } from "@clementinemux/common/TargetKind";
import { TargetRole } from "@clementinemux/common/TargetRole";

/** Creates an announcement for tests. */
export function createAnnouncement(
  target: string,
  incarnation: string,
  fields: Partial<TargetAnnouncement> = {},
): TargetAnnouncement {
  return {
    target,
    incarnation,
    address: "127.0.0.1:1",
    failureDomain: "fd-1",
    region: "local",
    kind: TargetKind.Engine,
    models: ["demo"],
    adapters: [],
    version: "",
    role: TargetRole.Both,
    service: "",
    group: "",
    rank: 0,
    checksFencing: false,
    ...fields,
  };
}
