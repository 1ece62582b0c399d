import type { Clock } from "@clementinemux/common/Clock";
import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import type { FleetDefaults } from "@clementinemux/fleet/FleetDefaults";
import type { EntryAnnouncement } from "@clementinemux/messages/EntryAnnouncement";
import type { TargetView } from "@clementinemux/policy/TargetView";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { RelayCaller } from "./RelayCaller";
import { TargetLink } from "./TargetLink";

const relayTimeoutMs = 1000;

/** What this entry knows of targets and other entries, refreshed from a relay and from the agents. */
export class FleetView {
  readonly #relays: RelayCaller;
  readonly #clock: Clock;
  readonly #links = new Map<string, TargetLink>();
  #entries: readonly EntryAnnouncement[] = [];

  constructor(relays: RelayCaller, clock: Clock) {
    this.#relays = relays;
    this.#clock = clock;
  }

  get entries(): readonly EntryAnnouncement[] {
    return this.#entries;
  }

  getLink(target: string): TargetLink | null {
    return this.#links.get(target) ?? null;
  }

  getTargets(permitMaxAgeMs: number): readonly TargetView[] {
    const nowMs = this.#clock.monotonicMs();
    return [...this.#links.values()].map((link) => link.getView(nowMs, permitMaxAgeMs));
  }

  /** Announces this entry and fetches targets and entries. Keeps the last known ones when no relay answers. */
  async refreshDirectory(self: EntryAnnouncement, defaults: FleetDefaults): Promise<void> {
    const [targets, entries] = await Promise.all([
      this.#relays.call(MessageName.FetchTargets, { entry: self.entry }, relayTimeoutMs),
      this.#relays.call(MessageName.FetchEntries, {}, relayTimeoutMs),
      this.announce(self),
    ]);
    if (targets !== null) {
      this.#learnTargets(targets.body as readonly TargetAnnouncement[], defaults);
    }
    if (entries !== null) {
      this.#entries = entries.body as readonly EntryAnnouncement[];
    }
  }

  /** Resolves with whether a relay has taken the announcement. */
  async announce(self: EntryAnnouncement): Promise<boolean> {
    return (await this.#relays.call(MessageName.AnnounceEntry, self, relayTimeoutMs)) !== null;
  }

  async pollTargets(defaults: FleetDefaults): Promise<void> {
    const timeoutMs = Math.min(relayTimeoutMs, defaults.permitMaxAgeMs / 3);
    const readNowMs = (): number => this.#clock.monotonicMs();
    await Promise.all([...this.#links.values()].map((link) => link.poll(timeoutMs, readNowMs)));
  }

  async close(): Promise<void> {
    await Promise.all([...this.#links.values()].map((link) => link.destroy()));
  }

  #learnTargets(announcements: readonly TargetAnnouncement[], defaults: FleetDefaults): void {
    const present = new Set(announcements.map(({ target }) => target));
    for (const [target, link] of this.#links) {
      if (!present.has(target)) {
        link.close();
        this.#links.delete(target);
      }
    }
    for (const announcement of announcements) {
      const known = this.#links.get(announcement.target);
      if (known !== undefined && known.announcement.incarnation >= announcement.incarnation) {
        continue;
      }
      known?.close();
      this.#links.set(announcement.target, new TargetLink(announcement, defaults.connectTimeoutMs));
    }
  }
}
