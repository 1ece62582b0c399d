import { setTimeout as delay } from "node:timers/promises";
import { Client } from "../lib/Client";
import { Runner } from "../lib/Runner";
import { createConfig } from "../lib/createConfig";
import { playLoss } from "../lib/playLoss";
import { runCase } from "../lib/runCase";

const runnerIds: readonly string[] = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"];
/** By then, a configuration that was acknowledged is in force. */
const configMs = 2000;
const teamA = { name: "team-a", api_keys: ["key-a"], priority: 1 };
/** The apostrophe is U+2019, as French texts have it. */
const plainName = "bureau-d-etudes";
const typographicName = "Bureau d’études";

await runCase(async ({ fleet, recorder, hasTrouble }) => {
  const control = fleet.controlAddresses;
  const runners = runnerIds.map((id) => new Runner({ id, service: "stock", workMs: 300, control, recorder }));
  const [gateway = { host: "", port: 0 }] = fleet.callerAddresses;
  await fleet.configure(createConfig(1, [teamA]));
  await Promise.all(runners.map((runner) => runner.start()));
  await fleet.waitUntilReady();
  const options = { gateway, path: "/lookup/a", key: "key-b", deadlineMs: 4000, pauseMs: 2000, recorder };
  const newClient = new Client({ name: "new-client", ...options });
  const disturb = async (): Promise<void> => {
    const name = hasTrouble ? typographicName : plainName;
    await fleet.configure(createConfig(2, [teamA, { name, api_keys: ["key-b"], priority: 1 }]));
    await delay(configMs);
    recorder.note(`version 2 is acknowledged; it adds the tenant ${name}`);
    void newClient.run();
  };
  const isKept = await playLoss({ fleet, recorder, soundRunners: runners, disturb });
  newClient.stop();
  runners.forEach((runner) => {
    runner.stop();
  });
  return isKept;
});
