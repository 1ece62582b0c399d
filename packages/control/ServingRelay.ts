import type { Clock } from "@clementinemux/common/Clock";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { ConfigPart } from "@clementinemux/messages/ConfigPart";
import type { FetchConfigRequest } from "@clementinemux/messages/FetchConfigRequest";
import { LeaseholderKind } from "@clementinemux/messages/LeaseholderKind";
import type { RenewRequest } from "@clementinemux/messages/RenewRequest";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";
import { MessageName } from "@clementinemux/wire/MessageName";
import { ConfigView } from "./ConfigView";
import type { ControlClient } from "./ControlClient";
import { LeaseTable } from "./LeaseTable";
import { completeRenewal } from "./completeRenewal";

interface ServingRelayOptions {
  readonly name: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly client: ControlClient;
  readonly clock: Clock;
  readonly maxClockDriftShare: number;
}

interface Confirmation {
  /** When the confirmed renewal was sent, by this process's monotonic clock. */
  readonly sentAtMs: number;
  readonly epoch: number;
  readonly revision: number;
  readonly leaseMs: number;
}

const renewDeadlineMs = 1500;

/**
 * Grants serving leases to entries and agents. No lease expires later than one lease length after this relay
 * sent its own confirmed renewal, so the leader has to track only its relays.
 */
export class ServingRelay {
  readonly view = new ConfigView();
  readonly #options: ServingRelayOptions;
  readonly #leases = new LeaseTable();
  #confirmation: Confirmation | null = null;
  #isRenewing = false;

  constructor(options: ServingRelayOptions) {
    this.#options = options;
  }

  get isConfirmed(): boolean {
    return this.#getRemainingMs() > 0;
  }

  get leaseholders(): number {
    return this.#leases.getCount(this.#options.clock.monotonicMs());
  }

  /** Renews the relay's lease at the leader, unless a renewal is in flight. */
  async renew(): Promise<void> {
    if (this.#isRenewing) {
      return;
    }
    this.#isRenewing = true;
    try {
      await this.#renewAtLeader();
    } finally {
      this.#isRenewing = false;
    }
  }

  /**
   * Renews now, even if another renewal is in flight, so that the view includes every revision accepted
   * before this call. Resolves with whether the leader confirmed it.
   */
  async refresh(): Promise<boolean> {
    const startedAtMs = this.#options.clock.monotonicMs();
    await this.#renewAtLeader();
    return (this.#confirmation?.sentAtMs ?? -Infinity) >= startedAtMs;
  }

  /** Grants or extends the lease of an entry or agent. */
  grant({ holder, incarnation, kind, region, appliedRevision }: RenewRequest): RenewResponse {
    const nowMs = this.#options.clock.monotonicMs();
    const leaseMs = Math.floor(this.#getRemainingMs());
    const isConfirmed = leaseMs > 0;
    const { revision } = this.view.config;
    if (isConfirmed) {
      const longestMs = leaseMs * (1 + 2 * this.#options.maxClockDriftShare);
      this.#leases.recordRenewal(holder, incarnation, region, appliedRevision, nowMs + longestMs);
    }
    const missing = this.view.getMissing(appliedRevision);
    const isWhole = missing.config !== null || missing.inParts === true;
    return {
      epoch: this.#confirmation?.epoch ?? 0,
      revision,
      confirmed: isConfirmed,
      leaseMs: isConfirmed ? leaseMs : 0,
      ...(isWhole && kind === LeaseholderKind.Agent
        ? { changes: [], config: selectForAgent(this.view.config, holder) }
        : missing),
    };
  }

  async #renewAtLeader(): Promise<void> {
    const { name, incarnation, failureDomain, region, client, clock } = this.#options;
    const sentAtMs = clock.monotonicMs();
    const request: RenewRequest = {
      holder: name,
      incarnation,
      kind: LeaseholderKind.Relay,
      failureDomain,
      region,
      appliedRevision: this.#leases.getLowestRevision(sentAtMs, this.view.config.revision),
      viewRevision: this.view.config.revision,
    };
    const answer = await client.call<RenewResponse>("config", MessageName.Renew, request, renewDeadlineMs);
    const received = answer.toMaybe().extractNullable();
    if (received !== null) {
      const response = await completeRenewal(received, (part) => this.#fetchPart(part));
      const isNewer = sentAtMs > (this.#confirmation?.sentAtMs ?? -Infinity);
      if (this.view.update(response) && response.confirmed && isNewer) {
        const { epoch, revision, leaseMs } = response;
        this.#confirmation = { sentAtMs, epoch, revision, leaseMs };
      }
    }
  }

  async #fetchPart(request: FetchConfigRequest): Promise<ConfigPart | null> {
    const { client } = this.#options;
    const answer = await client.call<ConfigPart>("config", MessageName.FetchConfig, request, renewDeadlineMs);
    return answer.toMaybe().extractNullable();
  }

  #getRemainingMs(): number {
    const { sentAtMs, leaseMs } = this.#confirmation ?? { sentAtMs: 0, leaseMs: 0 };
    return this.#confirmation === null ? 0 : sentAtMs + leaseMs - this.#options.clock.monotonicMs();
  }
}

/**
 * Selects the part of a whole configuration that an agent applies. When a failure domain restarts or a
 * partition heals, hundreds of agents request it from a relay within a second, and encoding all exceptions
 * for each would take longer than their timeout.
 */
function selectForAgent(config: FleetConfig, target: string): FleetConfig {
  const drain = Object.hasOwn(config.drains, target) ? config.drains[target] : undefined;
  return { ...config, exceptions: [], drains: drain === undefined ? {} : { [target]: drain } };
}
