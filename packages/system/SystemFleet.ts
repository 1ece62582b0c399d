import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import type { ConfigChange } from "@clementinemux/fleet/ConfigChange";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { ProposeResponse } from "@clementinemux/messages/ProposeResponse";
import { DaemonProcess } from "./DaemonProcess";
import { findFreePorts } from "./findFreePorts";
import { waitUntil } from "./waitUntil";

interface SystemFleetOptions {
  readonly engineCount?: number;
  readonly entryCount?: number;
  /** Whether a plain service "orders" runs behind the agent "orders-1". */
  readonly hasService?: boolean;
  readonly executionMs?: number;
  readonly engine?: Readonly<Record<string, unknown>>;
  readonly entry?: Readonly<Record<string, unknown>>;
  /** Maps the relay addresses in the settings of a process, for example to those of proxies. */
  readonly mapRelays?: (process: string, addresses: readonly string[]) => Promise<readonly string[]>;
  /** Enables mutual TLS between processes, and TLS for callers. */
  readonly tls?: { readonly keyFile: string; readonly certFile: string; readonly caFile: string };
}

interface ProposeResult extends ProposeResponse {
  readonly inForce?: boolean;
}

interface ControlStatus {
  readonly groups: readonly {
    readonly name: string;
    readonly role: string;
    readonly hasLease: boolean;
  }[];
}

// A relay leases no shares of team limits in the first 4 s after its start, since it does not know which
// shares it leased before. Until then, a team has a tenth of its limit, which the load of a test can exceed.
const limitLeaseDelayMs = 6000;
const host = "127.0.0.1";
const controlCount = 3;
const operatorToken = "token-ann";
const programs = join(process.cwd(), "dist");

