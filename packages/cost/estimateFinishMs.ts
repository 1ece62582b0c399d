import type { RequestWork } from "./RequestWork";
import type { TargetLoad } from "./TargetLoad";

/**
 * Time in which a target is expected to complete a request. A short request is delayed by the number of others,
 * a long one by no more than the work that remains of them.
 */
export function estimateFinishMs(work: RequestWork, load: TargetLoad): number {
  const alongsideMs = load.prefillMs + load.requests * work.perOtherMs;
  return work.aloneMs + Math.min(load.leftMs * work.delayingShare, alongsideMs);
}
