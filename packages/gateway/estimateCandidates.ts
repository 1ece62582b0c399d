import { estimateFinishMs } from "@clementinemux/cost/estimateFinishMs";
import type { GatewayContext } from "./GatewayContext";
import type { RoutedRequest } from "./RoutedRequest";
import type { TargetCandidate } from "./TargetCandidate";
import type { WorkCandidate } from "./WorkCandidate";

/** Adds to targets the time in which they are expected to complete a request, and whether their memory holds it. */
export function estimateCandidates(
  { work }: GatewayContext,
  request: RoutedRequest,
  candidates: readonly TargetCandidate[],
): WorkCandidate[] {
  const { service } = request;
  const own = work.estimateWork(request);
  const ownTokens = own.promptTokens + own.answerTokens;
  const capacity = service.engine?.kvCapacityTokens ?? 0;
  return candidates.map((candidate) => ({
    ...candidate,
    finishMs: estimateFinishMs(own, work.getLoad(candidate.id, service)),
    hasMemory: capacity <= 0 || work.getHeldTokens(candidate.id, service) + ownTokens <= capacity,
  }));
}
