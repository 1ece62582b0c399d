import { MapDecision } from "@clementinemux/messages/MapDecision";
import type { ExpertMap } from "../ExpertMap";
import { findMapFault } from "../findMapFault";
import type { LeaderAction } from "./LeaderAction";
import { LeaderActionKind } from "./LeaderActionKind";
import { LeaderPhase } from "./LeaderPhase";
import type { LeaderSettings } from "./LeaderSettings";
import type { Proposal } from "./Proposal";
import type { RankOrder } from "./RankOrder";
import { RankOrderKind } from "./RankOrderKind";
import type { RankStatus } from "./RankStatus";

// Version of the map in every engine's settings; versions that are decided in the control log start at 1.
const initialMapVersion = 0;

type WithoutHeader<T> = T extends RankOrder ? Omit<T, "epoch" | "rank" | "stamp"> : never;

/**
 * Leader side of map activation, without I/O. `step` compares the statuses of the ranks with the desired
 * state and returns the orders that are due, so lost, late and duplicate messages need no special handling.
 */
export class LeaderActivation {
  readonly #settings: LeaderSettings;
  readonly #statuses = new Map<number, RankStatus>();
  readonly #decisions = new Map<number, MapDecision>();
  #leaseEndsAtMs: number;
  #proposal: Proposal | null = null;
  #lastVersion: number;

  constructor(settings: LeaderSettings, leaseEndsAtMs: number) {
    this.#settings = settings;
    this.#leaseEndsAtMs = leaseEndsAtMs;
    this.#lastVersion = settings.decidedVersion + 1;
  }

  get phase(): LeaderPhase {
    if (this.#findUndecidedVersion() !== null) {
      return LeaderPhase.TakingOver;
    }
    if (this.#proposal === null) {
      return this.#isSettled() ? LeaderPhase.Idle : LeaderPhase.Settling;
    }
    if (this.#proposal.committing !== null) {
      return LeaderPhase.Deciding;
    }
    return this.#proposal.beforeStep === null ? LeaderPhase.Preparing : LeaderPhase.Arming;
  }

  /** Version that a new map must have. Versions of earlier leaders are decided first and never reused. */
  get nextVersion(): number {
    return this.#lastVersion + 1;
  }

  /** Last version in the schedule of the ranks, or null while the group is not settled. */
  get activeVersion(): number | null {
    return this.#isSettled() ? (this.#statuses.get(0)?.schedule.at(-1)?.version ?? null) : null;
  }

  renewLease(leaseEndsAtMs: number): void {
    this.#leaseEndsAtMs = leaseEndsAtMs;
  }

  /** Starts the activation of a map. Returns false if the leader is not idle or the map is invalid. */
  propose(map: ExpertMap, nowMs: number): boolean {
    const isValid = map.version === this.nextVersion && findMapFault(this.#settings.shape, map) === null;
    if (this.phase !== LeaderPhase.Idle || !isValid || !this.#holdsLease(nowMs)) {
      return false;
    }
    this.#lastVersion = map.version;
    this.#proposal = {
      map,
      startedAtMs: nowMs,
      confirmations: new Map(),
      incarnations: new Map([...this.#statuses].map(([rank, { stamp }]) => [rank, stamp.incarnation])),
      beforeStep: null,
      committing: null,
    };
    return true;
  }

  handleStatus(status: RankStatus): void {
    const known = this.#statuses.get(status.rank);
    if (known !== undefined && !isNewer(status, known)) {
      return;
    }
    this.#statuses.set(status.rank, status);
    const proposal = this.#proposal;
    if (proposal !== null && this.#isArmedFor(status, proposal)) {
      proposal.confirmations.set(status.rank, status.stamp.incarnation);
    }
  }

  /** Handles the response of the control log: the decision that is final for the version. */
  handleDecision(version: number, decision: MapDecision): void {
    this.#decisions.set(version, decision);
    this.#lastVersion = Math.max(this.#lastVersion, version);
    if (this.#proposal?.map.version === version) {
      this.#proposal = null;
    }
  }

  /** Returns the actions that are due. Call after every event and on a timer. */
  step(nowMs: number): LeaderAction[] {
    if (!this.#holdsLease(nowMs)) {
      return [];
    }
    const undecided = this.#findUndecidedVersion();
    if (undecided !== null) {
      // The first decision is final, so committing an abort returns the decision of an earlier leader if
      // there is one.
      return [this.#commit(undecided, MapDecision.Abort)];
    }
    const proposal = this.#proposal;
    if (proposal !== null) {
      return this.#advance(proposal, nowMs);
    }
    return [...this.#createQueries(), ...this.#createDecisionOrders(), ...this.#createJoins()];
  }

  #holdsLease(nowMs: number): boolean {
    return nowMs >= this.#settings.startAtMs && nowMs < this.#leaseEndsAtMs;
  }

  /** Version of an earlier leader whose decision this leader has not read yet. */
  #findUndecidedVersion(): number | null {
    const { decidedVersion } = this.#settings;
    const pending = [...this.#statuses.values()].flatMap(({ armed, prepared }) => [
      armed?.version,
      prepared?.version,
    ]);
    const undecided = [decidedVersion, decidedVersion + 1, ...pending].find(
      (version) =>
        version !== undefined &&
        version > 0 &&
        version !== this.#proposal?.map.version &&
        !this.#decisions.has(version),
    );
    return undecided ?? null;
  }

  /** Whether the rank has received an order of this leader, and therefore rejects orders of earlier ones. */
  #hasSeenEpoch(status: RankStatus | undefined): status is RankStatus {
    return status?.epochSeen === this.#settings.epoch;
  }

