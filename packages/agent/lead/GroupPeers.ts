import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import type { FetchTargetsRequest } from "@clementinemux/membership/FetchTargetsRequest";
import type { FetchTargetsResponse } from "@clementinemux/membership/FetchTargetsResponse";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { TlsFiles } from "@clementinemux/wire/TlsFiles";
import type { TargetClient } from "../TargetClient";
import { createPeerClient } from "./createPeerClient";

interface Peer {
  readonly announcement: TargetAnnouncement;
  readonly client: TargetClient;
}

interface GroupPeersOptions {
  readonly group: string;
  readonly tls: TlsFiles | undefined;
  /** Calls a relay; null when none responds. */
  readonly call: (name: MessageName, body: unknown) => Promise<unknown>;
}

const pageLimit = 500;

/** Agents of the leader's group, from the directory, and the number of groups that share the weight store. */
export class GroupPeers {
  readonly #options: GroupPeersOptions;
  readonly #peers = new Map<number, Peer>();
  /** Group by target, for every announced rank of the fleet. */
  readonly #groupByTarget = new Map<string, string>();
  #since: FetchTargetsRequest["since"] = null;
  #isRefreshing = false;
  #groupCount = 1;

  constructor(options: GroupPeersOptions) {
    this.#options = options;
  }

  get groupCount(): number {
    return this.#groupCount;
  }

  get ranks(): number[] {
    return [...this.#peers.keys()];
  }

  getClient(rank: number): TargetClient | null {
    return this.#peers.get(rank)?.client ?? null;
  }

  getFailureDomain(rank: number): string {
    return this.#peers.get(rank)?.announcement.failureDomain ?? "";
  }

  /** Fetches changes of the directory. Keeps the current state when no relay responds. */
  async refresh(): Promise<void> {
    if (this.#isRefreshing) {
      return;
    }
    this.#isRefreshing = true;
    try {
      let hasMore = true;
      while (hasMore) {
        const request: FetchTargetsRequest = { since: this.#since ?? null, limit: pageLimit };
        const response = (await this.#options.call(
          MessageName.FetchTargets,
          request,
        )) as FetchTargetsResponse | null;
        hasMore = response?.more ?? false;
        if (response !== null) {
          await this.#applyResponse(response);
        }
      }
    } finally {
      this.#isRefreshing = false;
      this.#groupCount = Math.max(1, new Set(this.#groupByTarget.values()).size);
    }
  }

  close(): void {
    for (const { client } of this.#peers.values()) {
      client.close();
    }
    this.#peers.clear();
  }

  async #applyResponse({
    full,
    targets,
    removed,
    directory,
    version,
    subset,
  }: FetchTargetsResponse): Promise<void> {
    this.#since = { directory, version, subset };
    if (full) {
      this.#groupByTarget.clear();
    }
    for (const target of removed) {
      this.#groupByTarget.delete(target);
    }
    for (const announcement of targets) {
      if (announcement.group !== "") {
        this.#groupByTarget.set(announcement.target, announcement.group);
      }
      if (announcement.group === this.#options.group) {
        await this.#updatePeer(announcement);
      }
    }
  }

  /** A peer is kept without its directory entry: it may be armed, which only its status can show. */
  async #updatePeer(announcement: TargetAnnouncement): Promise<void> {
    const current = this.#peers.get(announcement.rank);
    if (current !== undefined && current.announcement.incarnation >= announcement.incarnation) {
      return;
    }
    current?.client.close();
    const client = await createPeerClient(announcement.address, this.#options.tls);
    this.#peers.set(announcement.rank, { announcement, client });
  }
}
