import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import { TargetKind } from "@clementinemux/common/TargetKind";
import { TargetRole } from "@clementinemux/common/TargetRole";

const groupSize = 32;
const modelCount = 7;
const domainCount = 15;
const regionCount = 5;

/** Creates the announcement of one rank in a fleet of design scale. */
export function createAnnouncement(
  index: number,
  address = `10.0.${index >> 8}.${index & 255}:8000`,
): TargetAnnouncement {
  const group = Math.floor(index / groupSize);
  return {
    target: `runner-${index}`,
    incarnation: "01764800000000-1a2b3c4d",
    address,
    failureDomain: `fd-${group % domainCount}`,
    region: `region-${group % regionCount}`,
    kind: TargetKind.Engine,
    models: [`model-${group % modelCount}`],
    adapters: [],
    version: "1.4.2",
    role: TargetRole.Both,
    service: "",
    group: `group-${group}`,
    rank: index % groupSize,
    checksFencing: true,
  };
}
