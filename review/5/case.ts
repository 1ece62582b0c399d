import { setTimeout as delay } from "node:timers/promises";
import { Client } from "../lib/Client";
import { Runner } from "../lib/Runner";
import { callApi } from "../lib/callApi";
import { createConfig } from "../lib/createConfig";
import { runCase } from "../lib/runCase";

/** Bounds of the sites. */
const contactMs = 3000;
const drainMs = 2000;
/** How late the last heartbeat of the leaving runner arrives. */
const heartbeatDelayMs = 5500;
const killAfterMs = 500;
/** The processes of the core are back within a second. */
const restartAfterMs = 700;
const watchedMs = 4000;
const clientsPerGateway = 3;

await runCase(async ({ fleet, recorder, hasTrouble }) => {
  const place = { service: "stock", workMs: 50, control: fleet.controlAddresses, recorder };
  const staying = ["i-1", "i-2"].map((id) => new Runner({ id, ...place }));
  const leaving = new Runner({ id: "i-3", ...place });
  const runners = [...staying, leaving];
  await fleet.configure(createConfig(1));
  await Promise.all(runners.map((runner) => runner.start()));
  await fleet.waitUntilReady();
  const clients = fleet.callerAddresses.flatMap((gateway, at) =>
    Array.from({ length: clientsPerGateway }, (_, index) => {
      const name = `gateway-${at + 1}-client-${index + 1}`;
      return new Client({ name, gateway, path: "/lookup/a", key: "key-a", deadlineMs: 4000, recorder });
    }),
  );
  const ended = clients.map((client) => client.run());
  await delay(contactMs + 2000);

  // The runner leaves without a word: it unregisters first, and serves on for many seconds.
  leaving.stopHeartbeats();
  const lateHeartbeat = leaving.createHeartbeat();
  const lateAtMs = recorder.nowMs + heartbeatDelayMs;
  recorder.note("i-3: its last heartbeat is on its way, and is delayed");
  if (!(await leaving.callControl("DELETE"))) {
    throw new Error("the runner could not unregister");
  }
  const goneAtMs = recorder.nowMs;
  await delay(killAfterMs);
  if (hasTrouble) {
    await Promise.all(fleet.machines.map(({ coordinator }) => coordinator.kill()));
    await delay(restartAfterMs);
    for (const machine of fleet.machines) {
      fleet.startCoordinator(machine, false);
    }
  }
  // The core is stable from `contactMs` after its start on, and all machines are in touch.
  const inTouchAtMs = recorder.nowMs + contactMs;
  await delay(lateAtMs - recorder.nowMs);
  for (const address of fleet.controlAddresses) {
    const answer = await callApi(address, "PUT", "/instances/i-3", lateHeartbeat);
    recorder.note(`i-3: its late heartbeat arrives at ${address.host}: ${answer?.status ?? "no answer"}`);
    if (answer?.status === 200) {
      break;
    }
  }
  await delay(watchedMs);
  for (const client of clients) {
    client.stop();
  }
  await Promise.all(ended);
  runners.forEach((runner) => {
    runner.stop();
  });
  const fromMs = Math.max(goneAtMs + drainMs, inTouchAtMs);
  const sentAtMs = new Map(
    clients.flatMap(({ outcomes }) => outcomes.map((item) => [item.request, item.sentAtMs])),
  );
  const late = leaving.runs.filter(({ atMs, request }) => {
    return atMs > goneAtMs + drainMs && (sentAtMs.get(request) ?? 0) > fromMs;
  });
  recorder.note(
    `i-3 left at ${goneAtMs.toFixed(0)} ms; machines are in touch from ${inTouchAtMs.toFixed(0)} ms on`,
  );
  recorder.note(`requests that reached i-3 over ${drainMs} ms after it had left: ${late.length}`);
  return late.length === 0;
});
