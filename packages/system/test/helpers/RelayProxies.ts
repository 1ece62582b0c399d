import { FaultyProxy } from "../../../wire/test/helpers/FaultyProxy";

/** Proxies in front of the relays, with a separate set for each process that a test isolates. */
export class RelayProxies {
  readonly #names: readonly string[];
  readonly #proxies = new Map<string, FaultyProxy[]>();

  constructor(names: readonly string[]) {
    this.#names = names;
  }

  readonly mapRelays = async (name: string, addresses: readonly string[]): Promise<readonly string[]> => {
    if (!this.#names.includes(name)) {
      return addresses;
    }
    const proxies = addresses.map((address) => new FaultyProxy(Number(address.split(":")[1])));
    this.#proxies.set(name, proxies);
    const ports = await Promise.all(proxies.map((proxy) => proxy.listen()));
    return ports.map((port) => `127.0.0.1:${port}`);
  };

  /** Connections stay open but their bytes are dropped, as in a network partition. */
  blackhole(name: string): void {
    for (const proxy of this.#proxies.get(name) ?? []) {
      proxy.blackholeAll();
    }
  }

  /** Ends the partition: closes existing connections, and new ones work. */
  heal(name: string): void {
    for (const proxy of this.#proxies.get(name) ?? []) {
      proxy.heal();
      proxy.closeConnections();
    }
  }

  async close(): Promise<void> {
    await Promise.all([...this.#proxies.values()].flat().map((proxy) => proxy.close()));
  }
}
