import { Agent, request as requestHttp } from "node:http";
import type { ClientRequest } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { fitLine } from "../fitLine";
import type { FleetStub } from "./FleetStub";
import type { Slope } from "./Slope";
import { runEntry } from "./runEntry";

type Points = { x: number; y: number }[];

const streamCounts = [100, 200, 400, 800] as const;
const tokenRates = [1000, 2000, 4000, 8000] as const;
const requestRates = [50, 100, 200, 400] as const;
const tokenIntervalMs = 20;
const measureMs = 4000;

/**
 * Measures the slopes of a loaded entry in a process of its own. Relay, agents and callers run in this
 * process.
 */
export async function measureEntryUnderLoad(programs: string): Promise<Slope[]> {
  const heap: Points = [];
  const tokens: Points = [];
  const requests: Points = [];
  await runEntry({ programs, targetCount: 10, entryCount: 1 }, async (entry, fleet, port) => {
    const callers = new Agent({ keepAlive: true });
    const open = (): ClientRequest => openStream(port, callers);
    const close = async (streams: readonly ClientRequest[]): Promise<void> => {
      streams.forEach((stream) => stream.destroy());
      await delay(500);
    };
    // The first round is a warm-up, so that the heap reaches its steady size.
    await close(await openStreams(800, open));
    for (const x of streamCounts) {
      const before = await entry.collectGarbage();
      const streams = await openStreams(x, open);
      heap.push({ x, y: (await entry.collectGarbage()) - before });
      await close(streams);
    }
    for (const x of tokenRates) {
      const streams = await openStreams((x * tokenIntervalMs) / 1000, open);
      const timer = setInterval(() => {
        fleet.sendTokens();
      }, tokenIntervalMs);
      await delay(1000);
      const sent = countTokens(fleet);
      const { coreShare } = await entry.measureResourceUsage(measureMs);
      // Uses the rate that was actually sent, since the timer may run late.
      tokens.push({ x: ((countTokens(fleet) - sent) * 1000) / measureMs, y: coreShare });
      clearInterval(timer);
      await close(streams);
    }
    fleet.endsAfterFirstToken = true;
    for (const x of requestRates) {
      const timer = setInterval(() => {
        for (let index = 0; index < x / 50; index += 1) {
          openStream(port, callers);
        }
      }, 20);
      await delay(1000);
      requests.push({ x, y: (await entry.measureResourceUsage(measureMs)).coreShare });
      clearInterval(timer);
      await delay(500);
    }
    callers.destroy();
  });
  return [
    toSlope("entry.openStreamBytes", "B/open stream", heap),
    toSlope("entry.tokenCore", "cores/(token/s)", tokens),
    toSlope("entry.requestCore", "cores/(request/s)", requests),
  ];
}

async function openStreams(count: number, open: () => ClientRequest): Promise<readonly ClientRequest[]> {
  const streams: ClientRequest[] = [];
  for (let index = 0; index < count; index += 1) {
    streams.push(open());
    if (index % 50 === 49) {
      await delay(50);
    }
  }
  await delay(1000);
  return streams;
}

function openStream(port: number, agent: Agent): ClientRequest {
  const request = requestHttp(
    { host: "127.0.0.1", port, method: "POST", path: "/v1/completions", agent },
    (response) => {
      if (response.statusCode !== 200) {
        process.stderr.write(`capacity: status ${response.statusCode ?? 0}\n`);
      }
      response.on("error", () => undefined);
      response.resume();
    },
  );
  request.on("error", () => undefined);
  request.end(
    JSON.stringify({
      model: "model-0",
      prompt: "a ".repeat(200),
      max_tokens: 500,
      stream: true,
      seed: 1,
    }),
  );
  return request;
}

function countTokens(fleet: FleetStub): number {
  return [...fleet.streams].reduce((total, { tokenCount }) => total + tokenCount, 0);
}

function toSlope(name: string, unit: string, points: Points): Slope {
  return { name, unit, points, ...fitLine(points) };
}
