import type { FailureTimes } from "./FailureTimes";
import type { GatewayContext } from "./GatewayContext";
import { RequestOutcome } from "./RequestOutcome";
import type { ResponseWriter } from "./ResponseWriter";
import type { RoutedRequest } from "./RoutedRequest";
import { estimateRetryAfterMs } from "./estimateRetryAfterMs";
import { listUsableTargets } from "./listUsableTargets";
import { measureServiceLoad } from "./measureServiceLoad";

interface Failure extends FailureTimes {
  readonly end: RequestOutcome;
  readonly text: string;
  /** Whether any target may have run the request. */
  readonly mayHaveRun: boolean;
}

/** Nobody knows when an evacuation ends; gateways learn of it within half a second. */
const evacuatedRetryMs = 1000;
const evacuatedSpreadMs = 1000;
/** Outcomes that have causes other than a lack of targets. */
const otherOutcomes: readonly RequestOutcome[] = [RequestOutcome.Suspect, RequestOutcome.TimedOut];

interface SentFailure {
  readonly end: RequestOutcome;
  readonly status: number;
}

/** Answers a request that has no response of a target, and states whether it may have run. */
export function sendFailure(
  context: GatewayContext,
  routed: RoutedRequest,
  writer: ResponseWriter,
  { end, text, mayHaveRun, retryAfterMs = null, queueWaitMs = null }: Failure,
): SentFailure {
  if (mayHaveRun) {
    const status = end === RequestOutcome.TimedOut ? 504 : 502;
    writer.sendLocal(status, text, null);
    return { end, status };
  }
  if (isCausedByEvacuation(context, routed, end)) {
    const evacuatedText = "all targets are in evacuated failure domains";
    writer.sendLocal(503, evacuatedText, estimateEvacuationMs(context));
    return { end: RequestOutcome.Evacuated, status: 503 };
  }
  writer.sendLocal(503, text, retryAfterMs ?? estimateRetryMs(context, routed, end, queueWaitMs));
  return { end: end === RequestOutcome.Unknown ? RequestOutcome.Unreachable : end, status: 503 };
}

/** Whether no target is left for a request that has not run, since all of them are evacuated. */
function isCausedByEvacuation(
  context: GatewayContext,
  { service }: RoutedRequest,
  end: RequestOutcome,
): boolean {
  return context.view.isEvacuated(service.name) && !otherOutcomes.includes(end);
}

function estimateEvacuationMs({ options }: GatewayContext): number {
  return evacuatedRetryMs + options.random() * evacuatedSpreadMs;
}

function estimateRetryMs(
  context: GatewayContext,
  routed: RoutedRequest,
  end: RequestOutcome,
  queueWaitMs: number | null,
): number {
  if (end === RequestOutcome.Limited) {
    return context.permits.bookReturnMs(listUsableTargets(context, routed.service.name).limited);
  }
  const serviceLoad = measureServiceLoad(context, routed);
  const isRejected = end === RequestOutcome.Rejected;
  return estimateRetryAfterMs(routed.service, serviceLoad, isRejected, context.options.random, queueWaitMs);
}
