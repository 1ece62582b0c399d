import { setTimeout as delay } from "node:timers/promises";
import { BenchFleet } from "./BenchFleet";
import type { EntryBenchReport } from "./EntryBenchReport";
import { runLoadProcesses } from "./runLoadProcesses";

interface Scale {
  readonly latencySeconds: number;
  readonly requestSeconds: number;
  readonly tokenSeconds: number;
  /** Rate of requests, of `tokensPerRequest` tokens each, in the token run. */
  readonly tokenRequestsPerS: number;
}

const engineCount = 4;
const loadProcessCount = 4;
const tokenIntervalMs = 18;
const latencyRequestsPerS = 50;
const shortRequestsPerS = 250;
const tokensPerRequest = 412;
const openStreamCount = 500;
const openStreamTokens = 200;

/**
 * Measures one entry process on this machine. Stand-in engines, their agents and the load generators run in
 * other processes, so only the entry's processor time counts.
 */
export async function runEntryBench(scale: Scale): Promise<EntryBenchReport> {
  const fleet = await BenchFleet.start({ engineCount, tokenIntervalMs, firstTokenMs: 10 });
  try {
    const viaEntry = { url: fleet.entryUrl, direct: false };
    const [engineUrl = ""] = fleet.engineUrls;
    const latencyLoad = { requestsPerS: latencyRequestsPerS, seconds: scale.latencySeconds, tokens: 20 };
    // Warm-up, not part of the results: opens the connections and lets the JIT compile the code.
    await runLoadProcesses({ ...viaEntry, ...latencyLoad, seconds: 2, processCount: 1 });
    const direct = await runLoadProcesses({ url: engineUrl, direct: true, ...latencyLoad, processCount: 1 });
    const latency = await runLoadProcesses({ ...viaEntry, ...latencyLoad, processCount: 1 });

    const shortLoad = { requestsPerS: shortRequestsPerS, seconds: scale.requestSeconds, tokens: 1 };
    const requestCpuMs = fleet.getEntryCpuMs();
    const requests = await runLoadProcesses({ ...viaEntry, ...shortLoad, processCount: loadProcessCount });
    const tokenCpuMs = fleet.getEntryCpuMs();
    const tokens = await runLoadProcesses({
      ...viaEntry,
      requestsPerS: scale.tokenRequestsPerS,
      seconds: scale.tokenSeconds,
      tokens: tokensPerRequest,
      processCount: loadProcessCount,
    });
    const endCpuMs = fleet.getEntryCpuMs();
    const bytesPerOpenStream = await measureStreamBytes(fleet);
    const reports = [direct, latency, requests, tokens];
    return {
      addedP50Ms: round(latency.firstTokenP50Ms - direct.firstTokenP50Ms),
      addedP99Ms: round(latency.firstTokenP99Ms - direct.firstTokenP99Ms),
      requestsPerSPerCore: Math.round((requests.wholeCount * 1000) / (tokenCpuMs - requestCpuMs)),
      tokensPerSPerCore: Math.round((tokens.tokenCount * 1000) / (endCpuMs - tokenCpuMs)),
      tokensPerS: Math.round((tokens.tokenCount * 1000) / tokens.durationMs),
      tokenGapP95Ms: tokens.tokenGapP95Ms,
      bytesPerOpenStream,
      wrongCount: reports.reduce((total, { wrongCount }) => total + wrongCount, 0),
      failures: Object.assign({}, ...reports.map(({ failures }) => failures)) as Record<string, number>,
    };
  } finally {
    fleet.stop();
  }
}

/**
 * Measures the growth of the entry's memory per open stream. The earlier runs let the process
 * reach its steady size; its heap does not shrink at once.
 */
async function measureStreamBytes(fleet: BenchFleet): Promise<number> {
  const beforeBytes = await fleet.collectEntryGarbage();
  const running = runLoadProcesses({
    url: fleet.entryUrl,
    direct: false,
    requestsPerS: openStreamCount,
    seconds: 1,
    tokens: openStreamTokens,
    processCount: 1,
  });
  await delay(2500);
  const bytes = (await fleet.collectEntryGarbage()) - beforeBytes;
  await running;
  return Math.round(bytes / openStreamCount);
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
