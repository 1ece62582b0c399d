import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { GatewayContext } from "./GatewayContext";
import type { TargetResponse } from "./TargetResponse";

/** Records and logs what a response states about its target. */
export function recordNotice(
  { notices, options: { clock, logger } }: GatewayContext,
  target: TargetRecord,
  response: TargetResponse,
): void {
  const { isLeaving, pauseMs } = response;
  const isNew = notices.note(target, response, clock.monotonicMs());
  if (isNew || pauseMs !== null) {
    logger.info({ target: target.id, isLeaving, pauseMs }, "target leaves or pauses");
  }
}
