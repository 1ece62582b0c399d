import type { GatewayContext } from "./GatewayContext";
import type { UsableTargets } from "./UsableTargets";
import { splitBySlowdown } from "./splitBySlowdown";

/**
 * Targets of a service that accept requests of this gateway, according to the registry and to their own
 * notices.
 */
export function listUsableTargets(context: GatewayContext, service: string): UsableTargets {
  const { view, notices, options } = context;
  const nowMs = options.clock.monotonicMs();
  const staying = view.listOpenTargets(service).filter((target) => !notices.isLeaving(target));
  const targets = staying.filter((target) => notices.getPauseMs(target, nowMs) === 0);
  const isPaused = targets.length === 0 && staying.length > 0;
  const pauses = staying.map((target) => notices.getPauseMs(target, nowMs));
  const { healthy, slow } = splitBySlowdown(targets, view.state.slowdowns);
  return { healthy, slow, pauseMs: isPaused ? Math.min(...pauses) : null };
}
