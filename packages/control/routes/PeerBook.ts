import type { ExchangeRequest } from "@clementinemux/registry/ExchangeRequest";
import type { ExchangeResponse } from "@clementinemux/registry/ExchangeResponse";
import type { AnnouncedReplica } from "./AnnouncedReplica";

interface Peer {
  readonly address: string;
  /** When the peer was last heard, by this process's clock. */
  heardAtMs: number;
  name: string | null;
  replicaId: string | null;
  failureDomain: string | null;
  isDurable: boolean;
  /** Start of the peer that confirmed `confirmedChange`. */
  incarnation: string | null;
  /** Change of this process's registry that the peer has confirmed. */
  confirmedChange: number;
  /** Time up to which heartbeats were passed on. */
  passedAtMs: number;
  isBusy: boolean;
}

/** Peers that were silent for this long and are not listed elsewhere are forgotten. */
const forgetMs = 15_000;
/** A peer that was heard within this time is likely to answer at once; peers exchange news every 200 ms. */
const liveMs = 450;
/** Replicas that were silent for this long no longer count as announced. */
const announcedMs = 1500;

/** Coordinators that this process knows. The lists that it is given are hints, since any of them may be outdated. */
export class PeerBook {
  readonly #ownAddress: string;
  readonly #peers = new Map<string, Peer>();

  constructor(ownAddress: string) {
    this.#ownAddress = ownAddress;
  }

  get peers(): readonly Peer[] {
    return [...this.#peers.values()];
  }

  learn(addresses: readonly string[], nowMs: number): void {
    for (const address of addresses) {
      if (address !== this.#ownAddress && !this.#peers.has(address)) {
        this.#peers.set(address, {
          address,
          heardAtMs: nowMs - announcedMs,
          name: null,
          replicaId: null,
          failureDomain: null,
          isDurable: false,
          incarnation: null,
          confirmedChange: 0,
          passedAtMs: -Infinity,
          isBusy: false,
        });
      }
    }
  }

  note(address: string, heard: ExchangeRequest | ExchangeResponse, nowMs: number): void {
    this.learn([address], nowMs);
    const peer = this.#peers.get(address);
    if (peer === undefined) {
      return;
    }
    peer.heardAtMs = nowMs;
    peer.name = heard.from;
    peer.replicaId = heard.replicaId;
    peer.failureDomain = heard.failureDomain;
    peer.isDurable = heard.isDurable;
    if (peer.incarnation !== heard.incarnation) {
      peer.incarnation = heard.incarnation;
      peer.confirmedChange = 0;
      peer.passedAtMs = -Infinity;
    }
  }

  /** Forgets peers that were silent for long, unless `keep` names them. */
  forget(keep: readonly string[], nowMs: number): void {
    for (const { address, heardAtMs } of this.#peers.values()) {
      if (nowMs - heardAtMs > forgetMs && !keep.includes(address)) {
        this.#peers.delete(address);
      }
    }
  }

  /** Address of a live peer in a failure domain, or null. */
  findNear(failureDomain: string, nowMs: number): string | null {
    const near = this.peers.find(
      (peer) => peer.failureDomain === failureDomain && nowMs - peer.heardAtMs < announcedMs,
    );
    return near?.address ?? null;
  }

  /** Address of the peer that was heard last, or null when none was heard within two exchanges. */
  findLive(nowMs: number): string | null {
    const live = this.peers.filter(({ heardAtMs }) => nowMs - heardAtMs < liveMs);
    live.sort((left, right) => right.heardAtMs - left.heardAtMs);
    return live[0]?.address ?? null;
  }

  /** Replicas that announced themselves lately. */
  listAnnounced(nowMs: number): Map<string, AnnouncedReplica> {
    const live = this.peers.filter(({ heardAtMs }) => nowMs - heardAtMs < announcedMs);
    return new Map(
      live.flatMap(({ replicaId, name, address, isDurable }) =>
        replicaId === null || name === null ? [] : [[replicaId, { member: { name, address }, isDurable }]],
      ),
    );
  }
}
