import type { Clock } from "@clementinemux/common/Clock";
import { getOwn } from "@clementinemux/common/getOwn";
import type { LimitTable } from "@clementinemux/registry/LimitTable";
import type { PermitAnswer } from "@clementinemux/registry/PermitAnswer";
import type { PermitAsk } from "@clementinemux/registry/PermitAsk";
import type { PermitRequest } from "@clementinemux/registry/PermitRequest";
import type { PermitResponse } from "@clementinemux/registry/PermitResponse";
import type { TargetIncarnation } from "@clementinemux/registry/TargetIncarnation";
import type { TargetRegistry } from "@clementinemux/registry/TargetRegistry";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { PeerLinks } from "@clementinemux/wire/PeerLinks";
import type { ReplicatedGroup } from "../ReplicatedGroup";
import { callLeader } from "../callLeader";
import type { CoordinatorMetrics } from "../routes/CoordinatorMetrics";
import type { ColdRates } from "./ColdRates";
import { FleetLimiter } from "./FleetLimiter";
import { PermitOutcome } from "./PermitOutcome";

interface PermitServiceOptions {
  readonly group: Pick<ReplicatedGroup, "hasLease" | "core" | "getLeaderAddress" | "createNotLeaderError">;
  readonly limits: LimitTable;
  readonly targets: TargetRegistry;
  readonly links: PeerLinks;
  readonly coldRates: ColdRates;
  readonly metrics: Pick<CoordinatorMetrics, "permits" | "coldPermits">;
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
    if (!limits.isEmpty || !this.#limiter.isEmpty) {
      const listed = targets.list(nowMs);
      limits.retain(listed, nowMs);
      this.#limiter.retain(listed, nowMs);
    }
  }

  #takeAsLeader({ asks, limits: stated, coldRatesPerS = {} }: PermitRequest): PermitResponse {
    const { group, limits, coldRates, clock } = this.#options;
    const nowMs = clock.monotonicMs();
    limits.merge(stated, nowMs);
    const getColdRatePerS = (target: TargetIncarnation): number | null =>
      coldRates.getRatePerS(target, getOwn(coldRatesPerS, target.id) ?? null, nowMs);
    const answers = asks.map((ask) => {
      const answer = this.#limiter.take(ask, group.core.term, nowMs, getColdRatePerS);
      this.#count(ask, answer, coldRatesPerS);
      return answer;
    });
    return { answers, knowsCold: true };
  }

  /** A granted permit counts as one for a cold target if its target is cold, a refusal if any target of the request is. */
  #count(
    { targets }: PermitAsk,
    { target }: PermitAnswer,
    coldRatesPerS: Readonly<Record<string, number>>,
  ): void {
    const { metrics } = this.#options;
    const outcome = target === null ? PermitOutcome.Refused : PermitOutcome.Granted;
    const ids = target === null ? targets.map(({ id }) => id) : [target];
    metrics.permits.add(outcome);
    if (ids.some((id) => getOwn(coldRatesPerS, id) !== undefined)) {
      metrics.coldPermits.add(outcome);
    }
  }
}
