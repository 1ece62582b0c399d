import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { GatewayContext } from "./GatewayContext";
import type { UsableTargets } from "./UsableTargets";
import { splitBySlowdown } from "./splitBySlowdown";

/**
 * Targets of a service that accept requests of this gateway, according to the registry and to their own
 * notices.
 */
export function listUsableTargets(context: GatewayContext, service: string): UsableTargets {
  const { view, notices, limits, options } = context;
  const nowMs = options.clock.monotonicMs();
  const staying = view.listOpenTargets(service).filter((target) => !notices.isLeaving(target));
  const accepting = staying.filter((target) => notices.getPauseMs(target, nowMs) === 0);
  const isLimited = (target: TargetRecord): boolean => limits.getLimitPerS(target) !== null;
  const limited = limits.isEmpty ? [] : accepting.filter(isLimited);
  const targets = limited.length === 0 ? accepting : accepting.filter((target) => !isLimited(target));
  const isPaused = accepting.length === 0 && staying.length > 0;
  const pauses = staying.map((target) => notices.getPauseMs(target, nowMs));
  const { healthy, slow } = splitBySlowdown(targets, view.state.slowdowns);
  return { healthy, slow, limited, pauseMs: isPaused ? Math.min(...pauses) : null };
}
