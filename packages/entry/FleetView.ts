import type { CacheEvent } from "@clementinemux/agent/CacheEvent";
import type { Clock } from "@clementinemux/common/Clock";
import { TargetKind } from "@clementinemux/common/TargetKind";
import type { FleetDefaults } from "@clementinemux/fleet/FleetDefaults";
import type { FetchEntriesRequest } from "@clementinemux/membership/FetchEntriesRequest";
import type { FetchEntriesResponse } from "@clementinemux/membership/FetchEntriesResponse";
import type { FetchTargetsRequest } from "@clementinemux/membership/FetchTargetsRequest";
import type { FetchTargetsResponse } from "@clementinemux/membership/FetchTargetsResponse";
import type { EntryAnnouncement } from "@clementinemux/messages/EntryAnnouncement";
import type { TargetView } from "@clementinemux/policy/TargetView";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { TlsFiles } from "@clementinemux/wire/TlsFiles";
import type { RelayCaller } from "./RelayCaller";
import { TargetLink } from "./TargetLink";

interface FleetViewOptions {
  readonly relays: RelayCaller;
  readonly clock: Clock;
  /** Name of this entry. Relays derive its subset of targets from it. */
  readonly entry: string;
  readonly tls: TlsFiles | undefined;
  /** Interval between polls of the targets. Used to limit the rate of cache events. */
  readonly pollIntervalMs: number;
  readonly onCacheEvents: (target: string, events: readonly CacheEvent[]) => void;
}

const relayTimeoutMs = 1000;
// Fleets up to this size are polled completely, because a subset would leave too few targets to choose from.
const allUpTo = 64;
// 2 KB/s of the 11 KB/s budget for control traffic per node. An event takes up to 26 bytes of JSON.
const cacheEventBytesPerS = 2000;
const cacheEventBytes = 26;

/** This entry's view of targets and other entries, refreshed from a relay and from the agents. */
export class FleetView {
  readonly #options: FleetViewOptions;
  readonly #links = new Map<string, TargetLink>();
  readonly #entries = new Map<string, EntryAnnouncement>();
  #entriesVersion: FetchEntriesRequest["since"] = null;
  #quotaOffset = 0;
  #targetsVersion: FetchTargetsRequest["since"] = null;

  constructor(options: FleetViewOptions) {
    this.#options = options;
  }

  get entries(): readonly EntryAnnouncement[] {
    return [...this.#entries.values()];
  }

  getLink(target: string): TargetLink | null {
    return this.#links.get(target) ?? null;
  }

  getTargets(permitMaxAgeMs: number): readonly TargetView[] {
    const nowMs = this.#options.clock.monotonicMs();
    return [...this.#links.values()].map((link) => link.getView(nowMs, permitMaxAgeMs));
  }

  /** Announces this entry and fetches targets and entries. Keeps the previous ones when no relay responds. */
  async refreshDirectory(self: EntryAnnouncement, defaults: FleetDefaults): Promise<void> {
    await Promise.all([this.#refreshTargets(defaults), this.#refreshEntries(), this.announce(self)]);
  }

  /** Resolves with whether a relay has accepted the announcement. */
  async announce(self: EntryAnnouncement): Promise<boolean> {
    return (await this.#options.relays.call(MessageName.AnnounceEntry, self, relayTimeoutMs)) !== null;
  }

  async pollTargets(defaults: FleetDefaults): Promise<void> {
    const timeoutMs = Math.min(relayTimeoutMs, defaults.permitMaxAgeMs / 3);
    const readNowMs = (): number => this.#options.clock.monotonicMs();
    const links = [...this.#links.values()];
    this.#allotCacheEvents(links.filter(({ announcement }) => announcement.kind === TargetKind.Engine));
    await Promise.all(links.map((link) => link.poll(timeoutMs, readNowMs)));
  }

  async close(): Promise<void> {
    await Promise.all([...this.#links.values()].map((link) => link.destroy()));
  }

  /**
   * Fetches only changes, because the full list of a large fleet is several times an entry's traffic budget.
   */
  async #refreshEntries(): Promise<void> {
    const request: FetchEntriesRequest = { since: this.#entriesVersion ?? null };
    const response = await this.#options.relays.call(MessageName.FetchEntries, request, relayTimeoutMs);
    if (response === null) {
      return;
    }
    const { directory, version, full, entries, removed } = response.body as FetchEntriesResponse;
    if (full) {
      this.#entries.clear();
    }
    for (const name of removed) {
      this.#entries.delete(name);
    }
    for (const announcement of entries) {
      this.#entries.set(announcement.entry, announcement);
    }
    this.#entriesVersion = { directory, version };
  }

  /** Divides the event quota of one poll among the targets. The remainder rotates among them. */
  #allotCacheEvents(links: readonly TargetLink[]): void {
    const eventsPerPoll = Math.floor(
      (cacheEventBytesPerS * this.#options.pollIntervalMs) / 1000 / cacheEventBytes,
    );
    const eventsPerTarget = Math.floor(eventsPerPoll / Math.max(1, links.length));
    const remainder = eventsPerPoll - eventsPerTarget * links.length;
    for (const [index, link] of links.entries()) {
      const rotatedIndex = (index + this.#quotaOffset) % links.length;
      link.cacheEventLimit = eventsPerTarget + (rotatedIndex < remainder ? 1 : 0);
    }
    this.#quotaOffset += Math.max(1, remainder);
  }

  /** Fetches the changes since the last response, in parts. */
  async #refreshTargets(defaults: FleetDefaults): Promise<void> {
    for (;;) {
      const request: FetchTargetsRequest = {
        since: this.#targetsVersion ?? null,
        subset: { entry: this.#options.entry, groupCount: defaults.subsetGroups, allUpTo },
      };
      const reply = await this.#options.relays.call(MessageName.FetchTargets, request, relayTimeoutMs);
      if (reply === null) {
        return;
      }
      const response = reply.body as FetchTargetsResponse;
      this.#applyTargetUpdate(response, defaults);
      const { directory, version, subset, more } = response;
      this.#targetsVersion = { directory, version, subset };
      if (!more) {
        return;
      }
    }
  }

  #applyTargetUpdate(response: FetchTargetsResponse, defaults: FleetDefaults): void {
    const { full, targets, weights, removed } = response;
    const present = new Set(targets.map(({ target }) => target));
    const gone = full ? [...this.#links.keys()].filter((target) => !present.has(target)) : removed;
    for (const target of gone) {
      this.#links.get(target)?.close();
      this.#links.delete(target);
    }
    for (const announcement of targets) {
      const existing = this.#links.get(announcement.target);
      if (existing === undefined || existing.announcement.incarnation < announcement.incarnation) {
        existing?.close();
        const { tls, onCacheEvents } = this.#options;
        this.#links.set(
          announcement.target,
          new TargetLink(announcement, { connectTimeoutMs: defaults.connectTimeoutMs, tls, onCacheEvents }),
        );
      }
      this.#links.get(announcement.target)?.setMembershipWeight(weights[announcement.target] ?? 1);
    }
  }
}
