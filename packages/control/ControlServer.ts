import type * as z from "zod";
import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import type { ControlSettings } from "./ControlSettings";

/** Control process: configuration, and directory of announced targets. */
export class ControlServer {
  readonly #settings: z.output<typeof ControlSettings>;
  readonly #targets = new Map<string, TargetAnnouncement>();
  readonly #server: RpcServer;

  constructor(settings: z.output<typeof ControlSettings>) {
    this.#settings = settings;
    this.#server = new RpcServer({
      handlers: {
        [MessageName.Announce]: (body) => {
          const announcement = body as TargetAnnouncement;
          this.#targets.set(announcement.target, announcement);
          return { accepted: true };
        },
        [MessageName.FetchTargets]: () => [...this.#targets.values()],
        [MessageName.FetchConfig]: () => createDefaultConfig(),
      },
    });
  }

  async start(): Promise<void> {
    await this.#server.listen(this.#settings.host, this.#settings.port);
  }
}
