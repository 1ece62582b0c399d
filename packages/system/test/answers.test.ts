import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { SystemFleet } from "@clementinemux/system/SystemFleet";
import { runLight } from "./helpers/runLight";

// Only a hang reaches this.
t.setTimeout(200_000);

interface Fault {
  readonly name: string;
  readonly process: string;
  readonly signal: NodeJS.Signals;
}

const faults: readonly Fault[] = [
  { name: "engine killed", process: "engine-1", signal: "SIGKILL" },
  { name: "engine frozen", process: "engine-1", signal: "SIGSTOP" },
  { name: "agent killed", process: "agent-runner-1", signal: "SIGKILL" },
  { name: "agent frozen", process: "agent-runner-1", signal: "SIGSTOP" },
];

for (const { name, process: daemon, signal } of faults) {
  // Guards against a cut, doubled, foreign or silently ended answer when a process fails in the middle of streams.
  t.test(`whole answers with ${name}`, async (t) => {
    const fleet = await SystemFleet.start({ engineCount: 3, entryCount: 1 });
    t.teardown(() => fleet.stop());
    const load = runLight(fleet.entryUrls[0] ?? "", 8000);
    await delay(3000);
    fleet.get(daemon).signal(signal);
    const report = await load;
    t.comment(JSON.stringify(report));
    t.equal(report.wrongCount, 0);
    t.equal(report.wholeCount + report.explicitCount, report.sentCount);
    t.ok(report.wholeCount > 0);
  });
}
