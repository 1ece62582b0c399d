import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { closeSync, openSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { Recorder } from "./Recorder";

interface ProgramOptions {
  /** Role in the deploy file, whose command is used. */
  readonly role: "gateway" | "coordinator";
  readonly name: string;
  /** Folder of the settings file and the log. */
  readonly folder: string;
  readonly recorder: Recorder;
}

/** The platform starts a process that has ended by itself again after this time. */
const restartDelayMs = 200;

/** One process of the system, started with the command of the deploy file. */
export class Program {
  readonly name: string;
  readonly #options: ProgramOptions;
  readonly #settingsFile: string;
  #child: ChildProcess | null = null;
  #exited: Promise<void> = Promise.resolve();
  #isStopping = false;
  /** How often the process has ended without a signal of the case. */
  ownExits = 0;

  constructor(options: ProgramOptions) {
    this.#options = options;
    this.name = options.name;
    this.#settingsFile = join(options.folder, `${options.name}.settings`);
  }

  get pid(): number | null {
    return this.#child?.pid ?? null;
  }

  start(settings: object): void {
    const { role, folder, recorder } = this.#options;
    writeFileSync(this.#settingsFile, JSON.stringify(settings));
    const log = openSync(join(folder, `${this.name}.log`), "a");
    const [, ...words] = readCommand(role);
    const args = words.map((word) => (word.startsWith("/etc/") ? this.#settingsFile : word));
    const child = spawn(process.execPath, args, { stdio: ["ignore", log, log], env: { ...process.env } });
    closeSync(log);
    this.#child = child;
    this.#isStopping = false;
    recorder.note(`${this.name}: started`);
    this.#exited = new Promise((resolve) => {
      child.once("exit", (code, signal) => {
        this.#child = null;
        recorder.note(`${this.name}: ended, code ${code ?? "none"}, signal ${signal ?? "none"}`);
        if (!this.#isStopping) {
          this.ownExits += 1;
          setTimeout(() => {
            if (!this.#isStopping) {
              this.start({ ...settings, isBootstrap: false });
            }
          }, restartDelayMs);
        }
        resolve();
      });
    });
  }

  signal(signal: NodeJS.Signals): void {
    this.#isStopping = true;
    this.#options.recorder.note(`${this.name}: ${signal}`);
    this.#child?.kill(signal);
  }

  /** Resolves when the process has ended. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
  }
}

/** Words of the command of a role in the deploy file. */
function readCommand(role: string): string[] {
  const text = readFileSync("deploy/system.toml", "utf8");
  const section = text.split(`[roles.${role}]`)[1] ?? "";
  return (/^run = "(.*)"$/m.exec(section)?.[1] ?? "").split(" ");
}
