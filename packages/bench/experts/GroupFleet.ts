import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { closeSync, openSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import type { RankGroupStatus } from "@clementinemux/agent/lead/RankGroupStatus";
import type { RankSnapshot } from "@clementinemux/agent/rank/RankSnapshot";
import { WeightStoreServer } from "@clementinemux/standins/weightStore/WeightStoreServer";
import { ControlFleet } from "../control/ControlFleet";

interface GroupCounts {
  readonly stepCount: number;
  readonly mixedSteps: number;
  readonly staleOrders: number;
  readonly skew: number | null;
  readonly mapVersion: number | null;
}

interface GroupFleetOptions {
  readonly programs: string;
  /** Number of control replicas. */
  readonly replicas: number;
  /** Default: 4. */
  readonly rankCount?: number;
  /** Default: one layer of 16 experts. */
  readonly shape?: typeof smallShape;
  /** Agent settings that override the short intervals. */
  readonly rankGroup?: Readonly<Record<string, unknown>>;
  readonly prepareStore?: (store: WeightStoreServer) => void;
  /** V8 flags of the agents. */
  readonly agentFlags?: readonly string[];
}

interface AgentProcess {
  readonly name: string;
  readonly port: number;
  readonly child: ChildProcess;
}

const host = "127.0.0.1";
const smallShape = { layerCount: 1, expertCount: 16, slotsPerRank: 6, expertBytes: 1_000_000 };
const storeBytesPerS = 100_000_000;
// Shorter than the defaults, so that elections, plans and activations happen within seconds.
const shortIntervals = {
  candidateIntervalMs: 100,
  renewIntervalMs: 400,
  stepIntervalMs: 30,
  statusIntervalMs: 100,
  reportIntervalMs: 200,
  directoryIntervalMs: 300,
  planIntervalMs: 1000,
  activationTimeoutMs: 60_000,
  armMarginSteps: 30,
  smoothingMs: 1000,
  trendMs: 60_000,
};

/**
 * Runs control, a stand-in group and the ranks' agents as processes, and the weight store in this process.
 */
export class GroupFleet {
  readonly control: ControlFleet;
  readonly store: WeightStoreServer;
  readonly agents: readonly AgentProcess[];
  readonly #group: ChildProcess;
  readonly #enginePorts: readonly number[];

  private constructor(
    control: ControlFleet,
    store: WeightStoreServer,
    agents: readonly AgentProcess[],
    group: ChildProcess,
    enginePorts: readonly number[],
  ) {
    this.control = control;
    this.store = store;
    this.agents = agents;
    this.#group = group;
    this.#enginePorts = enginePorts;
  }

  static async start(options: GroupFleetOptions): Promise<GroupFleet> {
    const {
      programs,
      replicas,
      rankCount = 4,
      shape = smallShape,
      rankGroup,
      prepareStore,
      agentFlags = [],
    } = options;
    const control = await ControlFleet.start({ replicas }, programs);
    const store = new WeightStoreServer(storeBytesPerS);
    prepareStore?.(store);
    const storePort = await store.listen(host, 0);
    const ports = await findFreePorts(rankCount * 2);
    const enginePorts = ports.slice(0, rankCount);
    const children: ChildProcess[] = [];
    // Ends the child processes when a test exits early.
    process.once("exit", () => {
      for (const child of children) {
        child.kill("SIGKILL");
      }
    });
    const run = (program: string, name: string, settings: object): ChildProcess => {
      const file = join(control.folder, `${name}.jsonc`);
      writeFileSync(file, JSON.stringify(settings));
      const log = openSync(join(control.folder, `${name}.log`), "a");
      const flags = program === "clementinemux-agent" ? agentFlags : [];
      const args = [...flags, join(programs, `${program}.mjs`), "--settings", file];
      const child = spawn(process.execPath, args, {
        stdio: ["ignore", log, log],
        env: { ...process.env, ROARR_LOG: "true" },
      });
      closeSync(log);
      children.push(child);
      return child;
    };
    const weightStoreUrl = `http://${host}:${storePort}`;
    const demand = { popularityExponent: 1.2, tokensPerStep: 4096, seed: 5 };
    const group = run("standin-group", "group-1", {
      ...{ ports: enginePorts, ...shape, ...demand, weightStoreUrl, loadTimeoutMs: 500 },
    });
    const agents = enginePorts.map((enginePort, rank) => {
      const name = `runner-${rank}`;
      const port = ports[rankCount + rank] ?? 0;
      const location = { host, port, failureDomain: `fd-${rank % 2}`, region: "local", kind: "engine" };
      const engine = { targetAddress: `${host}:${enginePort}`, loadPath: "/engine/load" };
      const child = run("clementinemux-agent", name, {
        ...{ target: name, ...location, ...engine, orderPath: "/engine/orders", models: ["m"] },
        ...{ relays: control.addresses, heartbeatIntervalMs: 200, group: "group-1", rank },
        rankGroup: { rankCount, ...shape, ...shortIntervals, ...rankGroup },
      });
      return { name, port, child };
    });
    return new GroupFleet(control, store, agents, group, enginePorts);
  }

  /** Polls until a value is returned; a failed poll counts as none. */
  waitFor<Value>(what: string, poll: () => Promise<Value | null>): Promise<Value> {
    return this.control.waitFor(what, () => poll().catch(() => null));
  }

  async getCounts(): Promise<GroupCounts> {
    return (await getJson(this.#enginePorts[0] ?? 0, "/standin/counts")) as GroupCounts;
  }

  async getGroupStatus(agent: AgentProcess): Promise<RankGroupStatus> {
    return (await getJson(agent.port, "/agent/group")) as RankGroupStatus;
  }

  async fetchSnapshot(rank: number): Promise<RankSnapshot> {
    return (await getJson(this.agents[rank]?.port ?? 0, "/agent/rank")) as RankSnapshot;
  }

  /** Waits for an agent that is the leader in an epoch above the given one. */
  waitForLeader(aboveEpoch = 0): Promise<{ readonly agent: AgentProcess; readonly answer: RankGroupStatus }> {
    return this.waitFor(`a leader above epoch ${aboveEpoch}`, async () => {
      for (const agent of this.agents) {
        const answer = await this.getGroupStatus(agent).catch(() => null);
        const phase = answer?.report?.phase ?? null;
        if (answer !== null && phase !== null && answer.epoch > aboveEpoch) {
          return { agent, answer };
        }
      }
      return null;
    });
  }

  async restartRank(rank: number): Promise<void> {
    await postJson(this.#enginePorts[rank] ?? 0, "/standin/restart", {});
  }

  sendOrder(rank: number, body: unknown): Promise<{ readonly status: number; readonly body: unknown }> {
    return postJson(this.agents[rank]?.port ?? 0, "/agent/order", body);
  }

  async stop(): Promise<void> {
    for (const child of [this.#group, ...this.agents.map((agent) => agent.child)]) {
      child.kill("SIGKILL");
    }
    this.store.close();
    await this.control.stop();
  }
}

async function getJson(port: number, path: string): Promise<unknown> {
  const response = await fetch(`http://${host}:${port}${path}`, { signal: AbortSignal.timeout(1500) });
  return response.json();
}

async function postJson(
  port: number,
  path: string,
  body: unknown,
): Promise<{ readonly status: number; readonly body: unknown }> {
  const response = await fetch(`http://${host}:${port}${path}`, {
    method: "POST",
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(5000),
  });
  return { status: response.status, body: await response.json() };
}
