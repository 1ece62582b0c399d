import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { findFreePorts } from "@clementinemux/system/findFreePorts";

interface RssRow {
  readonly daemon: string;
  readonly flags: readonly string[];
  /** Resident memory after `settleMs` without requests; 0 when the process has exited. */
  readonly residentBytes: number;
}

interface Program {
  readonly daemon: string;
  readonly flags: readonly string[];
  readonly settings: Readonly<Record<string, unknown>> | null;
}

const settleMs = 4000;
const bytesPerKib = 1024;

/** Starts each daemon from this program's folder, leaves it idle and reads its resident memory from /proc. */
export async function measureRss(): Promise<RssRow[]> {
  const folder = mkdtempSync(join(tmpdir(), "clementinemux-rss-"));
  try {
    const controlPort = (await findFreePorts(1))[0] ?? 0;
    const rows: RssRow[] = [];
    for (const program of await listPrograms(controlPort, folder)) {
      rows.push(await measure(program, folder));
    }
    return rows;
  } finally {
    rmSync(folder, { recursive: true });
  }
}

async function listPrograms(controlPort: number, folder: string): Promise<Program[]> {
  const location = { host: "127.0.0.1", failureDomain: "fd-1", region: "local" };
  const relays = [`127.0.0.1:${controlPort}`];
  const agent = {
    ...location,
    target: "runner-1",
    kind: "engine",
    models: ["demo"],
    targetAddress: "127.0.0.1:1",
    relays,
  };
  const control = {
    ...location,
    name: "control-1",
    port: controlPort,
    dataFolder: join(folder, "control-1"),
    replicas: relays,
    bootstrap: true,
  };
  const entry = { ...location, name: "entry-1", port: (await findFreePorts(1))[0] ?? 0, relays };
  // Additional settings can be given in a file, as {daemon: {field: value}}.
  const extra = readExtra(process.env.CLEMENTINEMUX_RSS_SETTINGS);
  const small = ["--max-semi-space-size=1", "--max-old-space-size=48"];
  return [
    { daemon: "node", flags: [], settings: null },
    {
      daemon: "clementinemux-agent",
      flags: [],
      settings: { ...agent, port: (await findFreePorts(1))[0] ?? 0 },
    },
    {
      daemon: "clementinemux-agent",
      flags: small,
      settings: { ...agent, port: (await findFreePorts(1))[0] ?? 0 },
    },
    {
      daemon: "clementinemux-control",
      flags: [],
      settings: { ...control, ...extra["clementinemux-control"] },
    },
    { daemon: "clementinemux-entry", flags: [], settings: { ...entry, ...extra["clementinemux-entry"] } },
  ];
}

function readExtra(file: string | undefined): Readonly<Record<string, Record<string, unknown>>> {
  return file === undefined
    ? {}
    : (JSON.parse(readFileSync(file, "utf8")) as Record<string, Record<string, unknown>>);
}

async function measure({ daemon, flags, settings }: Program, folder: string): Promise<RssRow> {
  const args = [...flags];
  if (settings === null) {
    args.push("--eval", "setInterval(() => undefined, 1000)");
  } else {
    const file = join(folder, `${daemon}.jsonc`);
    writeFileSync(file, JSON.stringify(settings));
    args.push(new URL(`${daemon}.mjs`, import.meta.url).pathname, "--settings", file);
  }
  const child = spawn(process.execPath, args, { stdio: ["ignore", "ignore", "inherit"] });
  const ended = new Promise<void>((resolve) => child.once("exit", resolve));
  await delay(settleMs);
  const residentBytes = child.exitCode === null ? readResidentBytes(child.pid ?? 0) : 0;
  child.kill("SIGKILL");
  await ended;
  return { daemon, flags, residentBytes };
}

function readResidentBytes(pid: number): number {
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
  return Number(match?.[1] ?? 0) * bytesPerKib;
}
