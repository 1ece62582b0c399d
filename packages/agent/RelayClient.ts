import type { Clock } from "@clementinemux/common/Clock";
import type { Random } from "@clementinemux/common/Random";
import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import { completeRenewal } from "@clementinemux/control/completeRenewal";
import type { AnnounceResult } from "@clementinemux/membership/AnnounceResult";
import type { ConfigPart } from "@clementinemux/messages/ConfigPart";
import { LeaseholderKind } from "@clementinemux/messages/LeaseholderKind";
import type { RenewRequest } from "@clementinemux/messages/RenewRequest";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcClient } from "@clementinemux/wire/RpcClient";
import type { TlsFiles } from "@clementinemux/wire/TlsFiles";
import { parseAddress } from "@clementinemux/wire/parseAddress";
import { RelaySelector } from "./RelaySelector";

interface RelayClientOptions {
  readonly relays: readonly string[];
  readonly tls: TlsFiles | undefined;
  readonly announcement: TargetAnnouncement;
  readonly clock: Clock;
  readonly random: Random;
  readonly getRevision: () => number;
  readonly onRenewed: (response: RenewResponse, sentAtMs: number) => void;
  readonly onSuperseded: () => void;
}

const callTimeoutMs = 800;
// A burst of requests with a newer revision causes a single renewal.
const minRenewIntervalMs = 50;

/** Announces the target to its relays and renews the serving lease through them. */
export class RelayClient {
  readonly #options: RelayClientOptions;
  readonly #clients: readonly RpcClient[];
  readonly #selector: RelaySelector;
  /** Relays that have accepted the announcement. */
  readonly #announced = new Set<number>();
  readonly #callsInFlight = new Set<number>();
  #isRenewing = false;
  #renewedAtMs = -Infinity;

  constructor(options: RelayClientOptions) {
    this.#options = options;
    this.#clients = options.relays.map(
      (relay) => new RpcClient({ address: parseAddress(relay), tls: options.tls }),
    );
    this.#selector = new RelaySelector(options.relays.length, options.random);
  }

  /**
   * Sends the target's heartbeat to the chosen relays and renews the lease. Called once per heartbeat
   * interval.
   */
  async sendHeartbeats(): Promise<void> {
    const chosen = this.#selector.choose(this.#options.clock.monotonicMs());
    for (const index of this.#announced) {
      if (!chosen.includes(index)) {
        this.#announced.delete(index);
      }
    }
    await Promise.all([this.renew(), ...chosen.map((index) => this.#sendHeartbeat(index))]);
  }

  /** Renews the lease through the first relay that returns a confirmed response. */
  async renew(): Promise<void> {
    const { clock, announcement, getRevision, onRenewed } = this.#options;
    if (this.#isRenewing || clock.monotonicMs() - this.#renewedAtMs < minRenewIntervalMs) {
      return;
    }
    this.#isRenewing = true;
    try {
      for (const index of this.#selector.choose(clock.monotonicMs())) {
        const sentAtMs = clock.monotonicMs();
        const request: RenewRequest = {
          holder: announcement.target,
          incarnation: announcement.incarnation,
          kind: LeaseholderKind.Agent,
          failureDomain: announcement.failureDomain,
          region: announcement.region,
          appliedRevision: getRevision(),
        };
        const received = (await this.#call(index, MessageName.Renew, request)) as RenewResponse | null;
        if (received !== null) {
          const response = await completeRenewal(
            received,
            async (part) => (await this.#call(index, MessageName.FetchConfig, part)) as ConfigPart | null,
          );
          onRenewed(response, sentAtMs);
          if (response.confirmed) {
            return;
          }
        }
      }
    } finally {
      this.#isRenewing = false;
      this.#renewedAtMs = clock.monotonicMs();
    }
  }

  /** Response of the nearest relay that responds; null when none does. */
  async call(name: MessageName, body: unknown): Promise<unknown> {
    const { clock } = this.#options;
    for (const index of this.#selector.choose(clock.monotonicMs())) {
      const response = await this.#clients[index]?.call(name, body, callTimeoutMs);
      if (response?.isRight() === true) {
        return response.extract();
      }
    }
    return null;
  }

  /** Announces to the relays that the target is leaving. */
  async announceLeaving(): Promise<void> {
    const body = { ...this.#options.announcement, leaving: true };
    const announcedClients = this.#clients.filter((_, index) => this.#announced.has(index));
    await Promise.all(
      announcedClients.map((client) => client.call(MessageName.Announce, body, callTimeoutMs)),
    );
  }

  close(): void {
    for (const client of this.#clients) {
      client.close();
    }
  }

  async #call(index: number, name: MessageName, body: unknown): Promise<unknown> {
    const response = await this.#clients[index]?.call(name, body, callTimeoutMs);
    return response?.toMaybe().extractNullable() ?? null;
  }

  async #sendHeartbeat(index: number): Promise<void> {
    const { announcement, clock, onSuperseded } = this.#options;
    const client = this.#clients[index];
    if (client === undefined || this.#callsInFlight.has(index)) {
      return;
    }
    this.#callsInFlight.add(index);
    const { target, incarnation } = announcement;
    const response = this.#announced.has(index)
      ? await client.call(MessageName.Heartbeat, { target, incarnation }, callTimeoutMs)
      : await client.call(MessageName.Announce, announcement, callTimeoutMs);
    this.#callsInFlight.delete(index);
    const result = response.toMaybe().extractNullable() as AnnounceResult | null;
    if (result === null) {
      this.#announced.delete(index);
      this.#selector.onFailure(index, clock.monotonicMs());
      return;
    }
    this.#selector.onSuccess(index);
    if (result.superseded) {
      onSuperseded();
    } else if (result.accepted) {
      this.#announced.add(index);
    } else {
      // The relay has restarted or has removed the target's record; the next call announces the target again.
      this.#announced.delete(index);
    }
  }
}
