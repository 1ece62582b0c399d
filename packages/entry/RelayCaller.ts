import type { MessageName } from "@clementinemux/wire/MessageName";
import { RpcClient } from "@clementinemux/wire/RpcClient";
import type { TlsFiles } from "@clementinemux/wire/TlsFiles";
import { WireErrorCode } from "@clementinemux/wire/WireErrorCode";
import { parseAddress } from "@clementinemux/wire/parseAddress";

interface RelayResponse {
  readonly body: unknown;
}

/** Client of the relays. Tries them in order, starting with the one that responded last. */
export class RelayCaller {
  readonly #addresses: readonly string[];
  readonly #clients: readonly RpcClient[];
  #preferred = 0;

  constructor(addresses: readonly string[], tls: TlsFiles | undefined) {
    this.#addresses = addresses;
    this.#clients = addresses.map((address) => new RpcClient({ address: parseAddress(address), tls }));
  }

  /**
   * Resolves with null when no relay responded successfully. `timeoutMs` applies to each relay.
   */
  async call(name: MessageName, body: unknown, timeoutMs: number): Promise<RelayResponse | null> {
    for (let attempt = 0; attempt < this.#clients.length; attempt += 1) {
      const index = (this.#preferred + attempt) % this.#clients.length;
      const response = await this.#clients[index]?.call(name, body, timeoutMs);
      if (response?.isRight() === true) {
        this.#preferred = index;
        return { body: response.extract() };
      }
      const error = response?.extract();
      if (error instanceof Error && "code" in error && error.code === WireErrorCode.UnknownMessage) {
        return null;
      }
    }
    return null;
  }

  /** Calls every relay. Resolves with the responses of those that responded successfully. */
  async callAll(name: MessageName, body: unknown, timeoutMs: number): Promise<readonly RelayResponse[]> {
    const responses = await Promise.all(this.#clients.map((client) => client.call(name, body, timeoutMs)));
    return responses.flatMap((response) => (response.isRight() ? [{ body: response.extract() }] : []));
  }

  /** Calls only the relay with this address. Resolves with null when it did not respond successfully. */
  async callAt(
    address: string,
    name: MessageName,
    body: unknown,
    timeoutMs: number,
  ): Promise<RelayResponse | WireErrorCode.UnknownMessage | null> {
    const response = await this.#clients[this.#addresses.indexOf(address)]?.call(name, body, timeoutMs);
    if (response?.isRight() === true) {
      return { body: response.extract() };
    }
    const error = response?.extract();
    const isUnknown =
      error instanceof Error && "code" in error && error.code === WireErrorCode.UnknownMessage;
    return isUnknown ? WireErrorCode.UnknownMessage : null;
  }

  close(): void {
    for (const client of this.#clients) {
      client.close();
    }
  }
}
