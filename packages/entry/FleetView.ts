import type { Clock } from "@clementinemux/common/Clock";
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
  /** Name of this entry, by which relays assign its subset. */
  readonly entry: string;
  readonly tls: TlsFiles | undefined;
}

const relayTimeoutMs = 1000;
// A fleet of this size is polled whole: a subset of single targets would leave too few to choose from.
const allUpTo = 64;

/** What this entry knows of targets and other entries, refreshed from a relay and from the agents. */
export class FleetView {
  readonly #options: FleetViewOptions;
  readonly #links = new Map<string, TargetLink>();
  readonly #entries = new Map<string, EntryAnnouncement>();
  #entriesSince: FetchEntriesRequest["since"] = null;
  #since: FetchTargetsRequest["since"] = null;

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

  /** Announces this entry and fetches targets and entries. Keeps the last known ones when no relay answers. */
  async refreshDirectory(self: EntryAnnouncement, defaults: FleetDefaults): Promise<void> {
    await Promise.all([this.#refreshTargets(defaults), this.#refreshEntries(), this.announce(self)]);
  }

  /** Resolves with whether a relay has taken the announcement. */
  async announce(self: EntryAnnouncement): Promise<boolean> {
    return (await this.#options.relays.call(MessageName.AnnounceEntry, self, relayTimeoutMs)) !== null;
  }

  async pollTargets(defaults: FleetDefaults): Promise<void> {
    const timeoutMs = Math.min(relayTimeoutMs, defaults.permitMaxAgeMs / 3);
    const readNowMs = (): number => this.#options.clock.monotonicMs();
    await Promise.all([...this.#links.values()].map((link) => link.poll(timeoutMs, readNowMs)));
  }

  async close(): Promise<void> {
    await Promise.all([...this.#links.values()].map((link) => link.destroy()));
  }

  /** Fetches only what has changed: the whole list of a large fleet is several times the budget of an entry. */
  async #refreshEntries(): Promise<void> {
    const request: FetchEntriesRequest = { since: this.#entriesSince ?? null };
    const answer = await this.#options.relays.call(MessageName.FetchEntries, request, relayTimeoutMs);
    if (answer === null) {
      return;
    }
    const { directory, version, full, entries, removed } = answer.body as FetchEntriesResponse;
    if (full) {
      this.#entries.clear();
    }
    for (const name of removed) {
      this.#entries.delete(name);
    }
    for (const announcement of entries) {
      this.#entries.set(announcement.entry, announcement);
    }
    this.#entriesSince = { directory, version };
  }

  /** Fetches what has changed since the last answer, in parts. */
  async #refreshTargets(defaults: FleetDefaults): Promise<void> {
    for (;;) {
      const request: FetchTargetsRequest = {
        since: this.#since ?? null,
        subset: { entry: this.#options.entry, groupCount: defaults.subsetGroups, allUpTo },
      };
      const answer = await this.#options.relays.call(MessageName.FetchTargets, request, relayTimeoutMs);
      if (answer === null) {
        return;
      }
      const response = answer.body as FetchTargetsResponse;
      this.#learnTargets(response, defaults);
      const { directory, version, subset, more } = response;
      this.#since = { directory, version, subset };
      if (!more) {
        return;
      }
    }
  }

  #learnTargets(response: FetchTargetsResponse, defaults: FleetDefaults): void {
    const { full, targets, weights, removed } = response;
    const present = new Set(targets.map(({ target }) => target));
    const gone = full ? [...this.#links.keys()].filter((target) => !present.has(target)) : removed;
    for (const target of gone) {
      this.#links.get(target)?.close();
      this.#links.delete(target);
    }
    for (const announcement of targets) {
      const known = this.#links.get(announcement.target);
      if (known === undefined || known.announcement.incarnation < announcement.incarnation) {
        known?.close();
        const { tls } = this.#options;
        this.#links.set(
          announcement.target,
          new TargetLink(announcement, { connectTimeoutMs: defaults.connectTimeoutMs, tls }),
        );
      }
      this.#links.get(announcement.target)?.setMembershipWeight(weights[announcement.target] ?? 1);
    }
  }
}
