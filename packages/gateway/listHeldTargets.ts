import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { GatewayContext } from "./GatewayContext";

/** While fewer than this share of the targets could be used, failures and pauses hold none back. */
const minUsableShare = 0.5;

/** Those of the targets of a service that may get no request of this gateway yet, as their share still grows. */
export function listHeldTargets(
  { ramps, cold, options }: GatewayContext,
  service: string,
  targets: readonly TargetRecord[],
): readonly TargetRecord[] {
  const ratePerS = ramps.isEmpty ? null : cold.getServiceRatePerS(service);
  if (ratePerS === null) {
    return [];
  }
  const nowMs = options.leaseClock.monotonicMs();
  const held = targets.filter(({ id }) => ramps.isHeld(id, ratePerS, nowMs));
  const isScarce = targets.length - held.length < targets.length * minUsableShare;
  return isScarce ? held.filter(({ id }) => !ramps.isSuspected(id)) : held;
}
