import type { ExchangeRequest } from "@clementinemux/registry/ExchangeRequest";
import type { ExchangeResponse } from "@clementinemux/registry/ExchangeResponse";
import type { AnnouncedReplica } from "./AnnouncedReplica";

interface Peer {
  readonly address: string;
  /** When the last message of the peer was received, by this process's monotonic clock. */
  lastSeenAtMs: number;
  name: string | null;
  replicaId: string | null;
  failureDomain: string | null;
  isDurable: boolean;
  /** Incarnation of the peer that confirmed `confirmedChange`. */
  incarnation: string | null;
  /** Latest change of this process's registry that the peer has confirmed. */
  confirmedChange: number;
  /** Time up to which heartbeats of targets were forwarded to the peer. */
  forwardedUntilMs: number;
  isCallInFlight: boolean;
}

/** Peers that were silent for this long and are not listed elsewhere are removed. */
const removeAfterMs = 15_000;
/** A peer seen within this time is likely to respond at once: peers exchange registries every 200 ms. */
const recentMs = 450;
/** Replicas that were silent for this long no longer count as announced. */
const announcedMs = 1500;

/**
 * Coordinators known to this process. Received address lists are only hints, since any of them may be
 * outdated.
 */
export class PeerTable {
  readonly #ownAddress: string;
  readonly #peers = new Map<string, Peer>();

  constructor(ownAddress: string) {
    this.#ownAddress = ownAddress;
  }

  get peers(): readonly Peer[] {
    return [...this.#peers.values()];
  }

  addHints(addresses: readonly string[], nowMs: number): void {
    for (const address of addresses) {
      if (address !== this.#ownAddress && !this.#peers.has(address)) {
        this.#peers.set(address, {
          address,
          lastSeenAtMs: nowMs - announcedMs,
          name: null,
          replicaId: null,
          failureDomain: null,
          isDurable: false,
          incarnation: null,
          confirmedChange: 0,
          forwardedUntilMs: -Infinity,
          isCallInFlight: false,
        });
      }
    }
  }

  recordMessage(address: string, message: ExchangeRequest | ExchangeResponse, nowMs: number): void {
    this.addHints([address], nowMs);
    const peer = this.#peers.get(address);
    if (peer === undefined) {
      return;
    }
    peer.lastSeenAtMs = nowMs;
    peer.name = message.from;
    peer.replicaId = message.replicaId;
    peer.failureDomain = message.failureDomain;
    peer.isDurable = message.isDurable;
    if (peer.incarnation !== message.incarnation) {
      peer.incarnation = message.incarnation;
      peer.confirmedChange = 0;
      peer.forwardedUntilMs = -Infinity;
    }
  }

  /** Removes peers that were silent for `removeAfterMs`, unless `keep` lists them. */
  removeStale(keep: readonly string[], nowMs: number): void {
    for (const { address, lastSeenAtMs } of this.#peers.values()) {
      if (nowMs - lastSeenAtMs > removeAfterMs && !keep.includes(address)) {
        this.#peers.delete(address);
      }
    }
  }

  /** Address of a live peer in a failure domain, or null. */
  findInFailureDomain(failureDomain: string, nowMs: number): string | null {
    const near = this.peers.find(
      (peer) => peer.failureDomain === failureDomain && nowMs - peer.lastSeenAtMs < announcedMs,
    );
    return near?.address ?? null;
  }

  /** Address of the most recently seen peer, or null when none was seen within two exchanges. */
  findMostRecent(nowMs: number): string | null {
    const live = this.peers.filter(({ lastSeenAtMs }) => nowMs - lastSeenAtMs < recentMs);
    live.sort((left, right) => right.lastSeenAtMs - left.lastSeenAtMs);
    return live[0]?.address ?? null;
  }

  /** Replicas that announced themselves within `announcedMs`, by id. */
  listAnnounced(nowMs: number): Map<string, AnnouncedReplica> {
    const live = this.peers.filter(({ lastSeenAtMs }) => nowMs - lastSeenAtMs < announcedMs);
    return new Map(
      live.flatMap(({ replicaId, name, address, isDurable }) =>
        replicaId === null || name === null ? [] : [[replicaId, { member: { name, address }, isDurable }]],
      ),
    );
  }
}
