import { performance } from "node:perf_hooks";
import { ConfigView } from "@clementinemux/control/ConfigView";
import { completeRenewal } from "@clementinemux/control/completeRenewal";
import type { ConfigPart } from "@clementinemux/messages/ConfigPart";
import { LeaseholderKind } from "@clementinemux/messages/LeaseholderKind";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcClient } from "@clementinemux/wire/RpcClient";
import { parseAddress } from "@clementinemux/wire/parseAddress";

const renewIntervalMs = 500;
const renewTimeoutMs = 400;

/** Renews a serving lease at one relay and applies configuration updates, as an entry does. */
export class LeaseholderClient {
  readonly view = new ConfigView();
  readonly #name: string;
  readonly #client: RpcClient;
  readonly #timer: NodeJS.Timeout;
  #leaseEndMs = 0;

  constructor(name: string, relay: string) {
    this.#name = name;
    this.#client = new RpcClient({ address: parseAddress(relay) });
    this.#timer = setInterval(() => void this.#renew(), renewIntervalMs);
  }

  get isServing(): boolean {
    return performance.now() < this.#leaseEndMs;
  }

  close(): void {
    clearInterval(this.#timer);
    this.#client.close();
  }

  async #renew(): Promise<void> {
    const sentAtMs = performance.now();
    const request = {
      holder: this.#name,
      incarnation: "1",
      kind: LeaseholderKind.Entry,
      failureDomain: "fd-1",
      region: "local",
      appliedRevision: this.view.config.revision,
    };
    const renewal = await this.#client.call(MessageName.Renew, request, renewTimeoutMs);
    const received = renewal.toMaybe().extractNullable() as RenewResponse | null;
    if (received !== null) {
      const response = await completeRenewal(received, async (part) => {
        const read = await this.#client.call(MessageName.FetchConfig, part, renewTimeoutMs);
        return read.toMaybe().extractNullable() as ConfigPart | null;
      });
      if (this.view.update(response) && response.confirmed) {
        this.#leaseEndMs = Math.max(this.#leaseEndMs, sentAtMs + response.leaseMs);
      }
    }
  }
}
