import type { RoutedService } from "@clementinemux/routes/RoutedService";
import { CallFailure } from "./CallFailure";
import type { GatewayContext } from "./GatewayContext";

/**
 * Lets the share of a target grow again after its connection has failed: it may have restarted, and be cold before this gateway
 * learns of it.
 */
export function noteFailedConnection(
  { ramps, options }: GatewayContext,
  { coldStart }: RoutedService,
  targetId: string,
  failure: CallFailure,
): void {
  const isConnectionLost = failure === CallFailure.NotConnected || failure === CallFailure.Broken;
  if (isConnectionLost && (coldStart ?? null) !== null) {
    ramps.start(targetId, options.leaseClock.monotonicMs(), true);
  }
}
