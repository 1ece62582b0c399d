import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import type { DecideMapRequest } from "@clementinemux/messages/DecideMapRequest";
import type { DecideMapResponse } from "@clementinemux/messages/DecideMapResponse";
import type { GroupLeaseRequest } from "@clementinemux/messages/GroupLeaseRequest";
import type { GroupLeaseResponse } from "@clementinemux/messages/GroupLeaseResponse";
import type { InForceResponse } from "@clementinemux/messages/InForceResponse";
import { ProposeOutcome } from "@clementinemux/messages/ProposeOutcome";
import type { ProposeRequest } from "@clementinemux/messages/ProposeRequest";
import type { ProposeResponse } from "@clementinemux/messages/ProposeResponse";
import type { RenewRequest } from "@clementinemux/messages/RenewRequest";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";
import { ConfigCommandKind } from "./ConfigCommandKind";
import type { ConfigCommand } from "./ConfigCommand";
import type { ConfigStateMachine } from "./ConfigStateMachine";
import { ConfigView } from "./ConfigView";
import { ControlError } from "./ControlError";
import { ControlErrorCode } from "./ControlErrorCode";
import type { GroupLeaseRecord } from "./GroupLeaseRecord";
import type { HistoryRecord } from "./HistoryRecord";
import { LeaseTable } from "./LeaseTable";
import { ProposeSchema } from "./ProposeSchema";
import type { ReplicatedGroup } from "./ReplicatedGroup";

interface ConfigServiceOptions {
  readonly group: () => ReplicatedGroup;
  readonly machine: ConfigStateMachine;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly maxClockDriftShare: number;
}

// Upper limit of `servingLeaseMs` in ProposeSchema.
const maxServingLeaseMs = 4500;
const groupLeaseMs = 3000;
const maxHistoryRecords = 200;

/** Handles requests to the leader of the `config` group. */
export class ConfigService {
  readonly #options: ConfigServiceOptions;
  #leases = new LeaseTable();
  #electedAtMs = Infinity;
  /** Last renewal of each rank group's lease, by this process's monotonic clock. */
  #groupRenewals = new Map<string, number>();
  #isExpiring = false;

  constructor(options: ConfigServiceOptions) {
    this.#options = options;
  }

  /**
   * A new leader does not know the leases granted before, so it assumes that they were renewed at its
   * election.
   */
  onElected(): void {
    this.#leases = new LeaseTable();
    this.#groupRenewals = new Map();
    this.#electedAtMs = this.#options.clock.monotonicMs();
  }

