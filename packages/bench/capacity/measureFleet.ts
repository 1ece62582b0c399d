import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { runLoadProcesses } from "../entry/runLoadProcesses";
import { DaemonProcess } from "./DaemonProcess";
import { findFreePorts } from "@clementinemux/system/findFreePorts";

interface RoleUse {
  readonly role: string;
  readonly state: string;
  readonly processes: number;
  readonly meanCoreShare: number;
  readonly maxCoreShare: number;
  readonly meanResidentBytes: number;
  readonly maxResidentBytes: number;
  /** Bytes read and written, files included. */
  readonly meanBytesPerS: number;
  readonly maxBytesPerS: number;
}

const host = "127.0.0.1";
const controlCount = 5;
const entryCount = 16;
const engineCount = 16;
const serviceCount = 3;
const settleMs = 15_000;
const idleMs = 10_000;
const loadSeconds = 12;
// A team limit is divided among all entries, so the load is spread over all of them.
const loadedEntries = entryCount;
const requestsPerS = 20;
const tokens = 50;

/**
 * Runs today's deployment as processes and measures each daemon's resource usage idle and under light load.
 */
export async function measureFleet(programs: string): Promise<Readonly<Record<string, unknown>>> {
  const folder = mkdtempSync(join(tmpdir(), "clementinemux-capacity-fleet-"));
  const daemons: { readonly role: string; readonly daemon: DaemonProcess }[] = [];
  const run = (
    role: string,
    program: string,
    name: string,
    settings: Readonly<Record<string, unknown>>,
  ): void => {
    daemons.push({ role, daemon: new DaemonProcess(programs, program, name, settings) });
  };
  try {
    const getLocation = (index: number): object => ({
      host,
      failureDomain: `fd-${(index % 3) + 1}`,
      region: "local",
    });
    const relayPorts = await findPorts(controlCount);
    const relays = relayPorts.map((port) => `${host}:${port}`);
    for (const [index, port] of relayPorts.entries()) {
      const dataFolder = join(folder, `control-${index}`);
      const settings = {
        ...getLocation(index),
        name: `control-${index}`,
        port,
        dataFolder,
        replicas: relays,
        bootstrap: true,
      };
      run("control", "clementinemux-control", `control-${index}`, settings);
    }
    for (let index = 0; index < engineCount + serviceCount; index += 1) {
      const [port = 0, targetPort = 0] = await findPorts(2);
      const isEngine = index < engineCount;
      const engine = { host, port: targetPort, models: ["demo"], tokenIntervalMs: 18, firstTokenMs: 30 };
      run(
        "stand-in",
        isEngine ? "standin-engine" : "standin-service",
        `target-${index}`,
        isEngine ? engine : { host, port: targetPort },
      );
      const kind = isEngine ? { kind: "engine", models: ["demo"] } : { kind: "service", service: "orders" };
      const settings = {
        ...getLocation(index),
        ...kind,
        target: `runner-${index}`,
        port,
        targetAddress: `${host}:${targetPort}`,
        relays,
      };
      run("agent", "clementinemux-agent", `agent-${index}`, settings);
    }
    const entryPorts = await findPorts(entryCount);
    for (const [index, port] of entryPorts.entries()) {
      const settings = {
        ...getLocation(index),
        name: `entry-${index}`,
        port,
        relays,
        anonymousTeam: "bench",
      };
      run("entry", "clementinemux-entry", `entry-${index}`, settings);
    }
    await delay(settleMs);
    const rest = await measureRoles(daemons, "at rest", idleMs);
    const loads = entryPorts.slice(0, loadedEntries).map((port) =>
      runLoadProcesses({
        url: `http://${host}:${port}`,
        direct: false,
        requestsPerS: requestsPerS / loadedEntries,
        seconds: loadSeconds,
        tokens,
        processCount: 1,
      }),
    );
    await delay(2000);
    const light = await measureRoles(
      daemons,
      `${requestsPerS} requests/s of ${tokens} tokens over ${loadedEntries} entries`,
      8000,
    );
    const reports = await Promise.all(loads);
    const whole = reports.reduce((total, { wholeCount }) => total + wholeCount, 0);
    const sent = reports.reduce((total, { sentCount }) => total + sentCount, 0);
    const failures = reports.map((report) => report.failures);
    return { fleet: [...rest, ...light], requestsSent: sent, requestsWhole: whole, failures };
  } finally {
    await Promise.all(daemons.map(({ daemon }) => daemon.stop()));
    rmSync(folder, { recursive: true, force: true });
  }
}

async function measureRoles(
  daemons: readonly { readonly role: string; readonly daemon: DaemonProcess }[],
  state: string,
  durationMs: number,
): Promise<RoleUse[]> {
  const uses = await Promise.all(
    daemons.map(async ({ role, daemon }) => ({ role, ...(await daemon.measureResourceUsage(durationMs)) })),
  );
  return ["control", "entry", "agent"].map((role) => {
    const own = uses.filter((use) => use.role === role);
    const cores = own.map(({ coreShare }) => coreShare);
    const resident = own.map(({ residentBytes }) => residentBytes);
    const bytes = own.map(({ readBytesPerS, writtenBytesPerS }) => readBytesPerS + writtenBytesPerS);
    return {
      role,
      state,
      processes: own.length,
      meanCoreShare: getMean(cores),
      maxCoreShare: Math.max(...cores),
      meanResidentBytes: getMean(resident),
      maxResidentBytes: Math.max(...resident),
      meanBytesPerS: getMean(bytes),
      maxBytesPerS: Math.max(...bytes),
    };
  });
}

async function findPorts(count: number): Promise<number[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    ports.add((await findFreePorts(1))[0] ?? 0);
  }
  return [...ports];
}

function getMean(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0) / values.length;
}
