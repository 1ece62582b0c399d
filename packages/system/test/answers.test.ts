import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { SystemFleet } from "@clementinemux/system/SystemFleet";
import { runLightLoad } from "./helpers/runLightLoad";

// Reached only when a test hangs.
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
  // Guards against truncated, duplicated or mixed-up responses, also without an error, when a process fails
  // during streams.
  t.test(`complete responses with ${name}`, async (t) => {
    const fleet = await SystemFleet.start({ engineCount: 3, entryCount: 1 });
    t.teardown(() => fleet.stop());
    const load = runLightLoad(fleet.entryUrls[0] ?? "", 8000);
    await delay(3000);
    fleet.get(daemon).signal(signal);
    const report = await load;
    t.comment(JSON.stringify(report));
    t.equal(report.wrongCount, 0);
    t.equal(report.wholeCount + report.explicitCount, report.sentCount);
    t.ok(report.wholeCount > 0);
  });
}
