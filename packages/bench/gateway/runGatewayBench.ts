import { request } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { DaemonProcess } from "../capacity/DaemonProcess";
import { GatewayStub } from "./GatewayStub";

interface GatewayRun {
  readonly hasLogs: boolean;
  readonly maxHoldMs: number;
}

interface GatewayMeasurement extends GatewayRun {
  /** Processor time as a share of one core, at the load of the run. */
  readonly coreShare: number;
  readonly cpuMicrosPerEvent: number;
  readonly residentMb: number;
  readonly whole: number;
  readonly failed: number;
}

const host = "127.0.0.1";
const runs: readonly GatewayRun[] = [
  { hasLogs: false, maxHoldMs: 0 },
  { hasLogs: true, maxHoldMs: 0 },
  { hasLogs: false, maxHoldMs: 80 },
  { hasLogs: true, maxHoldMs: 80 },
];
const requestsPerS = 60;
const eventsPerStream = 24;
const eventGapMs = 60;
/** Load before the measurement starts, so that the number of open streams is constant. */
const warmUpMs = 3000;
const bytesPerMb = 1_048_576;

/**
 * Measures a gateway's processor time under a constant load of streams, with and without logs and event
 * buffering.
 */
export async function runGatewayBench(programs: string, seconds: number): Promise<object> {
  const results: GatewayMeasurement[] = [];
  for (const run of runs) {
    results.push(await measure(programs, seconds, run));
  }
  return { requestsPerS, eventsPerStream, eventGapMs, results };
}

async function measure(programs: string, seconds: number, run: GatewayRun): Promise<GatewayMeasurement> {
  const stub = new GatewayStub(eventsPerStream, eventGapMs);
  const coordinatorPort = await stub.start();
  const [callerPort = 0, readyPort = 0] = await findFreePorts(2);
  const settings = { host, callerPort, readyPort, coordinatorPort, maxHoldMs: run.maxHoldMs };
  const logsBefore = process.env.ROARR_LOG;
  process.env.ROARR_LOG = String(run.hasLogs);
  const gateway = new DaemonProcess(programs, "bench-gateway-process", "gateway-1", settings);
  process.env.ROARR_LOG = logsBefore ?? "true";
  try {
    await waitUntil("a ready gateway", async () =>
      (await fetch(`http://${host}:${readyPort}/ready`)).ok ? true : null,
    );
    const durationMs = seconds * 1000;
    const load = sendLoad(callerPort, warmUpMs + durationMs);
    await delay(warmUpMs);
    const { coreShare, residentBytes } = await gateway.measureResourceUsage(durationMs);
    const { whole, failed } = await load;
    return {
      ...run,
      coreShare: round(coreShare),
      cpuMicrosPerEvent: round((coreShare * 1e6) / (requestsPerS * eventsPerStream)),
      residentMb: Math.round(residentBytes / bytesPerMb),
      whole,
      failed,
    };
  } finally {
    await gateway.stop();
    await stub.stop();
  }
}

/** Sends requests at a constant rate and waits for all responses. */
async function sendLoad(port: number, durationMs: number): Promise<{ whole: number; failed: number }> {
  const responses: Promise<boolean>[] = [];
  const startedAtMs = performance.now();
  for (let sent = 0; performance.now() - startedAtMs < durationMs; sent += 1) {
    responses.push(send(port, `b-${sent}`));
    await delay(Math.max(0, startedAtMs + ((sent + 1) * 1000) / requestsPerS - performance.now()));
  }
  const ended = await Promise.all(responses);
  const whole = ended.filter((isComplete) => isComplete).length;
  return { whole, failed: ended.length - whole };
}

function send(port: number, id: string): Promise<boolean> {
  return new Promise((resolve) => {
    const sent = request({ host, port, method: "POST", headers: { host: "bench", "x-request-id": id } });
    sent.on("response", (response) => {
      let events = 0;
      response.on("data", (chunk: Buffer) => (events += chunk.toString().split("\n\n").length - 1));
      response.on("end", () => {
        resolve(events === eventsPerStream);
      });
      response.on("error", () => {
        resolve(false);
      });
    });
    sent.on("error", () => {
      resolve(false);
    });
    sent.end("x");
  });
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
