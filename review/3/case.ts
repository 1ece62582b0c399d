import { setTimeout as delay } from "node:timers/promises";
import { Runner } from "../lib/Runner";
import { callApi } from "../lib/callApi";
import { createConfig } from "../lib/createConfig";
import { playLoss } from "../lib/playLoss";
import { runCase } from "../lib/runCase";

/** The id of the odd entry is one byte that cannot be read: a line feed. */
const oddPath = "/instances/%0A";
/** No process listens there. */
const oddAddress = "127.0.0.99:9";
const runnerIds: readonly string[] = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"];

const heartbeats = 2;
/** An entry without a further heartbeat expires sooner. */
const heartbeatIntervalMs = 6000;

/** Another writer sends a heartbeat whose id cannot be read, to one coordinator after the other until one answers 200. */
async function sendOddHeartbeat(
  control: readonly { host: string; port: number }[],
  seq: number,
): Promise<number | null> {
  const entry = { service: "stock", address: oddAddress, zone: "edge-1", version: "v1", slots: 6 };
  const beat = JSON.stringify({ ...entry, state: "ready", cold_left_ms: 0, seq, born: 1 });
  let status: number | null = null;
  for (const address of control) {
    status = (await callApi(address, "PUT", oddPath, beat))?.status ?? null;
    if (status === 200) {
      break;
    }
  }
  return status;
}

await runCase(async ({ fleet, recorder, hasTrouble }) => {
  const place = { service: "stock", workMs: 300, control: fleet.controlAddresses, recorder };
  const runners = runnerIds.map((id) => new Runner({ id, ...place }));
  await fleet.configure(createConfig(1));
  await Promise.all(runners.map((runner) => runner.start()));
  await fleet.waitUntilReady();
  const disturb = async (): Promise<void> => {
    for (let seq = 1; hasTrouble && seq <= heartbeats; seq += 1) {
      const status = await sendOddHeartbeat(fleet.controlAddresses, seq);
      recorder.note(`another writer's heartbeat, PUT ${oddPath}: ${status ?? "no answer"}`);
      await delay(heartbeatIntervalMs);
    }
  };
  const isKept = await playLoss({ fleet, recorder, soundRunners: runners, disturb });
  runners.forEach((runner) => {
    runner.stop();
  });
  return isKept;
});
