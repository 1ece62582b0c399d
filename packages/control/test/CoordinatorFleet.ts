import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Left } from "purify-ts/Either";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { createRandom } from "@clementinemux/common/createRandom";
import { Coordinator } from "@clementinemux/control/routes/Coordinator";
import { createLogger } from "@clementinemux/logging/createLogger";
import type { SyncRequest } from "@clementinemux/registry/SyncRequest";
import type { SyncResponse } from "@clementinemux/registry/SyncResponse";
import type { DiskOperations } from "@clementinemux/storage/DiskOperations";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcClient } from "@clementinemux/wire/RpcClient";

interface CoordinatorFleetOptions {
  /** Number of coordinators that are listed as seeds; all by default. */
  readonly seedCount?: number;
  readonly targetVoters?: number;
  /** Indexes of coordinators without a disk. */
  readonly diskless?: readonly number[];
  /** Disk of all coordinators; that of this machine by default. */
  readonly disk?: DiskOperations;
}

/** Coordinators of one log on the loopback interface, each with its own folder. */
export class CoordinatorFleet {
  readonly seeds: readonly string[];
  readonly coordinators: Coordinator[] = [];
  readonly #folders: string[] = [];
  readonly #ports: readonly number[];
  readonly #options: CoordinatorFleetOptions;
  readonly #closed = new WeakSet<Coordinator>();

  private constructor(ports: readonly number[], options: CoordinatorFleetOptions) {
    this.#ports = ports;
    this.#options = options;
    this.seeds = ports.slice(0, options.seedCount).map((port) => `127.0.0.1:${port}`);
  }

  static async start(size: number, options: CoordinatorFleetOptions = {}): Promise<CoordinatorFleet> {
    const fleet = new CoordinatorFleet(await findFreePorts(size), options);
    await Promise.all(fleet.#ports.map((_, index) => fleet.open(index, true)));
    return fleet;
  }

  /** Starts a coordinator with its earlier folder, unless that was wiped. */
  async open(index: number, isBootstrap: boolean): Promise<void> {
    this.#folders[index] ||= mkdtempSync(join(tmpdir(), "coordinator-"));
    const coordinator: Coordinator = new Coordinator({
      name: `c-${index}`,
      host: "127.0.0.1",
      framePort: this.#ports[index] ?? 0,
      metricsPort: null,
      failureDomain: `d-${index}`,
      dataFolder: this.#options.diskless?.includes(index) === true ? null : this.#folders[index],
      disk: this.#options.disk,
      isBootstrap,
      seeds: this.seeds,
      targetVoters: this.#options.targetVoters ?? 3,
      decodeDocument: () => Left("not decoded in this test"),
      openRank: () => {
        throw new Error("no ranks in this test");
      },
      clock: new SystemClock(),
      random: createRandom(index + 1),
      logger: createLogger("test", {}),
      onFatal: (error) => {
        // A write in flight when the coordinator was closed may find its folder removed.
        if (!this.#closed.has(coordinator)) {
          throw error;
        }
      },
    });
    this.coordinators[index] = coordinator;
    await coordinator.start();
  }

  async stop(index: number): Promise<void> {
    const coordinator = this.coordinators[index];
    if (coordinator !== undefined) {
      this.#closed.add(coordinator);
      await coordinator.close();
    }
  }

  getFolder(index: number): string {
    return this.#folders[index] ?? "";
  }

  wipe(index: number): void {
    rmSync(this.#folders[index] ?? "", { recursive: true, force: true });
    this.#folders[index] = "";
  }

  /** Reports to a coordinator as a gateway does. */
  async sync(index: number, request: SyncRequest): Promise<SyncResponse> {
    const address = { host: "127.0.0.1", port: this.#ports[index] ?? 0 };
    const client = new RpcClient({ address, connectTimeoutMs: 500 });
    const answer = await client.call(MessageName.SyncEntry, request, 1000);
    client.close();
    return answer.unsafeCoerce() as SyncResponse;
  }

  get leader(): number {
    return this.coordinators.findIndex((coordinator) => coordinator.getStatus().role === "leader");
  }

  async close(): Promise<void> {
    await Promise.all(this.coordinators.map((_, index) => this.stop(index)));
    for (const folder of this.#folders) {
      rmSync(folder, { recursive: true, force: true });
    }
  }
}
