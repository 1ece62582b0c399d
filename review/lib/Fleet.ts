import { mkdirSync, mkdtempSync, rmSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { Program } from "./Program";
import type { Recorder } from "./Recorder";
import { callApi } from "./callApi";

interface Machine {
  readonly name: string;
  readonly host: string;
  readonly coordinator: Program;
  readonly gateway: Program;
}

const hosts: readonly string[] = ["127.0.0.11", "127.0.0.12", "127.0.0.13"];
const firstPort = 12_000;
const lastPort = 30_000;
const portsPerMachine = 6;
const operatorTimeoutMs = 15_000;
const operatorRetryMs = 100;

/** The system on three machines with a disk, each on its own loopback address: a coordinator and a gateway on each. */
export class Fleet {
  readonly machines: readonly Machine[];
  readonly #folder = mkdtempSync(join(tmpdir(), "review-"));
  readonly #ports: readonly number[];
  readonly #recorder: Recorder;

  private constructor(ports: readonly number[], recorder: Recorder) {
    this.#ports = ports;
    this.#recorder = recorder;
    this.machines = hosts.map((host, index) => {
      const place = { folder: this.#folder, recorder };
      return {
        name: `edge-${index + 1}`,
        host,
        coordinator: new Program({ role: "coordinator", name: `coordinator-${index + 1}`, ...place }),
        gateway: new Program({ role: "gateway", name: `gateway-${index + 1}`, ...place }),
      };
    });
  }

  static async start(recorder: Recorder): Promise<Fleet> {
    const fleet = new Fleet(await findPorts(), recorder);
    for (const machine of fleet.machines) {
      mkdirSync(join(fleet.#folder, machine.name));
      fleet.startCoordinator(machine, true);
      fleet.startGateway(machine, true);
    }
    return fleet;
  }

  get callerAddresses(): readonly { readonly host: string; readonly port: number }[] {
    return hosts.map((host) => ({ host, port: this.#port(0) }));
  }

  /** Addresses at which the coordinators serve the operator and the runners. */
  get controlAddresses(): readonly { readonly host: string; readonly port: number }[] {
    return hosts.map((host) => ({ host, port: this.#port(2) }));
  }

  startCoordinator(machine: Machine, isBootstrap: boolean): void {
    const address = `${machine.host}:${this.#port(2)}`;
    machine.coordinator.start({
      ...this.#createSettings(machine, isBootstrap),
      dataFolder: join(this.#folder, machine.name),
      operatorAddress: address,
      directoryAddress: address,
    });
  }

  startGateway(machine: Machine, isBootstrap: boolean): void {
    machine.gateway.start({
      ...this.#createSettings(machine, isBootstrap),
      callerAddress: `${machine.host}:${this.#port(0)}`,
      readyAddress: `${machine.host}:${this.#port(1)}`,
    });
  }

  /** Sends a configuration as the operator does: to one machine after the other, until it is acknowledged. */
  async configure(config: object): Promise<void> {
    const body = JSON.stringify(config);
    for (let endMs = performance.now() + operatorTimeoutMs; performance.now() < endMs;) {
      for (const address of this.controlAddresses) {
        const response = await callApi(address, "PUT", "/config", body);
        if (response?.status === 200) {
          this.#recorder.note(`operator: ${body} acknowledged by ${address.host}`);
          return;
        }
      }
      await delay(operatorRetryMs);
    }
    throw new Error("the configuration was not acknowledged");
  }

  /** Resolves when each gateway says that it is ready. */
  async waitUntilReady(): Promise<void> {
    for (let endMs = performance.now() + operatorTimeoutMs; performance.now() < endMs;) {
      const answers = await Promise.all(
        hosts.map((host) => callApi({ host, port: this.#port(1) }, "GET", "/ready")),
      );
      if (answers.every((answer) => answer?.status === 200)) {
        return;
      }
      await delay(operatorRetryMs);
    }
    throw new Error("the gateways did not become ready");
  }

  async stop(): Promise<void> {
    await Promise.all(
      this.machines.flatMap(({ coordinator, gateway }) => [coordinator.kill(), gateway.kill()]),
    );
    rmSync(this.#folder, { recursive: true, force: true });
  }

  #port(index: number): number {
    return this.#ports[index] ?? 0;
  }

  /** The settings that the template of the deploy file gives to both programs of a machine. */
  #createSettings({ name, host }: Machine, isBootstrap: boolean): object {
    return {
      name,
      host,
      failureDomain: name,
      framePort: this.#port(3),
      seedAddresses: this.controlAddresses.map((seed) => `${seed.host}:${seed.port}`),
      isBootstrap,
      metricsPorts: { gateway: this.#port(4), coordinator: this.#port(5) },
      toleratedMachines: 1,
      repeatRatio: 0.2,
      repeatSlack: 204,
      repeatWindowS: 10,
      graceS: 8,
    };
  }
}

/** Ports that are free on all hosts. */
async function findPorts(): Promise<number[]> {
  const found: number[] = [];
  while (found.length < portsPerMachine) {
    const port = firstPort + Math.floor(Math.random() * (lastPort - firstPort));
    const free = await Promise.all(hosts.map((host) => isFree(host, port)));
    if (!found.includes(port) && !free.includes(false)) {
      found.push(port);
    }
  }
  return found;
}

function isFree(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => {
      resolve(false);
    });
    server.listen(port, host, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
