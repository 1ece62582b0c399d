import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { MessageHandler } from "@clementinemux/wire/MessageHandler";

/** Membership part of a control process: keeps the directory of announced targets and entries. */
export class RelayService {
  readonly #targets = new Map<string, TargetAnnouncement>();

  /** Handlers that the control process adds to its frame server. */
  readonly handlers: Readonly<Record<string, MessageHandler>> = {
    [MessageName.Announce]: (body) => {
      const announcement = body as TargetAnnouncement;
      this.#targets.set(announcement.target, announcement);
      return { accepted: true };
    },
    [MessageName.FetchTargets]: () => [...this.#targets.values()],
  };
}
