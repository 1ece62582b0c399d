import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { GatewayContext } from "./GatewayContext";
import type { UsableTargets } from "./UsableTargets";
import { listHeldTargets } from "./listHeldTargets";
import { splitBySlowdown } from "./splitBySlowdown";

/**
 * Targets of a service that accept requests of this gateway, according to the registry and to their own
 * notices.
 */
export function listUsableTargets(context: GatewayContext, service: string): UsableTargets {
  const { view, notices, limits, cold, options } = context;
  const nowMs = options.clock.monotonicMs();
  const staying = view.listOpenTargets(service).filter((target) => !notices.isLeaving(target));
  const accepting = staying.filter((target) => notices.getPauseMs(target, nowMs) === 0);
  const leaseNowMs = options.leaseClock.monotonicMs();
  const isLimited = (target: TargetRecord): boolean =>
    limits.getLimitPerS(target) !== null || cold.getRatePerS(target, leaseNowMs) !== null;
  const limited = limits.isEmpty && cold.isEmpty ? [] : accepting.filter(isLimited);
  const open = limited.length === 0 ? accepting : accepting.filter((target) => !isLimited(target));
  const held = listHeldTargets(context, service, open);
  const targets = held.length === 0 ? open : open.filter((target) => !held.includes(target));
  const isPaused = accepting.length === 0 && staying.length > 0;
  const pauses = staying.map((target) => notices.getPauseMs(target, nowMs));
  const { healthy, slow } = splitBySlowdown(targets, view.state.slowdowns);
  return { healthy, slow, limited, held: held.length, pauseMs: isPaused ? Math.min(...pauses) : null };
}
