import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { request as requestHttp } from "undici";

interface BenchFleetOptions {
  readonly engineCount: number;
  readonly tokenIntervalMs: number;
  readonly firstTokenMs: number;
}

const host = "127.0.0.1";
const readyDeadlineMs = 15_000;
const clockTicksPerS = 100;

/** Child processes of the bench: control, stand-in engines with their agents, and one entry. */
export class BenchFleet {
  readonly entryUrl: string;
  readonly engineUrls: readonly string[];
  readonly #folder: string;
  readonly #children: readonly ChildProcess[];
  readonly #entry: ChildProcess;

  private constructor(
    entryUrl: string,
    engineUrls: readonly string[],
    folder: string,
    children: readonly ChildProcess[],
    entry: ChildProcess,
  ) {
    this.entryUrl = entryUrl;
    this.engineUrls = engineUrls;
    this.#folder = folder;
    this.#children = children;
    this.#entry = entry;
  }

  static async start(options: BenchFleetOptions): Promise<BenchFleet> {
    const folder = mkdtempSync(join(tmpdir(), "clementinemux-bench-"));
    const ports = await findFreePorts(options.engineCount * 2 + 2);
    const takePort = (): number => ports.pop() ?? 0;
    const children: ChildProcess[] = [];
    const run = (
      program: string,
      name: string,
      settings: Readonly<Record<string, unknown>>,
    ): ChildProcess => {
      const file = join(folder, `${name}.jsonc`);
      writeFileSync(file, JSON.stringify(settings));
      const programs = new URL(".", import.meta.url).pathname.replace(/chunks\/$/, "");
      const child = spawn(
        process.execPath,
        ["--expose-gc", join(programs, `${program}.mjs`), "--settings", file],
        {
          stdio: ["ignore", "ignore", "inherit", "ipc"],
        },
      );
      children.push(child);
      return child;
    };
    const location = { host, failureDomain: "fd-1", region: "local" };
    const controlPort = takePort();
    const relays = [`${host}:${controlPort}`];
    run("clementinemux-control", "control-1", {
      ...{ ...location, name: "control-1", port: controlPort, replicas: relays, bootstrap: true },
      dataFolder: join(folder, "control-1"),
    });
    const engineUrls: string[] = [];
    for (let index = 0; index < options.engineCount; index += 1) {
      const { tokenIntervalMs, firstTokenMs } = options;
      const enginePort = takePort();
      const batchLimitCount = 4096;
      const engine = {
        host,
        port: enginePort,
        models: ["demo"],
        tokenIntervalMs,
        firstTokenMs,
        batchLimitCount,
      };
      run("standin-engine", `engine-${index}`, engine);
      engineUrls.push(`http://${host}:${enginePort}`);
      run("clementinemux-agent", `agent-${index}`, {
        ...location,
        target: `runner-${index}`,
        port: takePort(),
        kind: "engine",
        models: ["demo"],
        targetAddress: `${host}:${enginePort}`,
        relays,
      });
    }
    const port = takePort();
    const entry = run("bench-entry-process", "entry-1", {
      ...location,
      name: "entry-1",
      port,
      relays,
      anonymousTeam: "bench",
    });
    const fleet = new BenchFleet(`http://${host}:${port}`, engineUrls, folder, children, entry);
    await fleet.#waitUntilReady();
    return fleet;
  }

  /** Processor time that the entry's process has used since its start. */
  getEntryCpuMs(): number {
    const text = readFileSync(`/proc/${this.#entry.pid ?? 0}/stat`, "utf8");
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    return ((Number(fields[11]) + Number(fields[12])) * 1000) / clockTicksPerS;
  }

  /** Runs a full garbage collection in the entry and returns the bytes in use by its heap and buffers. */
  async collectEntryGarbage(): Promise<number> {
    return new Promise((resolve) => {
      this.#entry.once("message", (bytes) => {
        resolve(Number(bytes));
      });
      this.#entry.send("collect");
    });
  }

  stop(): void {
    for (const child of this.#children) {
      child.kill("SIGKILL");
    }
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #waitUntilReady(): Promise<void> {
    const deadlineAtMs = Date.now() + readyDeadlineMs;
    const body = JSON.stringify({ model: "demo", prompt: "ready", max_tokens: 1, seed: 1 });
    for (;;) {
      try {
        const response = await requestHttp(`${this.entryUrl}/v1/completions`, { method: "POST", body });
        await response.body.dump();
        if (response.statusCode === 200) {
          // The entry discovers the remaining agents at its next poll.
          await delay(1500);
          return;
        }
      } catch {
        // Not listening yet.
      }
      if (Date.now() > deadlineAtMs) {
        this.stop();
        throw new Error("bench fleet did not become ready in time");
      }
      await delay(100);
    }
  }
}
