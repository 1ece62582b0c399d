import type { Counters } from "@clementinemux/metrics/Counters";
import type { FleetView } from "./FleetView";
import type { GatewayOptions } from "./GatewayOptions";
import type { PassMeter } from "./PassMeter";
import type { RepeatBudget } from "./RepeatBudget";
import type { RepeatReason } from "./RepeatReason";
import type { RequestEnd } from "./RequestEnd";
import type { TargetAgent } from "./TargetAgent";
import type { TargetHealth } from "./TargetHealth";
import type { TargetLoads } from "./TargetLoads";

/** What the requests of one gateway share. */
export interface GatewayContext {
  readonly options: GatewayOptions;
  readonly view: FleetView;
  readonly loads: TargetLoads;
  readonly health: TargetHealth;
  readonly ends: Counters<RequestEnd>;
  readonly repeats: Counters<RepeatReason>;
  readonly getBudget: (service: string) => RepeatBudget;
  readonly getPassMeter: (service: string) => PassMeter;
  readonly getAgent: (address: string) => TargetAgent;
  /** Whether the process is about to stop, so that callers should close their connections. */
  readonly isStopping: () => boolean;
}
