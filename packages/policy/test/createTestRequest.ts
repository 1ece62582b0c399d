import { RequestClass } from "@clementinemux/common/RequestClass";
import { TargetKind } from "@clementinemux/common/TargetKind";
import type { PolicyRequest } from "@clementinemux/policy/PolicyRequest";

/** Creates a request to model `m` with a distant deadline. */
export function createTestRequest(fields: Partial<PolicyRequest>): PolicyRequest {
  return {
    requestId: "r",
    team: "team",
    kind: TargetKind.Engine,
    model: "m",
    adapter: "",
    requestClass: RequestClass.Standard,
    arrivedAtMs: 0,
    deadlineAtMs: 60_000,
    promptTokenCount: 100,
    maxTokenCount: 100,
    prefixHashes: [],
    repeatable: true,
    ...fields,
  };
}
