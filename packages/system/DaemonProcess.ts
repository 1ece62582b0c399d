import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { DaemonLife } from "./DaemonLife";

interface OwnExit {
  readonly fault: string;
  /** Time of the exit, on the clock of `performance`. */
  readonly atMs: number;
}

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

/**
 * One process of a fleet, with files for its settings and its log. It can be restarted after it has exited, and copies of it
 * can be started beside it.
 */
export class DaemonProcess {
  readonly name: string;
  readonly logFile: string;
  /** Logs of the process, and of each copy that was started beside it. */
  readonly logFiles: string[];
  readonly settingsFile: string;
  readonly settings: string;
  readonly #options: DaemonOptions;
  /** Why each exit that no signal of ours had asked for is none that one asks for. */
  readonly ownExits: OwnExit[] = [];
  /** The process and its copies, in the order of their starts. */
  #lives: readonly DaemonLife[] = [];
  /** The process or copy that was started last. */
  #last: DaemonLife | null = null;

  constructor(options: DaemonOptions) {
    this.#options = options;
    this.name = options.name;
    this.settings = options.settings;
    this.logFile = join(options.folder, `${options.name}.log`);
    this.logFiles = [this.logFile];
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
    return this.#lives.length > 0;
  }

  /** The one that was started first of the process and its copies; null while none runs. */
  get first(): DaemonLife | null {
    return this.#lives[0] ?? null;
  }

  /** Starts the process. */
  start(logFile = this.logFile): DaemonLife {
    const { programs, program, flags = [] } = this.#options;
    const life = new DaemonLife({
      args: [...flags, join(programs, program), "--settings", this.settingsFile],
      logFile,
      onExit: (fault) => {
        this.#lives = this.#lives.filter((other) => other !== life);
        if (fault !== null) {
          this.ownExits.push({ fault, atMs: performance.now() });
        }
      },
    });
    this.#lives = [...this.#lives, life];
    this.#last = life;
    return life;
  }

  /** Starts a copy beside the process that runs, with a log of its own. */
  startCopy(): DaemonLife {
    const logFile = join(this.#options.folder, `${this.name}-copy-${this.logFiles.length}.log`);
    this.logFiles.push(logFile);
    return this.start(logFile);
  }

  /** Signals the process that was started first. */
  signal(signal: NodeJS.Signals): void {
    this.#lives[0]?.signal(signal);
  }

  /** Resolves when the process that was started first has exited, with its status; at once when none is running. */
  waitForExit(): DaemonLife["exited"] {
    return (this.#lives[0] ?? this.#last)?.exited ?? Promise.resolve({ code: null, signal: null });
  }

  /** Kills the process and its copies. */
  async kill(): Promise<void> {
    const lives = this.#lives;
    for (const life of lives) {
      life.signal("SIGKILL");
    }
    await Promise.all(lives.map(({ exited }) => exited));
  }
}
