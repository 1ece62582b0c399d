import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { GatewayContext } from "./GatewayContext";
import type { TargetResponse } from "./TargetResponse";

/** Records and logs what a response states about its target. */
export function recordNotice(context: GatewayContext, target: TargetRecord, response: TargetResponse): void {
  const { notices, cold, ramps, options } = context;
  const { clock, logger } = options;
  const { isLeaving, pauseMs } = response;
  const isNew = notices.note(target, response, clock.monotonicMs());
  if (isNew || pauseMs !== null) {
    logger.info({ target: target.id, isLeaving, pauseMs }, "target leaves or pauses");
  }
  if (pauseMs !== null && cold.getServiceRatePerS(target.service) !== null) {
    // After a pause the target is empty, so all gateways would choose it.
    ramps.start(target.id, options.leaseClock.monotonicMs() + pauseMs, true);
  }
  recordLimit(context, target, response);
}

/** A rejection that names no limit leaves the known one as it is: the target may state it only with its answers. */
function recordLimit(
  { limits, permits, options: { leaseClock, logger } }: GatewayContext,
  target: TargetRecord,
  { limitPerS, status, isSigned, isNotRun, isMisdirected }: TargetResponse,
): void {
  const isLifting = limitPerS === null && isSigned && !isNotRun && status < 500;
  if (isMisdirected || limitPerS === undefined || (limitPerS === null && !isLifting)) {
    return;
  }
  if (limits.note(target, limitPerS, leaseClock.monotonicMs())) {
    permits.reset(target.id);
    logger.info({ target: target.id, limitPerS }, "limit of a target");
  }
}
