import type { RoutedService } from "@clementinemux/routes/RoutedService";
import type { ByteBudget } from "./ByteBudget";
import type { CallerDeadlines } from "./CallerDeadlines";
import type { FleetView } from "./FleetView";
import type { GatewayMetrics } from "./GatewayMetrics";
import type { GatewayOptions } from "./GatewayOptions";
import type { GroupForming } from "./GroupForming";
import type { PassMeter } from "./PassMeter";
import type { RepeatBudget } from "./RepeatBudget";
import type { StopWindow } from "./StopWindow";
import type { TargetAgent } from "./TargetAgent";
import type { TargetHealth } from "./TargetHealth";
import type { TargetLoads } from "./TargetLoads";
import type { TargetNotices } from "./TargetNotices";

/** What the requests of one gateway share. */
export interface GatewayContext {
  readonly options: GatewayOptions;
  readonly view: FleetView;
  readonly loads: TargetLoads;
  readonly health: TargetHealth;
  readonly notices: TargetNotices;
  readonly deadlines: CallerDeadlines;
  readonly metrics: GatewayMetrics;
  /** Bytes of uploads and answers that are held for their end. */
  readonly heldBytes: ByteBudget;
  readonly getBudget: (service: string) => RepeatBudget;
  readonly getPassMeter: (service: string) => PassMeter;
  /** Null for services without rank groups. */
  readonly getForming: (service: RoutedService) => GroupForming | null;
  readonly getAgent: (address: string) => TargetAgent;
  /** Set while the process is about to stop, so that callers should close their connections. */
  readonly getStopWindow: () => StopWindow | null;
}
