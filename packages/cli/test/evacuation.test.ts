import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { runCommand } from "@clementinemux/demo/runCommand";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { CoordinatorFleet } from "../../control/test/CoordinatorFleet";

// Only a hanging command takes this long.
t.setTimeout(100_000);

/** Age from which a coordinator knows all targets. */
const completeAfterMs = 3500;

// Guards against commands whose messages do not match those of coordinators, and that need one certain coordinator.
t.test("evacuation commands against real coordinators", async (t) => {
  const fleet = await CoordinatorFleet.start(3);
  t.teardown(() => fleet.close());
  await waitUntil("a leader", () => (fleet.leader >= 0 ? true : null));
  const run = (name: string, ...args: readonly string[]) => {
    const command = ["evacuation", name, "--coordinators", fleet.seeds.join(","), ...args];
    return runCommand(join(process.cwd(), "dist/clementinemux.mjs"), command);
  };
  t.match(await run("start", "d-1"), { code: 0, stdout: "d-1 is evacuated\n" });
  t.match(await run("start", "d-1"), { code: 0 }, "repeated");
  t.match(await run("list"), { code: 0, stdout: "d-1\n" });
  await fleet.stop(0);
  t.match(await run("end", "d-1", "--json"), { code: 0, stdout: /"isEvacuated": false/ });
  t.match(await run("list", "--json"), { code: 0, stdout: /"failureDomains": \[\]/ });
  await delay(completeAfterMs);
  t.match(await run("start", "none"), { code: 4, stderr: /"none" is known/ });
  await fleet.stop(1);
  t.match(await run("start", "d-2", "--timeout-ms", "1500"), { code: 1, stderr: /no answer in time/ });
  t.match(await run("list", "--coordinators", "odd"), { code: 2 });
});
