import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent as HttpAgent, createServer, request as requestHttp } from "node:http";
import type { ServerResponse } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { headerNames } from "@clementinemux/common/headerNames";
import { RelayService } from "@clementinemux/membership/RelayService";
import { RpcServer } from "@clementinemux/wire/RpcServer";

interface AgentStreamOptions {
  readonly eventsPerS: number;
  readonly streamCount: number;
  readonly durationMs: number;
  /**
   * True when all streams send at the same time, as with an engine that batches them. False spreads them
   * evenly.
   */
  readonly aligned: boolean;
  readonly flags: readonly string[];
  /** Folder of the bundled programs. */
  readonly programs: string;
}

interface AgentStreamResult {
  readonly eventsPerS: number;
  /** Processor time of the agent under load, as a share of one core. */
  readonly coreShare: number;
  /** The same without requests, when only heartbeats, lease renewals and polls run. */
  readonly idleCoreShare: number;
  readonly residentBytes: number;
}

const host = "127.0.0.1";
const ticksPerS = 100;
const warmUpMs = 2500;
const eventText = `data: ${JSON.stringify({ id: "bench", token_index: 1, choices: [{ index: 0, delta: { content: "token " } }] })}\n\n`;

/** Streams events through an agent process and reads its processor time and memory from /proc. */
export async function runAgentStreamBench(options: AgentStreamOptions): Promise<AgentStreamResult> {
  const folder = mkdtempSync(join(tmpdir(), "clementinemux-agent-bench-"));
  const control = new RpcServer({
    handlers: {
      ...new RelayService().handlers,
      renew: () => ({ epoch: 1, revision: 0, confirmed: true, leaseMs: 4000, changes: [], config: null }),
    },
  });
  const relayPort = await control.listen(host, 0);
  const streams = new Set<ServerResponse>();
  const engine = createServer((request, response) => {
    if (request.method === "GET") {
      response.end("{}");
      return;
    }
    request.resume();
    response.writeHead(200, { "content-type": "text/event-stream" });
    streams.add(response);
    response.on("close", () => streams.delete(response));
  });
  await new Promise<void>((resolve) => engine.listen(0, host, resolve));
  const port = (await findFreePorts(1))[0] ?? 0;
  const file = join(folder, "agent.jsonc");
  const targetAddress = `${host}:${getPort(engine.address())}`;
  const relays = [`${host}:${relayPort}`];
  const location = { host, port, failureDomain: "fd-1", region: "local" };
  writeFileSync(
    file,
    JSON.stringify({ ...location, target: "runner-1", kind: "engine", targetAddress, relays }),
  );
  const program = join(options.programs, "clementinemux-agent.mjs");
  const child = spawn(process.execPath, [...options.flags, program, "--settings", file], {
    // Drops the agent's logs on standard output, which is reserved for the results of the bench.
    stdio: ["ignore", "ignore", "inherit"],
  });
  const pid = child.pid ?? 0;
  try {
    await delay(warmUpMs);
    const idleCoreShare = await measureShare(pid, options.durationMs);
    let received = 0;
    const pool = new HttpAgent({ keepAlive: true });
    const stamp = await fetchStamp(port);
    for (let index = 0; index < options.streamCount; index += 1) {
      const headers = { [headerNames.stamp]: stamp, [headerNames.attemptId]: `bench.${index}` };
      const path = "/v1/completions";
      requestHttp({ host, port, method: "POST", path, agent: pool, headers }, (reply) => {
        reply.on("data", (chunk: Buffer) => {
          received += Math.round(chunk.length / eventText.length);
        });
        reply.on("error", () => undefined);
      })
        .on("error", () => undefined)
        .end("{}");
    }
    await delay(warmUpMs);
    const intervalMs = (1000 * options.streamCount) / options.eventsPerS;
    const timers: NodeJS.Timeout[] = [];
    if (options.aligned) {
      const sendAll = (): void => {
        for (const stream of streams) {
          stream.write(eventText);
        }
      };
      timers.push(setInterval(sendAll, intervalMs));
    } else {
      for (const [index, stream] of [...streams].entries()) {
        const offsetMs = (index * intervalMs) / options.streamCount;
        setTimeout(() => timers.push(setInterval(() => stream.write(eventText), intervalMs)), offsetMs);
      }
    }
    await delay(warmUpMs);
    const before = received;
    const coreShare = await measureShare(pid, options.durationMs);
    const eventsPerS = ((received - before) * 1000) / options.durationMs;
    const residentBytes = readResidentBytes(pid);
    for (const timer of timers) {
      clearInterval(timer);
    }
    pool.destroy();
    return { eventsPerS, coreShare, idleCoreShare, residentBytes };
  } finally {
    child.kill("SIGKILL");
    engine.closeAllConnections();
    engine.close();
    await control.close();
    rmSync(folder, { recursive: true });
  }
}

async function measureShare(pid: number, durationMs: number): Promise<number> {
  const before = readCpuTicks(pid);
  await delay(durationMs);
  return (readCpuTicks(pid) - before) / ticksPerS / (durationMs / 1000);
}

function readCpuTicks(pid: number): number {
  // User and system time are fields 14 and 15. The program name in parentheses may contain spaces.
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
  return Number(fields[11]) + Number(fields[12]);
}

function readResidentBytes(pid: number): number {
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
  return Number(match?.[1] ?? 0) * 1024;
}

function getPort(address: ReturnType<ReturnType<typeof createServer>["address"]>): number {
  return typeof address === "object" && address !== null ? address.port : 0;
}

async function fetchStamp(port: number): Promise<string> {
  const reply = await fetch(`http://${host}:${port}/agent/state`);
  return ((await reply.json()) as { stamp: string }).stamp;
}
