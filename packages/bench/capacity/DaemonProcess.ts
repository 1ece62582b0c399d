import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";

interface ResourceUsage {
  /** Processor time as a share of one core. */
  readonly coreShare: number;
  /** Bytes that the process read through system calls, from files as well as sockets. */
  readonly readBytesPerS: number;
  readonly writtenBytesPerS: number;
  readonly residentBytes: number;
}

const ticksPerS = 100;
const bytesPerKib = 1024;

const running = new Set<ChildProcess>();
// Ends the child processes when a bench exits early.
process.once("exit", () => {
  for (const child of running) {
    child.kill("SIGKILL");
  }
});

/** Runs a daemon as a child process and reads its resource usage from /proc. */
export class DaemonProcess {
  readonly name: string;
  readonly #child: ChildProcess;
  readonly #folder: string;

  constructor(
    programs: string,
    program: string,
    name: string,
    settings: Readonly<Record<string, unknown>>,
    flags: readonly string[] = [],
  ) {
    this.name = name;
    this.#folder = mkdtempSync(join(tmpdir(), "clementinemux-capacity-"));
    const file = join(this.#folder, `${name}.jsonc`);
    writeFileSync(file, JSON.stringify(settings));
    this.#child = spawn(process.execPath, [...flags, join(programs, `${program}.mjs`), "--settings", file], {
      stdio: ["ignore", "ignore", "inherit", "ipc"],
    });
    running.add(this.#child);
  }

  /** Measures the resource usage over a period. */
  async measureResourceUsage(durationMs: number): Promise<ResourceUsage> {
    const before = this.#read();
    const startMs = performance.now();
    await delay(durationMs);
    const seconds = (performance.now() - startMs) / 1000;
    const after = this.#read();
    return {
      coreShare: (after.cpuS - before.cpuS) / seconds,
      readBytesPerS: (after.readBytes - before.readBytes) / seconds,
      writtenBytesPerS: (after.writtenBytes - before.writtenBytes) / seconds,
      residentBytes: after.residentBytes,
    };
  }

  /**
   * Returns the bytes of heap and buffers after a garbage collection. Only for programs that handle the
   * `collect` message, such as bin/bench-entry-process.ts.
   */
  async collectGarbage(): Promise<number> {
    return new Promise((resolve) => {
      this.#child.once("message", (bytes) => {
        resolve(Number(bytes));
      });
      this.#child.send("collect");
    });
  }

  async stop(): Promise<void> {
    const closed = new Promise((resolve) => this.#child.once("close", resolve));
    this.#child.kill("SIGKILL");
    await closed;
    running.delete(this.#child);
    rmSync(this.#folder, { recursive: true, force: true });
  }

  #read(): { cpuS: number; readBytes: number; writtenBytes: number; residentBytes: number } {
    const folder = `/proc/${this.#child.pid ?? 0}`;
    const stat = readFileSync(`${folder}/stat`, "utf8");
    // User and system time are fields 14 and 15. The program name in parentheses may contain spaces.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const io = readFileSync(`${folder}/io`, "utf8");
    const status = readFileSync(`${folder}/status`, "utf8");
    const find = (text: string, pattern: RegExp): number => Number(pattern.exec(text)?.[1] ?? 0);
    return {
      cpuS: (Number(fields[11]) + Number(fields[12])) / ticksPerS,
      readBytes: find(io, /^rchar: (\d+)$/m),
      writtenBytes: find(io, /^wchar: (\d+)$/m),
      residentBytes: find(status, /^VmRSS:\s+(\d+) kB$/m) * bytesPerKib,
    };
  }
}
