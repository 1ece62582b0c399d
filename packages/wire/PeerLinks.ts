import type { Either } from "purify-ts/Either";
import { RpcClient } from "./RpcClient";
import type { TlsFiles } from "./TlsFiles";
import type { WireError } from "./WireError";
import { parseAddress } from "./parseAddress";

/** RPC clients of the other processes of the system, one per address. */
export class PeerLinks {
  readonly #tls: TlsFiles | undefined;
  readonly #clients = new Map<string, RpcClient>();

  constructor(tls: TlsFiles | undefined) {
    this.#tls = tls;
  }

  /** Sends a message that has no response; it may be lost. Returns why it cannot be sent at all, else null. */
  notify(address: string, name: string, body: unknown): WireError | null {
    return this.#getClient(address).notify(name, body);
  }

  /** Sends a request and waits for its response. The promise never rejects. */
  call(address: string, name: string, body: unknown, timeoutMs: number): Promise<Either<WireError, unknown>> {
    return this.#getClient(address).call(name, body, timeoutMs);
  }

  close(): void {
    for (const client of this.#clients.values()) {
      client.close();
    }
  }

  #getClient(address: string): RpcClient {
    const existing = this.#clients.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const client = new RpcClient({ address: parseAddress(address), tls: this.#tls });
    this.#clients.set(address, client);
    return client;
  }
}
