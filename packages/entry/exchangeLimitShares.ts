import type { Clock } from "@clementinemux/common/Clock";
import type { LimitSharesResponse } from "@clementinemux/messages/LimitSharesResponse";
import type { TeamLimits } from "@clementinemux/policy/admission/TeamLimits";
import { MessageName } from "@clementinemux/wire/MessageName";
import { WireErrorCode } from "@clementinemux/wire/WireErrorCode";
import type { LimitReporter } from "./LimitReporter";
import type { RelayCaller } from "./RelayCaller";

// Shorter than the report interval, so that at most one report per relay is in flight.
const reportTimeoutMs = 900;

/**
 * Reports the demand of the active teams (or only of those not reported yet) to their relays and applies the
 * shares that the relays grant.
 */
export async function exchangeLimitShares(
  reporter: LimitReporter,
  limits: TeamLimits | undefined,
  relays: RelayCaller,
  clock: Clock,
  onlyNewTeams: boolean,
): Promise<void> {
  if (limits === undefined) {
    return;
  }
  const nowMs = clock.monotonicMs();
  const demands = onlyNewTeams ? limits.collectNewDemand() : limits.collectDemand(nowMs);
  if (onlyNewTeams && demands.length === 0) {
    return;
  }
  const { reports, droppedTeams } = reporter.createReports(demands, nowMs);
  limits.dropShares(droppedTeams, nowMs);
  limits.setLeasing(reporter.isLeasing(nowMs));
  await Promise.all(
    reports.map(async (report) => {
      const { relay, request } = report;
      const reply = await relays.callAt(relay, MessageName.LimitShares, request, reportTimeoutMs);
      if (reply === WireErrorCode.UnknownMessage) {
        reporter.onUnsupported(report);
      } else {
        const response = reply === null ? null : (reply.body as LimitSharesResponse);
        limits.applyShares(reporter.onResponse(report, response), clock.monotonicMs());
      }
      limits.setLeasing(reporter.isLeasing(clock.monotonicMs()));
    }),
  );
}
