import { TargetKind } from "@clementinemux/common/TargetKind";
import { TargetRole } from "@clementinemux/common/TargetRole";
import type { PolicyRequest } from "../PolicyRequest";
import type { TargetView } from "../TargetView";

/** Whether the target can serve the whole request: kind, model or service, adapter and role. */
export function canServe(request: PolicyRequest, { announcement }: TargetView): boolean {
  if (announcement.kind !== request.kind) {
    return false;
  }
  if (request.kind === TargetKind.Service) {
    return announcement.service === request.model;
  }
  return (
    announcement.models.includes(request.model) &&
    (request.adapter === "" || announcement.adapters.includes(request.adapter)) &&
    announcement.role !== TargetRole.Prefill
  );
}
