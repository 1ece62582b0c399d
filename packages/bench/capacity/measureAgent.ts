import { Agent, request as requestHttp } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { runAgentStreamBench } from "../agent/runAgentStreamBench";
import { fitLine } from "../fitLine";
import { DaemonProcess } from "./DaemonProcess";
import { FleetStub } from "./FleetStub";
import type { Slope } from "./Slope";
import { findFreePorts } from "@clementinemux/system/findFreePorts";

type Points = { x: number; y: number }[];

const eventRates = [75, 150, 300, 600] as const;
const pollRates = [20, 40, 80, 160] as const;
const requestRates = [10, 20, 40, 80] as const;
const measureMs = 5000;
const startMs = 3000;

/** Measures the slopes of an agent in a process of its own. */
export async function measureAgent(programs: string): Promise<Slope[]> {
  const events: Points = [];
  const aligned: Points = [];
  const resident: Points = [];
  for (const eventsPerS of eventRates) {
    const options = { programs, eventsPerS, streamCount: 10, durationMs: measureMs, flags: [] };
    const even = await runAgentStreamBench({ ...options, aligned: false });
    events.push({ x: even.eventsPerS, y: even.coreShare });
    resident.push({ x: even.eventsPerS, y: even.residentBytes });
    const together = await runAgentStreamBench({ ...options, aligned: true });
    aligned.push({ x: together.eventsPerS, y: together.coreShare });
  }
  return [
    toSlope("agent.evenEventCore", "cores/(event/s), evenly spread over 10 streams", events),
    toSlope("agent.alignedEventCore", "cores/(event/s), 10 streams in step", aligned),
    toSlope("agent.residentBytes", "B/(event/s)", resident),
    ...(await measureCalls(programs)),
  ];
}

async function measureCalls(programs: string): Promise<Slope[]> {
  const polls: Points = [];
  const pollBytes: Points = [];
  const requests: Points = [];
  const fleet = new FleetStub();
  await fleet.start();
  fleet.endsAfterFirstToken = true;
  const port = (await findFreePorts(1))[0] ?? 0;
  const agent = new DaemonProcess(programs, "clementinemux-agent", "agent-1", {
    target: "runner-1",
    port,
    failureDomain: "fd-1",
    region: "region-1",
    kind: "engine",
    models: ["model-0"],
    targetAddress: `127.0.0.1:${fleet.agentPort}`,
    relays: [`127.0.0.1:${fleet.relayPort}`],
  });
  const pool = new Agent({ keepAlive: true });
  try {
    await delay(startMs);
    const idle = await agent.measureResourceUsage(measureMs);
    polls.push({ x: 0, y: idle.coreShare });
    pollBytes.push({ x: 0, y: idle.readBytesPerS + idle.writtenBytesPerS });
    for (const x of pollRates) {
      const use = await runAtRate(x, agent, () => {
        call(port, pool, "GET", "/agent/state");
      });
      polls.push({ x, y: use.coreShare });
      pollBytes.push({ x, y: use.readBytesPerS + use.writtenBytesPerS });
    }
    const reply = (await (await fetch(`http://127.0.0.1:${port}/agent/state`)).json()) as { stamp: string };
    let { stamp } = reply;
    const refresh = setInterval(() => {
      void fetch(`http://127.0.0.1:${port}/agent/state`)
        .then((response) => response.json())
        .then((state) => {
          ({ stamp } = state as { stamp: string });
        });
    }, 500);
    let attempts = 0;
    for (const x of requestRates) {
      const use = await runAtRate(x, agent, () => {
        const headers = { "clementinemux-stamp": stamp, "clementinemux-attempt": `attempt.${attempts}` };
        attempts += 1;
        call(port, pool, "POST", "/v1/completions", headers);
      });
      requests.push({ x, y: use.coreShare });
    }
    clearInterval(refresh);
  } finally {
    pool.destroy();
    await agent.stop();
    await fleet.stop();
  }
  return [
    toSlope("agent.pollCore", "cores/(poll/s)", polls),
    toSlope("agent.pollBytes", "B/poll", pollBytes),
    toSlope("agent.requestCore", "cores/(request/s) of one event", requests),
  ];
}

async function runAtRate(
  perS: number,
  agent: DaemonProcess,
  act: () => void,
): ReturnType<DaemonProcess["measureResourceUsage"]> {
  const timer = setInterval(act, 1000 / perS);
  await delay(500);
  const use = await agent.measureResourceUsage(measureMs);
  clearInterval(timer);
  return use;
}

function call(
  port: number,
  agent: Agent,
  method: string,
  path: string,
  headers: Readonly<Record<string, string>> = {},
): void {
  const request = requestHttp({ host: "127.0.0.1", port, method, path, agent, headers }, (response) => {
    if (response.statusCode !== 200) {
      process.stderr.write(`capacity: status ${response.statusCode ?? 0} of ${path}\n`);
    }
    response.resume();
  });
  request.on("error", () => undefined);
  request.end(method === "POST" ? "{}" : undefined);
}

function toSlope(name: string, unit: string, points: Points): Slope {
  return { name, unit, points, ...fitLine(points) };
}
