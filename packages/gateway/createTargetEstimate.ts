import { estimateFinishMs } from "@clementinemux/cost/estimateFinishMs";
import type { RoutedRequest } from "./RoutedRequest";
import type { TargetCandidate } from "./TargetCandidate";
import type { TargetEstimate } from "./TargetEstimate";
import type { WorkEstimates } from "./WorkEstimates";

/** Returns what estimates a request at each target. */
export function createTargetEstimate(
  work: WorkEstimates,
  request: RoutedRequest,
): (candidate: Pick<TargetCandidate, "id">) => TargetEstimate {
  const { service } = request;
  const own = work.estimateWork(request);
  const ownTokens = own.promptTokens + own.answerTokens;
  const capacity = service.engine?.kvCapacityTokens ?? 0;
  return ({ id }) => ({
    finishMs: estimateFinishMs(own, work.getLoad(id, service)),
    hasMemory: capacity <= 0 || work.getHeldTokens(id, service) + ownTokens <= capacity,
  });
}
