import type { Clock } from "@clementinemux/common/Clock";
import type { Counters } from "@clementinemux/metrics/Counters";
import type { LimitTable } from "@clementinemux/registry/LimitTable";
import type { PermitRequest } from "@clementinemux/registry/PermitRequest";
import type { PermitResponse } from "@clementinemux/registry/PermitResponse";
import type { TargetRegistry } from "@clementinemux/registry/TargetRegistry";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { PeerLinks } from "@clementinemux/wire/PeerLinks";
import type { ReplicatedGroup } from "../ReplicatedGroup";
import { callLeader } from "../callLeader";
import { FleetLimiter } from "./FleetLimiter";
import { PermitOutcome } from "./PermitOutcome";

interface PermitServiceOptions {
  readonly group: Pick<ReplicatedGroup, "hasLease" | "core" | "getLeaderAddress" | "createNotLeaderError">;
  readonly limits: LimitTable;
  readonly targets: TargetRegistry;
  readonly links: PeerLinks;
  readonly outcomes: Counters<PermitOutcome>;
  readonly clock: Clock;
}

/** Shorter than a gateway waits for its permits. */
const forwardTimeoutMs = 200;

/** Handles the calls of gateways for permits: the leader grants them, the others forward the calls to it. */
export class PermitService {
  readonly #options: PermitServiceOptions;
  readonly #limiter: FleetLimiter;

  constructor(options: PermitServiceOptions) {
    this.#options = options;
    this.#limiter = new FleetLimiter(options.limits);
  }

  /** Rejects when no leader is known, or it does not answer in time: then no permits are granted. */
  async take(request: PermitRequest): Promise<PermitResponse> {
    const { group, links } = this.#options;
    if (group.hasLease) {
      return this.#takeAsLeader(request);
    }
    if (request.isForwarded) {
      throw group.createNotLeaderError();
    }
    const forwarded: PermitRequest = { ...request, isForwarded: true };
    const response = await callLeader(group, links, MessageName.TakePermits, forwarded, forwardTimeoutMs);
    return response as PermitResponse;
  }

  /** Forgets the limits and permits of incarnations that have ended. */
  retain(nowMs: number): void {
    const { limits, targets } = this.#options;
    if (!limits.isEmpty) {
      const listed = targets.list(nowMs);
      limits.retain(listed, nowMs);
      this.#limiter.retain(listed);
    }
  }

  #takeAsLeader({ asks, limits: stated }: PermitRequest): PermitResponse {
    const { group, limits, outcomes, clock } = this.#options;
    const nowMs = clock.monotonicMs();
    limits.merge(stated, nowMs);
    const answers = asks.map((ask) => this.#limiter.take(ask, group.core.term, nowMs));
    for (const { target } of answers) {
      outcomes.add(target === null ? PermitOutcome.Refused : PermitOutcome.Granted);
    }
    return { answers };
  }
}