/** Complete fleet of real processes on loopback, for tests. */
export class SystemFleet {
  readonly folder = mkdtempSync(join(tmpdir(), "clementinemux-system-"));
  readonly processes = new Map<string, DaemonProcess>();
  readonly entryUrls: string[] = [];
  readonly engineUrls: string[] = [];
  readonly agentAddresses: string[] = [];
  readonly relays: string[] = [];
  readonly apiUrls: string[] = [];
  serviceUrl = "";
  readonly tokenFile = join(this.folder, "token");
  readonly #options: SystemFleetOptions;
  readonly #onExit = (): void => {
    for (const daemon of this.processes.values()) {
      daemon.signal("SIGKILL");
    }
  };

  private constructor(options: SystemFleetOptions) {
    this.#options = options;
    // A test that exits early must not leave processes running.
    process.once("exit", this.#onExit);
  }

  /** Starts all processes and waits until requests through every entry succeed. */
  static async start(options: SystemFleetOptions = {}): Promise<SystemFleet> {
    const fleet = new SystemFleet(options);
    try {
      await fleet.#start();
    } catch (error) {
      await fleet.stop(true);
      throw new Error(`the fleet did not start; logs in ${fleet.folder}`, { cause: error });
    }
    return fleet;
  }

  get(name: string): DaemonProcess {
    const daemon = this.processes.get(name);
    if (daemon === undefined) {
      throw new RangeError(`there is no process "${name}"`);
    }
    return daemon;
  }

  /** Index of the control replica that is the leader of a log group and holds its lease. */
  findLeader(group: string): Promise<number> {
    return waitUntil(`leader of ${group}`, async () => {
      for (const [index] of this.apiUrls.entries()) {
        const status = await this.callApi(index, "GET", "/v1/status").catch(() => null);
        const groups = (status?.body as ControlStatus | undefined)?.groups ?? [];
        if (groups.some(({ name, role, hasLease }) => name === group && role === "leader" && hasLease)) {
          return index;
        }
      }
      return null;
    });
  }

  async callApi(
    index: number,
    method: string,
    path: string,
    body: unknown = null,
  ): Promise<{ readonly status: number; readonly body: unknown }> {
    const response = await fetch(`${this.apiUrls[index] ?? ""}${path}`, {
      method,
      headers: { authorization: `Bearer ${operatorToken}` },
      body: body === null ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(15_000),
    });
    return { status: response.status, body: await response.json() };
  }

  async getConfig(index = 0): Promise<FleetConfig> {
    return ((await this.callApi(index, "GET", "/v1/config")).body as { config: FleetConfig }).config;
  }

  /** Proposes a change, and retries with the same request id while control is unavailable. */
  async propose(change: ConfigChange, waitInForce = false, indexes = [0, 1, 2]): Promise<ProposeResult> {
    const requestId = `request-${Math.random()}`;
    const { revision } = await this.getConfig(indexes[0]);
    const request = { author: "ann", requestId, baseRevision: revision, change };
    let attempt = 0;
    return waitUntil("response to a change", async () => {
      const index = indexes[attempt % indexes.length] ?? 0;
      attempt += 1;
      const path = `/v1/changes${waitInForce ? "?wait=inForce" : ""}`;
      const response = await this.callApi(index, "POST", path, request);
      return response.status === 503 ? null : (response.body as ProposeResult);
    });
  }

  /** Kills all processes and removes the folder with the logs, unless `keepFolder` is set. */
  async stop(keepFolder = false): Promise<void> {
    process.removeListener("exit", this.#onExit);
    await Promise.all([...this.processes.values()].map((daemon) => daemon.kill()));
    if (!keepFolder) {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }

  async #start(): Promise<void> {
    const { engineCount = 2, entryCount = 2, hasService = false } = this.#options;
    const serviceCount = hasService ? 1 : 0;
    const ports = await findFreePorts(controlCount * 2 + entryCount + (engineCount + serviceCount) * 2);
    const nextPort = (): number => ports.pop() ?? 0;
    writeFileSync(this.tokenFile, operatorToken);
    this.#addControls(nextPort);
    for (let index = 1; index <= engineCount; index += 1) {
      const port = nextPort();
      const values = { host, port, models: ["demo"], tokenIntervalMs: 20, firstTokenMs: 20 };
      this.#addProcess("standin-engine", `engine-${index}`, { ...values, ...this.#options.engine });
      this.engineUrls.push(`http://${host}:${port}`);
      const target = { kind: "engine", models: ["demo"], targetAddress: `${host}:${port}` };
      await this.#addAgent(`runner-${index}`, index, nextPort(), target);
    }
    if (hasService) {
      const port = nextPort();
      const { executionMs = 0 } = this.#options;
      this.#addProcess("standin-service", "service-1", { host, port, executionMs });
      this.serviceUrl = `http://${host}:${port}`;
      const target = { kind: "service", service: "orders", targetAddress: `${host}:${port}` };
      await this.#addAgent("orders-1", 1, nextPort(), target);
    }
    for (let index = 1; index <= entryCount; index += 1) {
      await this.#addEntry(index, nextPort());
    }
    for (const daemon of this.processes.values()) {
      daemon.start();
    }
    await this.#waitUntilReady(engineCount + serviceCount);
  }

  #addProcess(program: string, name: string, values: object): void {
    const settings = JSON.stringify(values, null, 2);
    const options = { program: `${program}.mjs`, name, settings, folder: this.folder, programs };
    this.processes.set(name, new DaemonProcess(options));
  }

  #addControls(nextPort: () => number): void {
    const tokensFile = join(this.folder, "tokens.json");
    writeFileSync(tokensFile, JSON.stringify({ [operatorToken]: "ann" }));
    const { tls } = this.#options;
    const ports = Array.from({ length: controlCount }, nextPort);
    this.relays.push(...ports.map((port) => `${host}:${port}`));
    for (const [index, port] of ports.entries()) {
      const name = `control-${index + 1}`;
      const apiPort = nextPort();
      this.apiUrls.push(`http://${host}:${apiPort}`);
      this.#addProcess("clementinemux-control", name, {
        ...{ name, host, port, apiPort, tokensFile, tls, region: "local", bootstrap: true },
        failureDomain: `fd-${index + 1}`,
        dataFolder: join(this.folder, name),
        replicas: this.relays,
      });
    }
  }

  async #addAgent(target: string, domain: number, port: number, values: object): Promise<void> {
    const relays = await this.#getRelays(`agent-${target}`);
    const { tls } = this.#options;
    this.agentAddresses.push(`${host}:${port}`);
    this.#addProcess("clementinemux-agent", `agent-${target}`, {
      ...{ target, host, port, tls, region: "local", relays },
      failureDomain: `fd-${domain}`,
      ...values,
    });
  }

  async #addEntry(index: number, port: number): Promise<void> {
    const name = `entry-${index}`;
    const relays = await this.#getRelays(name);
    const { tls } = this.#options;
    this.entryUrls.push(`${tls === undefined ? "http" : "https"}://${host}:${port}`);
    this.#addProcess("clementinemux-entry", name, {
      ...{ name, host, port, region: "local", relays, anonymousTeam: "demo" },
      failureDomain: `fd-${index}`,
      ...(tls === undefined ? {} : { peerTls: tls, tls: { keyFile: tls.keyFile, certFile: tls.certFile } }),
      ...this.#options.entry,
    });
  }

  async #getRelays(name: string): Promise<readonly string[]> {
    return (await this.#options.mapRelays?.(name, this.relays)) ?? this.relays;
  }

  async #waitUntilReady(targetCount: number): Promise<void> {
    const startedAtMs = performance.now();
    await this.findLeader("config");
    await this.findLeader("claims-0");
    await waitUntil("announced targets", async () => {
      const { body } = await this.callApi(0, "GET", "/v1/targets");
      return (body as readonly unknown[]).length >= targetCount ? true : null;
    });
    if (this.#options.tls !== undefined) {
      return;
    }
    for (const url of this.entryUrls) {
      await waitUntil(`readiness of ${url}`, async () => {
        const ready = await fetch(`${url}/readyz`);
        const models = await (await fetch(`${url}/v1/models`)).text();
        return ready.ok && (models.includes("demo") || this.engineUrls.length === 0) ? true : null;
      });
      if (this.engineUrls.length > 0) {
        // Models are listed once a target is announced, but it gets requests only after the first poll of its
        // agent.
        await waitUntil(`response through ${url}`, () => isServing(url));
      }
    }
    await delay(Math.max(0, limitLeaseDelayMs - (performance.now() - startedAtMs)));
  }
}

async function isServing(url: string): Promise<true | null> {
  const body = JSON.stringify({ model: "demo", prompt: "ready", max_tokens: 1 });
  const response = await fetch(`${url}/v1/completions`, { method: "POST", body });
  await response.text();
  return response.ok ? true : null;
}
