import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { closeSync, openSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

interface DaemonOptions {
  /** File name of the program in `programs`. */
  readonly program: string;
  readonly name: string;
  /** Text of the settings file. */
  readonly settings: string;
  /** Folder of the settings file and the log. */
  readonly folder: string;
  /** Folder of the built programs. */
  readonly programs: string;
  /** Flags of Node before the program; none by default. */
  readonly flags?: readonly string[];
}

interface ExitStatus {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/**
 * One process of a fleet, with files for its settings and its log. It can be restarted after it has exited.
 */
export class DaemonProcess {
  readonly name: string;
  readonly logFile: string;
  readonly settingsFile: string;
  readonly #options: DaemonOptions;
  /** Exits that no signal of ours had asked for. */
  readonly ownExits: ExitStatus[] = [];
  #child: ChildProcess | null = null;
  #isSignalled = false;
  #exited: Promise<ExitStatus> = Promise.resolve({ code: null, signal: null });

  constructor(options: DaemonOptions) {
    this.#options = options;
    this.name = options.name;
    this.logFile = join(options.folder, `${options.name}.log`);
    this.settingsFile = join(options.folder, `${options.name}.jsonc`);
    writeFileSync(this.settingsFile, options.settings);
  }

  /** Another process with the same settings, which has its own log. */
  createCopy(name: string): DaemonProcess {
    return new DaemonProcess({ ...this.#options, name });
  }

  readLog(): string {
    return readFileSync(this.logFile, "utf8");
  }

  get isRunning(): boolean {
    return this.#child !== null;
  }

  start(): void {
    const { programs, program, flags = [] } = this.#options;
    const log = openSync(this.logFile, "a");
    const args = [...flags, join(programs, program), "--settings", this.settingsFile];
    const child = spawn(process.execPath, args, {
      stdio: ["ignore", log, log],
      env: { ...process.env, ROARR_LOG: "true" },
    });
    closeSync(log);
    this.#child = child;
    this.#isSignalled = false;
    this.#exited = new Promise((resolve) => {
      const onExit = (code: number | null, signal: NodeJS.Signals | null): void => {
        this.#child = null;
        if (!this.#isSignalled) {
          this.ownExits.push({ code, signal });
        }
        resolve({ code, signal });
      };
      child.once("error", () => {
        onExit(null, null);
      });
      child.once("exit", onExit);
    });
  }

  signal(signal: NodeJS.Signals): void {
    this.#isSignalled ||= ["SIGKILL", "SIGTERM", "SIGINT"].includes(signal);
    this.#child?.kill(signal);
  }

  /** Resolves when the process has exited; at once when it is not running. */
  waitForExit(): Promise<ExitStatus> {
    return this.#exited;
  }

  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
  }
}
