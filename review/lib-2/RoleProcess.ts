import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { closeSync, openSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const settingsPlace = "/etc/clementinemux/settings.toml";

/** One process of a role, started with the command of the deploy file. */
export class RoleProcess {
  readonly #args: readonly string[];
  readonly #program: string;
  readonly #logFile: string;
  #child: ChildProcess | null = null;

  constructor(role: string, name: string, folder: string, settings: object) {
    const settingsFile = join(folder, `${name}.jsonc`);
    writeFileSync(settingsFile, JSON.stringify({ name, ...settings }));
    const [program = "", ...args] = readCommand(role).split(" ");
    this.#program = program === "node" ? process.execPath : program;
    this.#args = args.map((arg) => (arg === settingsPlace ? settingsFile : arg));
    this.#logFile = join(folder, `${name}.log`);
  }

  start(): void {
    const log = openSync(this.#logFile, "a");
    this.#child = spawn(this.#program, this.#args, { stdio: ["ignore", log, log] });
    closeSync(log);
  }

  /** Sends a signal, and resolves once the process has exited. */
  async end(signal: NodeJS.Signals = "SIGKILL"): Promise<void> {
    const child = this.#child;
    if (child !== null && child.exitCode === null && child.signalCode === null) {
      const exited = once(child, "exit");
      child.kill(signal);
      await exited;
    }
  }
}

/** The line `run` of a role in the deploy file. */
function readCommand(role: string): string {
  const text = readFileSync("deploy/system.toml", "utf8");
  const section = text.split(`[roles.${role}]`)[1]?.split("\n[")[0] ?? "";
  const command = /^run = "(.*)"$/m.exec(section)?.[1];
  if (command === undefined) {
    throw new Error(`the deploy file has no command for role ${role}`);
  }
  return command;
}
