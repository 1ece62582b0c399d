import type { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import type { LimitTable } from "@clementinemux/registry/LimitTable";
import type { RoutedService } from "@clementinemux/routes/RoutedService";
import type { AdmissionQueues } from "./AdmissionQueues";
import type { PartialMessagePool } from "@clementinemux/wire/PartialMessagePool";
import type { TurnQueue } from "@clementinemux/wire/TurnQueue";
import type { ByteBudget } from "./ByteBudget";
import type { UnreadResponses } from "./UnreadResponses";
import type { CallerDeadlines } from "./CallerDeadlines";
import type { ColdTargets } from "./ColdTargets";
import type { CrashWatch } from "./CrashWatch";
import type { FleetView } from "./FleetView";
import type { GatewayHandler } from "./GatewayHandler";
import type { GatewayMetrics } from "./GatewayMetrics";
import type { GatewayOptions } from "./GatewayOptions";
import type { GroupRecovery } from "./GroupRecovery";
import type { PassMeter } from "./PassMeter";
import type { PermitClient } from "./PermitClient";
import type { RetryBudget } from "./RetryBudget";
import type { StopWindow } from "./StopWindow";
import type { TargetConnectionPool } from "./TargetConnectionPool";
import type { TargetHealth } from "./TargetHealth";
import type { TargetLoads } from "./TargetLoads";
import type { TargetNotices } from "./TargetNotices";
import type { TargetRamps } from "./TargetRamps";
import type { WorkEstimates } from "./WorkEstimates";

/** State that all requests of a gateway share. */
export interface GatewayContext {
  readonly options: GatewayOptions;
  readonly view: FleetView;
  readonly loads: TargetLoads;
  /** Expected work of requests, and what remains of it at each target. */
  readonly work: WorkEstimates;
  readonly health: TargetHealth;
  readonly notices: TargetNotices;
  /** What targets have stated about the requests that they take from all gateways together. */
  readonly limits: LimitTable;
  /** Which targets are cold, so that they take few requests from all gateways together. */
  readonly cold: ColdTargets;
  /** Shares of the targets that have just appeared, returned or warmed up. */
  readonly ramps: TargetRamps;
  readonly permits: PermitClient;
  /** The queues of requests that wait for a slot. */
  readonly admissions: AdmissionQueues;
  readonly deadlines: CallerDeadlines;
  readonly crashes: CrashWatch;
  readonly metrics: GatewayMetrics;
  readonly errors: ErrorBoundary<GatewayHandler>;
  /** Limits the bytes of uploads and responses that are buffered until they are complete. */
  readonly byteBudget: ByteBudget;
  /** Uploads that are not complete. */
  readonly uploads: PartialMessagePool;
  readonly unread: UnreadResponses;
  /** Streams of targets deliver their events in turns. */
  readonly turns: TurnQueue;
  readonly getRetryBudget: (service: string) => RetryBudget;
  readonly getPassMeter: (service: string) => PassMeter;
  /** Null for services without rank groups. */
  readonly getGroupRecovery: (service: RoutedService) => GroupRecovery | null;
  readonly getConnectionPool: (address: string) => TargetConnectionPool;
  /** Null unless the process is stopping; while set, callers are requested to close their connections. */
  readonly getStopWindow: () => StopWindow | null;
}
