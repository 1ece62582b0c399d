import { mkdirSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { join } from "node:path";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import type { CaseContext } from "./runCase";
import { RoleProcess } from "./RoleProcess";

const coordinatorHosts: readonly string[] = ["127.0.0.1", "127.0.0.2", "127.0.0.3"];
const gatewayHosts: readonly string[] = ["127.0.0.4", "127.0.0.5"];
const callTimeoutMs = 1000;
const retryMs = 50;

/** Three machines with coordinators and two with gateways, each machine at its own loopback address. */
export class SmallDeployment {
  readonly coordinators: readonly RoleProcess[];
  readonly gateways: readonly RoleProcess[];
  readonly gatewayAddresses: readonly string[];
  readonly #controlPort: number;

  private constructor({ folder, onEnd }: CaseContext, ports: readonly number[]) {
    const [framePort = 0, controlPort = 0, callerPort = 0, readyPort = 0] = ports;
    this.#controlPort = controlPort;
    const shared = {
      framePort,
      seedAddresses: coordinatorHosts.map((host) => `${host}:${controlPort}`),
      isBootstrap: true,
      toleratedMachines: 1,
      repeatRatio: 0.2,
      repeatSlack: 204,
      repeatWindowS: 10,
      graceS: 8,
    };
    this.coordinators = coordinatorHosts.map((host, at) => {
      const name = `coordinator-${at + 1}`;
      const dataFolder = join(folder, `${name}-data`);
      mkdirSync(dataFolder);
      const address = `${host}:${controlPort}`;
      const own = { host, failureDomain: `zone-${at + 1}`, dataFolder };
      const settings = { ...shared, ...own, operatorAddress: address, directoryAddress: address };
      return new RoleProcess("coordinator", name, folder, settings);
    });
    this.gateways = gatewayHosts.map((host, at) => {
      const own = { host, failureDomain: `zone-${at + 1}` };
      const listen = { callerAddress: `${host}:${callerPort}`, readyAddress: `${host}:${readyPort}` };
      return new RoleProcess("gateway", `gateway-${at + 1}`, folder, { ...shared, ...own, ...listen });
    });
    this.gatewayAddresses = gatewayHosts.map((host) => `${host}:${callerPort}`);
    for (const process of [...this.coordinators, ...this.gateways]) {
      onEnd(() => process.end());
      process.start();
    }
  }

  static async start(context: CaseContext): Promise<SmallDeployment> {
    return new SmallDeployment(context, await findFreePorts(4));
  }

  /** Calls one coordinator after the other until one answers with 2xx, as operators and runners do; the time limit is an error. */
  async call(method: string, path: string, body: object | null, withinMs = 15_000): Promise<void> {
    const endMs = performance.now() + withinMs;
    for (let at = 0; performance.now() < endMs; at += 1) {
      const host = coordinatorHosts[at % coordinatorHosts.length] ?? "";
      const status = await this.#callOnce(host, method, path, body);
      if (status !== null && status >= 200 && status < 300) {
        return;
      }
      await delay(retryMs);
    }
    throw new Error(`no acknowledgement of ${method} ${path} within ${withinMs} ms`);
  }

  /** Calls one coordinator. Resolves with the status; null without an answer. */
  callAt(at: number, method: string, path: string): Promise<number | null> {
    return this.#callOnce(coordinatorHosts[at % coordinatorHosts.length] ?? "", method, path, null);
  }

  async #callOnce(host: string, method: string, path: string, body: object | null): Promise<number | null> {
    try {
      const response = await fetch(`http://${host}:${this.#controlPort}${path}`, {
        method,
        signal: AbortSignal.timeout(callTimeoutMs),
        ...(body === null
          ? {}
          : { body: JSON.stringify(body), headers: { "Content-Type": "application/json" } }),
      });
      await response.text();
      return response.status;
    } catch {
      // The process has not started yet, or does not answer.
      return null;
    }
  }
}
