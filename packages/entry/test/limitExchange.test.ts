import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { LimitReporter } from "@clementinemux/entry/LimitReporter";
import { RelayCaller } from "@clementinemux/entry/RelayCaller";
import { exchangeLimitShares } from "@clementinemux/entry/exchangeLimitShares";
import { LimitService } from "@clementinemux/membership/LimitService";
import { TeamLimits } from "@clementinemux/policy/admission/TeamLimits";
import { unleasedShare } from "@clementinemux/policy/admission/unleasedShare";
import type { MessageHandler } from "@clementinemux/wire/MessageHandler";
import { RpcServer } from "@clementinemux/wire/RpcServer";

const rates = { requestsPerS: 100, tokensPerS: 10_000 };

/** Exchanges shares of a team over a real connection and returns the entry's limits. */
async function exchange(handlers: Readonly<Record<string, MessageHandler>>): Promise<TeamLimits> {
  const server = new RpcServer({ handlers });
  const address = `127.0.0.1:${await server.listen("127.0.0.1", 0)}`;
  const relays = new RelayCaller([address], undefined);
  const reporter = new LimitReporter("entry/1", [address]);
  const clock = new SystemClock();
  const limits = new TeamLimits(clock.monotonicMs());
  limits.setLiveEntryCount(100);
  limits.take("team", rates, 10, clock.monotonicMs());
  await exchangeLimitShares(reporter, limits, relays, clock, true);
  relays.close();
  await server.close();
  return limits;
}

// Guards against an entry and a relay that disagree on the message format.
t.test("share is granted over a connection", async (t) => {
  const time = { nowMs: 0 };
  const clock = { monotonicMs: () => time.nowMs, wallMs: () => time.nowMs };
  const service = new LimitService({ clock, relayStart: "1" });
  time.nowMs = 5000;
  const limits = await exchange(service.handlers);
  t.equal(limits.getLeasedShare("team", new SystemClock().monotonicMs()), 1 - unleasedShare);
});

// Guards against an entry that uses only the small unleased part although its relays cannot grant shares.
t.test("relay without limit shares", async (t) => {
  const limits = await exchange({});
  const nowMs = new SystemClock().monotonicMs();
  // A hundredth of the limit yields one request a second; the unleased part would yield a tenth of that.
  t.equal(limits.take("team", rates, 10, nowMs + 1100), null);
  t.end();
});

// Guards against a team that waits for a full lease when its relay runs a release that cannot grant shares.
t.test("team leaves a relay without limit shares immediately", (t) => {
  const reporter = new LimitReporter("entry/1", ["10.0.0.1:1", "10.0.0.2:1"]);
  const demands = [{ team: "team", demand: 1, held: 0 }];
  const firstRound = reporter.createReports(demands, 0).reports;
  const first = firstRound.find(({ request }) => request[3].length > 0);
  for (const report of firstRound) {
    if (report === first) {
      reporter.onUnsupported(report);
    } else {
      reporter.onResponse(report, ["start", 1, 4000, []]);
    }
  }
  const { reports } = reporter.createReports(demands, 50);
  const second = reports.find(({ request }) => request[3].length > 0);
  t.ok(second);
  t.not(second?.relay, first?.relay);
  t.equal(second?.request[3][0]?.[3], 1, "the report to the new relay marks the team as moved");
  t.end();
});
