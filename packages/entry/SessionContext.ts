import type { Clock } from "@clementinemux/common/Clock";
import type { Random } from "@clementinemux/common/Random";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { CrashGuard } from "./CrashGuard";
import type { Dispatcher } from "./Dispatcher";
import type { EntryMetrics } from "./EntryMetrics";
import type { ExplainRecord } from "@clementinemux/policy/ExplainRecord";
import type { ExplainLog } from "./ExplainLog";
import type { FleetView } from "./FleetView";

/** Dependencies shared by all sessions of one entry. */
export interface SessionContext {
  readonly dispatcher: Dispatcher;
  readonly fleet: FleetView;
  readonly crashes: CrashGuard;
  readonly metrics: EntryMetrics;
  readonly explain: ExplainLog;
  /** Decisions of the policy about a request, with the scores of the candidates. */
  readonly explainDecisions: (requestId: string) => readonly ExplainRecord[];
  readonly clock: Clock;
  readonly random: Random;
  readonly getConfig: () => FleetConfig;
  /** Writes one log line of a request. */
  readonly log: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}