  async propose(body: unknown): Promise<ProposeResponse> {
    const parsed = ProposeSchema.safeParse(body);
    const group = this.#getLeader();
    if (!parsed.success) {
      const message = parsed.error.issues
        .map((issue) => `${issue.path.join(".")}: ${issue.message}`)
        .join("; ");
      const { revision } = this.#options.machine.config;
      return { outcome: ProposeOutcome.Invalid, revision, winner: null, winnerAuthor: null, message };
    }
    const request = parsed.data as ProposeRequest;
    const nowMs = this.#options.clock.wallMs();
    const response = (await this.#commit(group, {
      kind: ConfigCommandKind.Propose,
      nowMs,
      request,
    })) as ProposeResponse;
    const { author, requestId } = request;
    const { outcome, revision } = response;
    this.#options.logger.info({ author, requestId, outcome, revision }, "change proposed");
    return response;
  }

  /**
   * Renews a relay's lease. The relay counts the lease from when it sent the request, which is earlier than
   * now.
   */
  renew({ holder, incarnation, region, appliedRevision, viewRevision }: RenewRequest): RenewResponse {
    const group = this.#getLeaseholder();
    const { config, history } = this.#options.machine;
    const leaseMs = config.defaults.servingLeaseMs;
    const expiresAtMs = this.#options.clock.monotonicMs() + this.#getLongestLeaseMs();
    this.#leases.recordRenewal(holder, incarnation, region, appliedRevision, expiresAtMs);
    return {
      epoch: group.core.term,
      revision: config.revision,
      confirmed: true,
      leaseMs,
      ...ConfigView.selectMissing(config, history, viewRevision ?? appliedRevision),
    };
  }

  getInForce(revision: number): InForceResponse {
    this.#getLeaseholder();
    const nowMs = this.#options.clock.monotonicMs();
    const { config } = this.#options.machine;
    const haveEarlierLeasesExpired = nowMs >= this.#electedAtMs + this.#getLongestEarlierLeaseMs();
    const lowest = this.#leases.getLowestRevision(nowMs, config.revision);
    const unconfirmedRegions = config.exceptions
      .filter(({ override }) => override.serveWithoutControl === true)
      .map(({ selector }) => selector.region ?? "all");
    return { inForce: haveEarlierLeasesExpired && lowest >= revision, unconfirmedRegions };
  }

  getHistory(after: number): readonly HistoryRecord[] {
    this.#getLeaseholder();
    const { history } = this.#options.machine;
    return history.filter(({ revision }) => revision > after).slice(-maxHistoryRecords);
  }

  async leaseGroup(request: GroupLeaseRequest): Promise<GroupLeaseResponse> {
    const group = this.#getLeaseholder();
    const current = this.#options.machine.getGroup(request.group);
    if (current !== null && isHolder(current, request)) {
      return this.#createLeaseResponse(current, request);
    }
    const nowMs = this.#options.clock.monotonicMs();
    const renewedMs = Math.max(this.#groupRenewals.get(request.group) ?? 0, this.#electedAtMs);
    const hasExpired = nowMs - renewedMs > groupLeaseMs * (1 + 2 * this.#options.maxClockDriftShare);
    if (current !== null && !hasExpired) {
      return this.#createLeaseResponse(current, request);
    }
    const endedEpoch = current?.epoch ?? null;
    const command: ConfigCommand = { kind: ConfigCommandKind.GroupLease, request, endedEpoch };
    return this.#createLeaseResponse((await this.#commit(group, command)) as GroupLeaseRecord, request);
  }

  async decideMap(request: DecideMapRequest): Promise<DecideMapResponse> {
    const command: ConfigCommand = { kind: ConfigCommandKind.DecideMap, request };
    const answer = (await this.#commit(this.#getLeader(), command)) as DecideMapResponse | string;
    if (typeof answer === "string") {
      throw new ControlError(ControlErrorCode.Refused, answer);
    }
    return answer;
  }

  /** Commits the removal of exceptions that have expired by the leader's clock. */
  async expireExceptions(): Promise<void> {
    const group = this.#options.group();
    if (this.#isExpiring || !group.hasLease) {
      return;
    }
    this.#isExpiring = true;
    const nowMs = this.#options.clock.wallMs();
    for (const { id, expiresAtMs } of this.#options.machine.config.exceptions) {
      if (expiresAtMs !== null && expiresAtMs <= nowMs) {
        const kind = ConfigCommandKind.ExpireException as const;
        await group.propose({ kind, nowMs, exceptionId: id, expiresAtMs } satisfies ConfigCommand);
        this.#options.logger.info({ exceptionId: id }, "exception expired");
      }
    }
    this.#isExpiring = false;
  }

  #createLeaseResponse(record: GroupLeaseRecord, request: GroupLeaseRequest): GroupLeaseResponse {
    const granted = isHolder(record, request);
    if (granted) {
      this.#groupRenewals.set(request.group, this.#options.clock.monotonicMs());
    }
    const { holder, epoch, mapVersion } = record;
    return { granted, holder, epoch, leaseMs: groupLeaseMs, mapVersion };
  }

  #getLongestLeaseMs(): number {
    const { servingLeaseMs } = this.#options.machine.config.defaults;
    return servingLeaseMs * (1 + 2 * this.#options.maxClockDriftShare);
  }

  /** Longest lease that an earlier leader can have granted; the lease length may have been reduced since. */
  #getLongestEarlierLeaseMs(): number {
    const { history } = this.#options.machine;
    const hasChanged = history.some(({ change }) => change.kind === ConfigChangeKind.SetDefaults);
    const longestMs = maxServingLeaseMs * (1 + 2 * this.#options.maxClockDriftShare);
    return hasChanged ? longestMs : this.#getLongestLeaseMs();
  }

  #getLeader(): ReplicatedGroup {
    const group = this.#options.group();
    if (!group.isLeader) {
      throw group.createNotLeaderError();
    }
    return group;
  }

  #getLeaseholder(): ReplicatedGroup {
    const group = this.#getLeader();
    if (!group.hasLease) {
      throw new ControlError(ControlErrorCode.NoLease, "the leader has no valid lease");
    }
    return group;
  }

  async #commit(group: ReplicatedGroup, command: ConfigCommand): Promise<unknown> {
    const result = await group.propose(command);
    return result.caseOf({
      Left: (error) => {
        throw error;
      },
      Right: (answer) => answer,
    });
  }
}

function isHolder(record: GroupLeaseRecord, { holder, incarnation }: GroupLeaseRequest): boolean {
  return record.holder === holder && record.incarnation === incarnation;
}
