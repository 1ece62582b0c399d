import { getOwn } from "@clementinemux/common/getOwn";
import type { GatewayContext } from "./GatewayContext";
import { slowGroupThreshold } from "./slowGroupThreshold";

/** Slow groups are left out, since the time of a pass sets the concurrency limit of the whole service. */
export function notePass(context: GatewayContext, service: string, target: string, gapMs: number): void {
  const { getPassMeter, view, options } = context;
  const slowdown = getOwn(view.state.slowdowns, target) ?? 1;
  if (slowdown < slowGroupThreshold) {
    getPassMeter(service).note(gapMs, options.clock.monotonicMs());
  }
}
