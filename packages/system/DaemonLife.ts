import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { closeSync, fstatSync, openSync, statSync } from "node:fs";
import { findExitFault } from "./findExitFault";

interface ExitStatus {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

interface DaemonLifeOptions {
  readonly args: readonly string[];
  readonly logFile: string;
  /** Called after the exit, with why no signal has asked for it; null when one has. */
  readonly onExit: (fault: string | null) => void;
}

/** One run of a program, from its start to its exit, with the signals that it was sent. */
export class DaemonLife {
  /** Resolves when the process has exited. */
  readonly exited: Promise<ExitStatus>;
  isRunning = true;
  /** Whether it was sent any signal. */
  isSignalled = false;
  readonly #child: ChildProcess;
  readonly #logFile: string;
  readonly #firstLogByte: number;
  #isKilled = false;
  #hasLoggedAtStop = false;
  #stopAtMs: number | null = null;
  #suspendedAtMs: number | null = null;

  constructor({ args, logFile, onExit }: DaemonLifeOptions) {
    const log = openSync(logFile, "a");
    this.#logFile = logFile;
    this.#firstLogByte = fstatSync(log).size;
    this.#child = spawn(process.execPath, args, {
      stdio: ["ignore", log, log],
      env: { ...process.env, ROARR_LOG: "true" },
    });
    closeSync(log);
    this.exited = new Promise((resolve) => {
      const end = (code: number | null, signal: NodeJS.Signals | null): void => {
        this.isRunning = false;
        this.#resume();
        const stoppingMs = this.#stopAtMs === null ? null : performance.now() - this.#stopAtMs;
        const isKilled = this.#isKilled;
        onExit(findExitFault({ code, signal, isKilled, stoppingMs, hasLogged: this.#hasLoggedAtStop }));
        resolve({ code, signal });
      };
      this.#child.once("error", () => {
        end(null, null);
      });
      this.#child.once("exit", end);
    });
  }

  /** Id of the process; null if it could not be started. */
  get pid(): number | null {
    return this.#child.pid ?? null;
  }

  /** Whether it has written to its log; always for a log that keeps nothing. */
  get hasLogged(): boolean {
    const log = statSync(this.#logFile);
    return !log.isFile() || log.size > this.#firstLogByte;
  }

  signal(signal: NodeJS.Signals): void {
    this.isSignalled = true;
    this.#isKilled ||= signal === "SIGKILL";
    if (signal === "SIGSTOP") {
      this.#suspendedAtMs ??= performance.now();
    } else if (signal === "SIGCONT") {
      this.#resume();
    } else if ((signal === "SIGTERM" || signal === "SIGINT") && this.#stopAtMs === null) {
      this.#stopAtMs = performance.now();
      this.#hasLoggedAtStop = this.hasLogged;
    }
    this.#child.kill(signal);
  }

  #resume(): void {
    const nowMs = performance.now();
    if (this.#stopAtMs !== null && this.#suspendedAtMs !== null) {
      this.#stopAtMs += nowMs - Math.max(this.#stopAtMs, this.#suspendedAtMs);
    }
    this.#suspendedAtMs = null;
  }
}
