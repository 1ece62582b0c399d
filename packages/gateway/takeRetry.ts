import type { AttemptRetryReason } from "./AttemptRetryReason";
import type { GatewayContext } from "./GatewayContext";

/** Takes one retry from the budget of a service and counts it. Returns false if the budget is used up. */
export function takeRetry(context: GatewayContext, service: string, reason: AttemptRetryReason): boolean {
  const { view, getRetryBudget, metrics, options } = context;
  const isTaken = getRetryBudget(service).take(view.state.liveEntries, options.clock.monotonicMs());
  if (isTaken) {
    metrics.retries.add(reason);
  }
  return isTaken;
}
