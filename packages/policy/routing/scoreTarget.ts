import type { PolicyRequest } from "../PolicyRequest";
import type { TargetState } from "../TargetState";
import type { ServiceTimes } from "../admission/ServiceTimes";
import type { Candidate } from "./Candidate";
import type { PrefixIndex } from "./PrefixIndex";

interface ScoreContext {
  readonly request: PolicyRequest;
  readonly model: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly times: ServiceTimes;
  readonly prefixes: PrefixIndex;
  readonly groupErrorRate: number;
  readonly herdFactor: number;
  readonly nowMs: number;
}

const otherDomainPenaltyMs = 2;
const otherRegionPenaltyMs = 60;
/** Time added on a cold target, as a multiple of the base time; decreases as the target warms up. */
const coldFactor = 1;
/** Cost of a failed attempt beyond its own duration: detection, queueing again, retry budget. */
const failedAttemptCostMs = 500;

/**
 * Scores a target by the predicted duration of a request on it, in milliseconds: waiting, prefill of the
 * uncached tokens, and decoding at the target's own step time. A group that is slowed down by one rank has a
 * long step time, so it counts as slow and not as failed. Error rate, suspicion of failure and warm-up
 * increase the score.
 */
export function scoreTarget(target: TargetState, context: ScoreContext): Candidate {
  const { request, model, times, prefixes, nowMs } = context;
  const { health, view } = target;
  const loadCount = target.getLoadCount(context.herdFactor) + 1;
  const stepMs = target.getStepMs(loadCount, times.getTokenGapMs(model));
  const meanGapMs = times.getTokenGapMs(model);
  const slowdown = Math.max(0.2, target.getStepMs(target.batchLimitCount / 2, meanGapMs) / meanGapMs);
  const waitingCount = Math.max(0, loadCount - target.batchLimitCount);
  const blockCount = request.prefixHashes.length;
  const cachedShare =
    blockCount === 0 ? 0 : prefixes.getExpectedBlockCount(target.name, request.prefixHashes) / blockCount;
  const uncachedTokenCount = request.promptTokenCount * (1 - cachedShare);
  const serviceMs = times.getServiceMs(model, request);
  const queueMs = (waitingCount * serviceMs * slowdown) / target.batchLimitCount;
  const prefillMs = times.getPrefillMs(model, uncachedTokenCount) * slowdown;
  const decodeMs =
    request.maxTokenCount === 0
      ? serviceMs * (1 + loadCount / target.batchLimitCount)
      : times.getOutputTokenCount(model, request.maxTokenCount) * stepMs;
  const distanceMs = getDistanceMs(target, context);
  const baseMs = queueMs + prefillMs + decodeMs + distanceMs;
  const errorRate = Math.max(health.getErrorRate(nowMs), context.groupErrorRate);
  const warmUpMs = baseMs * coldFactor * health.getColdShare(nowMs);
  const errorMs = ((baseMs + failedAttemptCostMs) * errorRate) / Math.max(0.05, 1 - errorRate);
  const suspectMs = baseMs * (1 / Math.max(0.05, view.membershipWeight) - 1);
  return {
    target,
    scoreMs: baseMs + warmUpMs + errorMs + suspectMs,
    firstTokenMs: queueMs + prefillMs + stepMs + distanceMs,
    parts: { queueMs, prefillMs, decodeMs, distanceMs, warmUpMs, errorMs, suspectMs },
  };
}

function getDistanceMs(target: TargetState, { failureDomain, region }: ScoreContext): number {
  const { announcement } = target.view;
  if (announcement.region !== region) {
    return otherRegionPenaltyMs;
  }
  return announcement.failureDomain === failureDomain ? 0 : otherDomainPenaltyMs;
}
