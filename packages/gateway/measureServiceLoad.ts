import type { RoutedRequest } from "./RoutedRequest";
import type { ServiceLoad } from "./ServiceLoad";
import type { GatewayContext } from "./GatewayContext";
import { computeConcurrencyLimit } from "./computeConcurrencyLimit";
import { listUsableTargets } from "./listUsableTargets";

/** Share of the slots that is used at ranks of a slow group; more requests would slow the group further. */
const slowSlotShare = 0.5;

/** Current load of the service of a request. */
export function measureServiceLoad(context: GatewayContext, { service, route }: RoutedRequest): ServiceLoad {
  const { loads, getPassMeter, options } = context;
  const { healthy, slow, limited, held, pauseMs } = listUsableTargets(context, service.name);
  const load = healthy.reduce((sum, target) => sum + loads.getLoad(target), 0);
  const meanLoad = load / Math.max(1, healthy.length);
  const meanGapMs = getPassMeter(service.name).getMeanMs(options.clock.monotonicMs());
  const slots = healthy.length === 0 ? 0 : (service.engine?.slots ?? healthy[0]?.slots ?? 1);
  const cap = computeConcurrencyLimit({
    slots,
    stride: service.engine?.stride ?? 1,
    stepMs: service.engine?.stepMs ?? 0,
    gapObjectiveMs: route.gapObjectiveMs,
    meanGapMs,
    meanLoad,
  });
  const slowLimit = slots * slowSlotShare;
  const slowPlaces = slow.reduce((sum, target) => sum + Math.max(0, slowLimit - loads.getLoad(target)), 0);
  return {
    targets: healthy.length,
    meanLoad,
    slots,
    cap,
    slowPlaces,
    limited: limited.length,
    held,
    pauseMs,
    meanGapMs,
  };
}
