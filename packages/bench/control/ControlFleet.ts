import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { closeSync, mkdirSync, mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { ControlClient } from "@clementinemux/control/ControlClient";
import { DelayProxy } from "./DelayProxy";

interface ControlFleetOptions {
  readonly replicas: number;
  readonly claimGroups?: number;
  /** One-way delay of all data to and from a replica; 0 connects directly. */
  readonly delayMs?: number;
  readonly settings?: Readonly<Record<string, unknown>>;
}

interface GroupStatus {
  readonly name: string;
  readonly replicaId: string;
  readonly role: string;
  readonly hasLease: boolean;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly membership: {
    readonly voters: Readonly<Record<string, { readonly address: string }>>;
    readonly learners: Readonly<Record<string, { readonly address: string }>>;
  };
}

interface Replica {
  readonly name: string;
  readonly address: string;
  readonly apiPort: number;
  readonly dataFolder: string;
  readonly settingsFile: string;
  child: ChildProcess | null;
}

const host = "127.0.0.1";
const statusTimeoutMs = 300;

/** Runs control replicas as processes on this machine. */
export class ControlFleet {
  readonly replicas: readonly Replica[];
  readonly folder: string;
  readonly #options: ControlFleetOptions;
  readonly #proxies: DelayProxy[] = [];
  readonly #programs: string;

  private constructor(
    options: ControlFleetOptions,
    folder: string,
    ports: readonly number[],
    programs: string,
  ) {
    this.#options = options;
    this.#programs = programs;
    this.folder = folder;
    this.replicas = Array.from({ length: options.replicas }, (_, index) => ({
      name: `control-${index + 1}`,
      address: `${host}:${ports[index * 3] ?? 0}`,
      apiPort: ports[index * 3 + 1] ?? 0,
      dataFolder: join(folder, `control-${index + 1}`),
      settingsFile: join(folder, `control-${index + 1}.jsonc`),
      child: null,
    }));
  }

  /**
   * Starts the replicas and waits until every group has a leader. `programs` is the folder of the bundled
   * programs.
   */
  static async start(options: ControlFleetOptions, programs: string): Promise<ControlFleet> {
    const folder = mkdtempSync(join(tmpdir(), "clementinemux-fleet-"));
    const ports = await findFreePorts(options.replicas * 3);
    const fleet = new ControlFleet(options, folder, ports, programs);
    // Ends the child processes when a test or bench exits early.
    process.once("exit", () => {
      for (const { child } of fleet.replicas) {
        child?.kill("SIGKILL");
      }
    });
    await fleet.#writeSettings(ports);
    fleet.replicas.forEach((_, index) => {
      fleet.spawn(index);
    });
    for (const group of fleet.groups) {
      await fleet.waitForLeader(group);
    }
    return fleet;
  }

  get groups(): string[] {
    const claims = Array.from({ length: this.#options.claimGroups ?? 1 }, (_, index) => `claims-${index}`);
    return ["config", ...claims];
  }

  get addresses(): string[] {
    return this.replicas.map(({ address }) => address);
  }

  createClient(): ControlClient {
    return new ControlClient({
      addresses: this.addresses,
      claimGroups: this.#options.claimGroups ?? 1,
      clock: new SystemClock(),
      random: Math.random,
    });
  }

  spawn(index: number): void {
    const replica = this.#get(index);
    const log = openSync(join(this.folder, `${replica.name}.log`), "a");
    const args = [join(this.#programs, "clementinemux-control.mjs"), "--settings", replica.settingsFile];
    replica.child = spawn(process.execPath, args, {
      stdio: ["ignore", log, log],
      env: { ...process.env, ROARR_LOG: "true" },
    });
    closeSync(log);
  }

  async kill(index: number): Promise<void> {
    const { child } = this.#get(index);
    if (child !== null && child.exitCode === null && child.signalCode === null) {
      const closed = new Promise((resolve) => child.once("close", resolve));
      child.kill("SIGKILL");
      await closed;
    }
    this.#get(index).child = null;
  }

  signal(index: number, name: "SIGSTOP" | "SIGCONT"): void {
    this.#get(index).child?.kill(name);
  }

  eraseData(index: number): void {
    rmSync(this.#get(index).dataFolder, { recursive: true, force: true });
  }

  async getStatus(index: number): Promise<readonly GroupStatus[] | null> {
    const response = await this.callApi(index, "GET", "/v1/status", null, statusTimeoutMs).catch(() => null);
    return (response?.body as { groups: readonly GroupStatus[] } | undefined)?.groups ?? null;
  }

  async findLeader(group: string): Promise<number | null> {
    const statuses = await Promise.all(this.replicas.map((_, index) => this.getStatus(index)));
    const leader = statuses.findIndex((groups) =>
      groups?.some(({ name, role, hasLease }) => name === group && role === "leader" && hasLease),
    );
    return leader < 0 ? null : leader;
  }

  async waitForLeader(group: string): Promise<number> {
    return this.waitFor(`a leader of ${group}`, () => this.findLeader(group));
  }

  /** Polls until a value is returned; fails after about 30 s. */
  async waitFor<Value>(what: string, poll: () => Promise<Value | null>): Promise<Value> {
    for (let round = 0; round < 600; round += 1) {
      const value = await poll();
      if (value !== null) {
        return value;
      }
      await delay(50);
    }
    throw new Error(`no ${what}; logs in ${this.folder}`);
  }

  async callApi(
    index: number,
    method: string,
    path: string,
    body: unknown,
    timeoutMs = 15_000,
    token = "token-ann",
  ): Promise<{ readonly status: number; readonly body: unknown }> {
    const response = await fetch(`http://${host}:${this.#get(index).apiPort}${path}`, {
      method,
      headers: { authorization: `Bearer ${token}` },
      body: body === null ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(timeoutMs),
    });
    return { status: response.status, body: await response.json() };
  }

  async stop(): Promise<void> {
    await Promise.all(this.replicas.map((_, index) => this.kill(index)));
    for (const proxy of this.#proxies) {
      proxy.close();
    }
    rmSync(this.folder, { recursive: true, force: true });
  }

  #get(index: number): Replica {
    const replica = this.replicas[index];
    if (replica === undefined) {
      throw new RangeError(`replica ${index} does not exist`);
    }
    return replica;
  }

  async #writeSettings(ports: readonly number[]): Promise<void> {
    const tokensFile = join(this.folder, "tokens.json");
    writeFileSync(tokensFile, JSON.stringify({ "token-ann": "ann", "token-bob": "bob" }));
    const { delayMs = 0, claimGroups = 1, settings } = this.#options;
    for (const [index, { name, apiPort, dataFolder, settingsFile }] of this.replicas.entries()) {
      const outerPort = ports[index * 3] ?? 0;
      const innerPort = delayMs > 0 ? (ports[index * 3 + 2] ?? 0) : outerPort;
      if (delayMs > 0) {
        const proxy = new DelayProxy(innerPort, delayMs);
        await proxy.listen(outerPort);
        this.#proxies.push(proxy);
      }
      mkdirSync(dataFolder, { recursive: true });
      const values = {
        name,
        port: innerPort,
        apiPort,
        failureDomain: `fd-${(index % 3) + 1}`,
        region: "local",
        dataFolder,
        groups: this.groups,
        claimGroups,
        replicas: this.addresses,
        bootstrap: true,
        tokensFile,
        ...settings,
      };
      writeFileSync(settingsFile, JSON.stringify(values, null, 2));
    }
  }
}
