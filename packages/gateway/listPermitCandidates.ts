import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { RoutedService } from "@clementinemux/routes/RoutedService";
import type { GatewayContext } from "./GatewayContext";
import { listUsableTargets } from "./listUsableTargets";

/** Targets that one request asks for a permit of. */
const maxCandidates = 8;

/** Limited targets with a free slot that a request may go to with a permit, the least loaded first. */
export function listPermitCandidates(
  context: GatewayContext,
  service: RoutedService,
  tried: ReadonlySet<string>,
  waitMs: number,
): readonly TargetRecord[] {
  const { limits, cold, loads, health, permits, options } = context;
  if (limits.isEmpty && cold.isEmpty) {
    return [];
  }
  const { limited } = listUsableTargets(context, service.name);
  const free = limited.filter(
    (target) =>
      !tried.has(target.id) &&
      loads.getLoad(target) < (service.engine?.slots ?? target.slots) &&
      permits.mayHave(target, waitMs),
  );
  return [...health.select(free, options.clock.monotonicMs())]
    .sort((a, b) => loads.getLoad(a) - loads.getLoad(b))
    .slice(0, maxCandidates);
}