  #isSettled(): boolean {
    return this.#listRanks().every((rank) => {
      const status = this.#statuses.get(rank);
      return this.#hasSeenEpoch(status) && status.isJoined && hasNoPendingVersion(status);
    });
  }

  #listRanks(): number[] {
    return Array.from({ length: this.#settings.shape.rankCount }, (_, rank) => rank);
  }

  #isArmedFor(status: RankStatus, { map, beforeStep }: Proposal): boolean {
    const { armed } = status;
    return (
      armed?.version === map.version &&
      armed.epoch === this.#settings.epoch &&
      armed.beforeStep === beforeStep
    );
  }

  #isConfirmed(rank: number, proposal: Proposal): boolean {
    const incarnation = this.#statuses.get(rank)?.stamp.incarnation;
    return incarnation !== undefined && proposal.confirmations.get(rank) === incarnation;
  }

  #advance(proposal: Proposal, nowMs: number): LeaderAction[] {
    const { version } = proposal.map;
    proposal.committing ??= this.#chooseDecision(proposal, nowMs);
    if (proposal.committing !== null) {
      return [this.#commit(version, proposal.committing)];
    }
    if (proposal.beforeStep === null && this.#isPrepared(version)) {
      const latestStep = Math.max(...[...this.#statuses.values()].map(({ nextStep }) => nextStep));
      proposal.beforeStep = latestStep + this.#settings.armMarginSteps;
    }
    const { beforeStep } = proposal;
    if (beforeStep === null) {
      const unprepared = this.#listRanks().filter(
        (rank) => this.#statuses.get(rank)?.prepared?.version !== version,
      );
      return unprepared.flatMap((rank) =>
        this.#send(rank, { kind: RankOrderKind.Prepare, map: proposal.map }),
      );
    }
    return this.#listRanks()
      .filter((rank) => !this.#isConfirmed(rank, proposal))
      .flatMap((rank) => this.#send(rank, { kind: RankOrderKind.Arm, version, beforeStep }));
  }

  #isPrepared(version: number): boolean {
    return this.#listRanks().every((rank) => {
      const prepared = this.#statuses.get(rank)?.prepared;
      return prepared?.version === version && prepared.epoch === this.#settings.epoch;
    });
  }

  #chooseDecision(proposal: Proposal, nowMs: number): MapDecision | null {
    if (this.#listRanks().every((rank) => this.#isConfirmed(rank, proposal))) {
      return MapDecision.Activate;
    }
    const isLate = nowMs - proposal.startedAtMs >= this.#settings.activationTimeoutMs;
    const mustAbort = [...this.#statuses.values()].some(
      (status) => this.#hasRestarted(status, proposal) || this.#hasStartedStep(status, proposal),
    );
    return isLate || mustAbort ? MapDecision.Abort : null;
  }

  #hasRestarted({ rank, stamp }: RankStatus, { incarnations }: Proposal): boolean {
    return incarnations.get(rank) !== stamp.incarnation;
  }

  /** Whether the rank has started the step before which it should have been armed. */
  #hasStartedStep(status: RankStatus, { beforeStep }: Proposal): boolean {
    return beforeStep !== null && status.armed === null && status.nextStep > beforeStep;
  }

  #createQueries(): LeaderAction[] {
    return this.#listRanks()
      .filter((rank) => !this.#hasSeenEpoch(this.#statuses.get(rank)))
      .flatMap((rank) => this.#send(rank, { kind: RankOrderKind.Query }));
  }

  #createDecisionOrders(): LeaderAction[] {
    return [...this.#statuses.values()].flatMap(({ rank, armed, prepared }) => {
      const version = armed?.version ?? prepared?.version;
      const decision = version === undefined ? undefined : this.#decisions.get(version);
      return version === undefined || decision === undefined
        ? []
        : this.#send(rank, { kind: RankOrderKind.Decide, version, decision });
    });
  }

  /**
   * Restarted ranks get the schedule of a rank that has received every decision. The group starts with the
   * map of its settings only if every rank has reported to this leader that it has restarted.
   */
  #createJoins(): LeaderAction[] {
    const statuses = this.#listRanks().map((rank) => this.#statuses.get(rank));
    const fresh = statuses.filter((status) => this.#hasSeenEpoch(status));
    const joining = fresh.filter(({ isJoined }) => !isJoined);
    const source = fresh.find((status) => status.isJoined && hasNoPendingVersion(status));
    if (source !== undefined) {
      const { schedule } = source;
      return joining.flatMap(({ rank }) => this.#send(rank, { kind: RankOrderKind.Join, schedule }));
    }
    if (joining.length < this.#settings.shape.rankCount) {
      return [];
    }
    const schedule = [{ version: initialMapVersion, fromStep: 0 }];
    return joining.flatMap(({ rank }) => this.#send(rank, { kind: RankOrderKind.Join, schedule }));
  }

  #commit(version: number, decision: MapDecision): LeaderAction {
    return { kind: LeaderActionKind.CommitDecision, version, epoch: this.#settings.epoch, decision };
  }

  #send(rank: number, body: WithoutHeader<RankOrder>): LeaderAction[] {
    const status = this.#statuses.get(rank);
    if (status === undefined) {
      return [];
    }
    const order: RankOrder = { ...body, epoch: this.#settings.epoch, rank, stamp: status.stamp };
    return [{ kind: LeaderActionKind.SendOrder, order }];
  }
}

function isNewer(status: RankStatus, known: RankStatus): boolean {
  if (status.stamp.incarnation === known.stamp.incarnation) {
    return status.sequence > known.sequence;
  }
  return status.stamp.incarnation > known.stamp.incarnation;
}

/** Whether the rank has received the decision on every version that it has prepared or is armed for. */
function hasNoPendingVersion({ armed, prepared }: RankStatus): boolean {
  return armed === null && prepared === null;
}
