import type * as z from "zod";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";
import { RelayService } from "@clementinemux/membership/RelayService";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import type { ControlSettings } from "./ControlSettings";

/** Control process: configuration, and directory of announced targets. */
export class ControlServer {
  readonly #settings: z.output<typeof ControlSettings>;
  readonly #relay = new RelayService();
  readonly #server: RpcServer;

  constructor(settings: z.output<typeof ControlSettings>) {
    this.#settings = settings;
    this.#server = new RpcServer({
      handlers: {
        ...this.#relay.handlers,
        [MessageName.FetchConfig]: () => createDefaultConfig(),
        [MessageName.Renew]: () => this.#confirm(),
      },
    });
  }

  /** Confirms the only revision that there is. */
  #confirm(): RenewResponse {
    const { revision, defaults } = createDefaultConfig();
    const { servingLeaseMs: leaseMs } = defaults;
    return { epoch: 1, revision, confirmed: true, leaseMs, changes: [], config: null };
  }

  async start(): Promise<void> {
    await this.#server.listen(this.#settings.host, this.#settings.port);
  }
}
