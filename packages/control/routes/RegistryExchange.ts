import type { Clock } from "@clementinemux/common/Clock";
import type { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import type { EntryRegistry } from "@clementinemux/registry/EntryRegistry";
import type { ExchangeRequest } from "@clementinemux/registry/ExchangeRequest";
import type { ExchangeResponse } from "@clementinemux/registry/ExchangeResponse";
import type { LimitTable } from "@clementinemux/registry/LimitTable";
import type { SlowdownTable } from "@clementinemux/registry/SlowdownTable";
import type { TargetRegistry } from "@clementinemux/registry/TargetRegistry";
import type { TargetReports } from "../ends/TargetReports";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { WireErrorCode } from "@clementinemux/wire/WireErrorCode";
import { CoordinatorHandler } from "./CoordinatorHandler";
import type { CrashFeed } from "./CrashFeed";
import type { PeerTable } from "./PeerTable";

interface ExchangeOptions {
  readonly name: string;
  readonly address: string;
  readonly incarnation: string;
  readonly replicaId: string;
  readonly failureDomain: string;
  readonly isDurable: boolean;
  readonly links: PeerLinks;
  readonly peers: PeerTable;
  readonly targets: TargetRegistry;
  readonly reports: TargetReports;
  readonly entries: EntryRegistry;
  readonly slowdowns: SlowdownTable;
  readonly crashes: CrashFeed;
  readonly limits: LimitTable;
  readonly isLeading: () => boolean;
  readonly errors: ErrorBoundary<CoordinatorHandler>;
  readonly clock: Clock;
}

type Peer = PeerTable["peers"][number];

const callTimeoutMs = 500;

/**
 * Synchronizes the registries of the coordinators: each sends the others its changes since their last
 * confirmation.
 */
export class RegistryExchange {
  readonly #options: ExchangeOptions;
  /** Peers that get another call as soon as the one in flight has ended. */
  readonly #pending = new Set<Peer>();

  constructor(options: ExchangeOptions) {
    this.#options = options;
  }

  /** Sends changes to every peer without a call in flight. */
  async send(): Promise<void> {
    const idlePeers = this.#options.peers.peers.filter(({ isCallInFlight }) => !isCallInFlight);
    await Promise.all(idlePeers.map((peer) => this.#sendSafely(peer)));
  }

  /** Sends changes to every peer now, or after the call that is in flight to it. */
  sendSoon(): void {
    for (const peer of this.#options.peers.peers) {
      if (peer.isCallInFlight) {
        this.#pending.add(peer);
      } else {
        void this.#sendSafely(peer);
      }
    }
  }

  /** Applies the changes sent by a peer. */
  receive(request: ExchangeRequest): ExchangeResponse {
    const { name, incarnation, replicaId, failureDomain, isDurable } = this.#options;
    const { peers, reports, entries, clock } = this.#options;
    const nowMs = clock.monotonicMs();
    peers.recordMessage(request.address, request, nowMs);
    peers.addHints(request.coordinators, nowMs);
    for (const { item, ageMs } of request.targets) {
      reports.receive(item, nowMs - ageMs, request.from);
    }
    this.#options.slowdowns.merge(request.paces, nowMs);
    if (request.crashes !== undefined) {
      this.#options.crashes.merge(request.crashes);
    }
    this.#options.limits.merge(request.limits ?? [], nowMs);
    for (const { item, ageMs } of request.entries) {
      entries.put(item, nowMs - ageMs, request.from);
    }
    return { from: name, incarnation, replicaId, failureDomain, isDurable, coordinators: this.#listSeen() };
  }

  /** Sends changes to a peer. An odd response costs only this exchange. */
  async #sendSafely(peer: Peer): Promise<void> {
    await this.#options.errors.runAsync(CoordinatorHandler.Message, () => this.#sendTo(peer));
  }

  async #sendTo(peer: Peer): Promise<void> {
    const { name, address, incarnation, replicaId, failureDomain, isDurable } = this.#options;
    const { links, peers, targets, entries, slowdowns, isLeading, clock } = this.#options;
    const sentAtMs = clock.monotonicMs();
    const change = targets.lastChangeNumber;
    const changed = targets.changedSince(peer.confirmedChange);
    const forwarded = targets.seenSince(peer.forwardedUntilMs, peer.name ?? "");
    const records = new Map([...changed, ...forwarded].map((record) => [record.target.id, record]));
    const request: ExchangeRequest = {
      from: name,
      address,
      incarnation,
      replicaId,
      failureDomain,
      isDurable,
      targets: [...records.values()].map(({ target, lastSeenAtMs }) => ({
        item: target,
        ageMs: sentAtMs - lastSeenAtMs,
      })),
      entries: entries.listDirect(sentAtMs).map(({ entry, ageMs }) => ({ item: entry, ageMs })),
      paces: isLeading() ? slowdowns.list(sentAtMs) : {},
      crashes: this.#options.crashes.getEvidence(),
      limits: this.#options.limits.listOwn(sentAtMs),
      coordinators: this.#listSeen(),
    };
    peer.isCallInFlight = true;
    const answer = await links.call(peer.address, MessageName.ExchangeRegistry, request, callTimeoutMs);
    peer.isCallInFlight = false;
    if (this.#pending.delete(peer) && answer.isRight()) {
      void this.#sendSafely(peer);
    }
    answer.ifLeft((error) => {
      // Unlike a peer that is gone, this does not pass by itself: the peer gets no changes any more.
      if (error.code === WireErrorCode.FrameTooLarge) {
        this.#options.errors.note(CoordinatorHandler.Message, error);
      }
    });
    answer.ifRight((body) => {
      const response = body as ExchangeResponse;
      const nowMs = clock.monotonicMs();
      const isSameIncarnation = peer.incarnation === null || peer.incarnation === response.incarnation;
      peers.recordMessage(peer.address, response, nowMs);
      peers.addHints(response.coordinators, nowMs);
      if (isSameIncarnation) {
        peer.confirmedChange = Math.max(peer.confirmedChange, change);
        peer.forwardedUntilMs = Math.max(peer.forwardedUntilMs, sentAtMs);
      }
    });
  }

  /**
   * Addresses of peers that have sent a message. Passing on mere hints would keep dead addresses in use
   * forever.
   */
  #listSeen(): string[] {
    return this.#options.peers.peers.filter(({ name }) => name !== null).map(({ address }) => address);
  }
}
