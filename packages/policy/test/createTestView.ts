import { TargetKind } from "@clementinemux/common/TargetKind";
import { TargetRole } from "@clementinemux/common/TargetRole";
import type { LoadReport } from "@clementinemux/policy/LoadReport";
import type { TargetView } from "@clementinemux/policy/TargetView";

interface TestViewFields {
  readonly name: string;
  readonly domain?: string;
  readonly incarnation?: string;
  readonly version?: string;
  readonly group?: string;
  readonly accepting?: boolean;
  readonly load?: Partial<LoadReport>;
}

/** Creates the view of an idle engine with 8 slots. */
export function createTestView(fields: TestViewFields): TargetView {
  return {
    announcement: {
      target: fields.name,
      incarnation: fields.incarnation ?? "1",
      address: "",
      failureDomain: fields.domain ?? "d1",
      region: "r",
      kind: TargetKind.Engine,
      models: ["m"],
      adapters: [],
      version: fields.version ?? "1",
      role: TargetRole.Both,
      service: "",
      group: fields.group ?? "",
      rank: 0,
      checksFencing: true,
    },
    accepting: fields.accepting ?? true,
    membershipWeight: 1,
    load: {
      measuredAtMs: 0,
      runningCount: 0,
      queuedCount: 0,
      runningTokenCount: 0,
      batchLimitCount: 8,
      stepMs: 20,
      kvFreeShare: 1,
      groupSkew: 1,
      ...fields.load,
    },
  };
}
