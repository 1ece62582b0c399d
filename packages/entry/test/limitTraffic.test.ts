import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { LimitReporter } from "@clementinemux/entry/LimitReporter";
import { getSpreadCount } from "@clementinemux/entry/getSpreadCount";
import { LimitService } from "@clementinemux/membership/LimitService";
import type { LimitSharesResponse } from "@clementinemux/messages/LimitSharesResponse";
import type { TeamDemand } from "@clementinemux/policy/admission/TeamDemand";
import { FrameKind } from "@clementinemux/wire/FrameKind";
import { MessageName } from "@clementinemux/wire/MessageName";
import { encodeFrame } from "@clementinemux/wire/encodeFrame";

const entryCount = 350;
const teamCount = 4100;
const relayCount = 30;
const requestsPerS = 8600;
const tokensPerRequest = 3_600_000 / requestsPerS;
/** A team's demand is reported for this long after a request. */
const reportedS = 5;
/** A quarter of the 11 KB/s budget for control traffic per node. */
const maxBytesPerS = 2750;

/** Returns the demands of each entry. Request rates of teams are proportional to 1 / rank. */
function createDemands(): TeamDemand[][] {
  const random = createRandom(11);
  const demands = Array.from({ length: entryCount }, (): TeamDemand[] => []);
  const weights = Array.from({ length: teamCount }, (_, index) => 1 / (index + 1));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  for (const [rank, weight] of weights.entries()) {
    const teamRequestsPerS = (requestsPerS * weight) / total;
    const limit = Math.max(20_000, 1.5 * teamRequestsPerS * tokensPerRequest);
    const spread = Math.min(entryCount, getSpreadCount(limit));
    const firstEntry = Math.floor(random() * entryCount);
    for (let index = 0; index < spread; index += 1) {
      const isActive = random() < 1 - Math.exp((-teamRequestsPerS * reportedS) / spread);
      if (isActive) {
        const demand = { team: `team-${rank}`, demand: random() / spread, held: random() / spread };
        demands[(firstEntry + index) % entryCount]?.push(demand);
      }
    }
  }
  return demands;
}

// Guards against reports that use a large part of a node's control traffic at design scale.
t.test("reports and shares at design scale", (t) => {
  const clock = { monotonicMs: () => 10_000, wallMs: () => 0 };
  const relays = Array.from({ length: relayCount }, (_, index) => `10.0.0.${index}:7000`);
  const services = new Map(
    relays.map((relay) => [relay, new LimitService({ clock, relayStart: "0123456789ab" })]),
  );
  const sizes = createDemands().map((demands, index) => {
    const reporter = new LimitReporter(String(index).padStart(12, "0"), relays);
    const firstRound = reporter.createReports(demands, 10_000).reports;
    for (const report of firstRound) {
      const response = services.get(report.relay)?.handlers[MessageName.LimitShares]?.(report.request, "");
      reporter.onResponse(report, response as LimitSharesResponse);
    }
    // The first round reports to every relay. The second one is representative of the following rounds.
    return reporter.createReports(demands, 11_000).reports.reduce((sum, { relay, request }) => {
      const response = services.get(relay)?.handlers[MessageName.LimitShares]?.(request, "");
      const frames = [
        { kind: FrameKind.Request, id: 1000, name: MessageName.LimitShares, body: request },
        { kind: FrameKind.Response, id: 1000, name: MessageName.LimitShares, body: response },
      ];
      return sum + frames.reduce((bytes, frame) => bytes + encodeFrame(frame).length, 0);
    }, 0);
  });
  const mean = sizes.reduce((sum, size) => sum + size, 0) / entryCount;
  const relayMean = (mean * entryCount) / relayCount;
  t.comment(
    `bytes/s per entry ${Math.round(mean)} (greatest ${Math.max(...sizes)}), per relay ${Math.round(relayMean)}`,
  );
  t.ok(mean <= maxBytesPerS, `${mean}`);
  t.end();
});
