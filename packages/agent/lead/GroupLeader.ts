import { periodic } from "most";
import type * as z from "zod";
import type { Clock } from "@clementinemux/common/Clock";
import type { ControlClient } from "@clementinemux/control/ControlClient";
import type { ExpertMap } from "@clementinemux/experts/ExpertMap";
import { RankGroupLeader } from "@clementinemux/experts/RankGroupLeader";
import type { LeaderAction } from "@clementinemux/experts/activation/LeaderAction";
import { LeaderActionKind } from "@clementinemux/experts/activation/LeaderActionKind";
import { LeaderPhase } from "@clementinemux/experts/activation/LeaderPhase";
import type { RankOrder } from "@clementinemux/experts/activation/RankOrder";
import type { Plan } from "@clementinemux/experts/planner/Plan";
import type { GroupDefaults } from "@clementinemux/fleet/GroupDefaults";
import type { RankGroupSettings } from "../RankGroupSettings";
import type { RankSnapshot } from "../rank/RankSnapshot";
import type { GroupPeers } from "./GroupPeers";
import type { LeaderReport } from "./LeaderReport";
import type { PlanSummary } from "./PlanSummary";
import type { RebalanceResponse } from "./RebalanceResponse";
import { TimeZoneClock } from "./TimeZoneClock";
import { createLeaderSettings } from "./createLeaderSettings";

interface GroupLeaderOptions {
  readonly group: string;
  readonly settings: z.output<typeof RankGroupSettings>;
  readonly epoch: number;
  /** Last map version that was decided when the lease was granted. */
  readonly decidedVersion: number;
  readonly startAtMs: number;
  readonly leaseEndsAtMs: number;
  readonly clock: Clock;
  readonly getGroups: () => GroupDefaults;
  readonly control: ControlClient;
  readonly peers: GroupPeers;
  readonly log: (fields: Readonly<Record<string, string | number>>, text: string) => void;
}

type OutgoingOrder = Extract<LeaderAction, { kind: LeaderActionKind.SendOrder }>["order"];
type CommitAction = Extract<LeaderAction, { kind: LeaderActionKind.CommitDecision }>;

const peerTimeoutMs = 1500;
const decideDeadlineMs = 2000;
// Status polls are more frequent while ranks prepare a map, since the step before which ranks are armed must
// be chosen from recent statuses.
const preparingPollFactor = 4;

/** Runs the leader of a rank group for one epoch: communicates with the other agents and control. */
export class GroupLeader {
  readonly #options: GroupLeaderOptions;
  readonly #timeZoneClock = new TimeZoneClock();
  /** Ranks with an exchange in progress. */
  readonly #busyRanks = new Set<number>();
  readonly #polledAtMs = new Map<number, number>();
  readonly #reportedAtMs = new Map<number, number>();
  /** Kind and version of the last order to each rank, and when it may be sent again. */
  readonly #lastOrders = new Map<number, { readonly key: string; readonly retryAtMs: number }>();
  readonly #refusedOrders: Record<string, number> = {};
  #leader: RankGroupLeader | null = null;
  #leaseEndsAtMs: number;
  #refreshedAtMs = -Infinity;
  #isInitializing = false;
  #isCommitting = false;
  #isStopped = false;

  constructor(options: GroupLeaderOptions) {
    this.#options = options;
    this.#leaseEndsAtMs = options.leaseEndsAtMs;
  }

  get epoch(): number {
    return this.#options.epoch;
  }

  start(): void {
    void periodic(this.#options.settings.stepIntervalMs)
      .takeWhile(() => !this.#isStopped)
      .observe(() => {
        this.#tick();
      });
  }

  renew(leaseEndsAtMs: number): void {
    this.#leaseEndsAtMs = leaseEndsAtMs;
    this.#leader?.renewLease(leaseEndsAtMs);
  }

  /** Stops the leader; no order is sent after that. */
  stop(): void {
    this.#isStopped = true;
    this.#leaseEndsAtMs = -Infinity;
    this.#leader?.renewLease(-Infinity);
    this.#options.peers.close();
  }

  getReport(): LeaderReport {
    const leader = this.#leader;
    const view = leader?.getLoadView(this.#nowMs) ?? { rankLoads: [], skew: 1 };
    const stragglerReport = leader?.lastStragglerReport ?? null;
    return {
      phase: leader?.phase ?? null,
      mapVersion: leader?.map.version ?? null,
      ...view,
      lastPlan: leader?.lastPlan === null || leader === null ? null : summarize(leader.lastPlan),
      slowRanks: [...(stragglerReport?.slowRanks ?? [])],
      suggestDrain: stragglerReport?.suggestDrain ?? false,
      droppedReports: leader?.droppedReports ?? {},
      refusedOrders: { ...this.#refusedOrders },
    };
  }

  /** Plans a map immediately. A dry run returns the plan without activating it. */
  rebalance(isDryRun: boolean): RebalanceResponse {
    const leader = this.#leader;
    if (leader === null || this.#nowMs >= this.#leaseEndsAtMs) {
      return { plan: null, started: false, refusal: "the leader has not taken over yet" };
    }
    if (isDryRun) {
      return { plan: summarize(leader.preview(this.#getTime())), started: false, refusal: "" };
    }
    if (!leader.requestPlan(this.#nowMs)) {
      return { plan: null, started: false, refusal: `the leader is busy: ${leader.phase}` };
    }
    const before = leader.lastPlan;
    this.#advance();
    const plan = leader.lastPlan === before ? null : leader.lastPlan;
    return {
      plan: plan === null ? null : summarize(plan),
      started: leader.phase !== LeaderPhase.Idle,
      refusal: plan === null ? "the leader may not send orders now" : "",
    };
  }

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  #getTime(): { readonly nowMs: number; readonly timeOfDayMs: number } {
    const { clock, getGroups } = this.#options;
    const timeOfDayMs = this.#timeZoneClock.getTimeOfDayMs(clock.wallMs(), getGroups().busyTimeZone);
    return { nowMs: clock.monotonicMs(), timeOfDayMs };
  }

  #tick(): void {
    const { settings, peers } = this.#options;
    if (this.#nowMs - this.#refreshedAtMs >= settings.directoryIntervalMs) {
      this.#refreshedAtMs = this.#nowMs;
      this.#runInBackground(peers.refresh());
    }
    const leader = this.#leader;
    if (leader === null) {
      this.#runInBackground(this.#initialize());
      return;
    }
    const pollFactor = leader.phase === LeaderPhase.Preparing ? preparingPollFactor : 1;
    for (const rank of peers.ranks) {
      if (this.#nowMs - (this.#polledAtMs.get(rank) ?? -Infinity) >= settings.statusIntervalMs / pollFactor) {
        this.#runInBackground(this.#exchange(rank, () => this.#pollRank(rank)));
      }
    }
    if (leader.missingVersion !== null) {
      this.#runInBackground(this.#fetchMissingMap(leader, leader.missingVersion));
    }
    this.#advance();
  }

  /** Failed exchanges are expected and retried by a later tick; they must not end the periodic stream. */
  #runInBackground(work: Promise<unknown>): void {
    work.catch((error: unknown) => {
      const { group, log } = this.#options;
      log(
        { group, error: error instanceof Error ? error.message : String(error) },
        "request of the group leader failed",
      );
    });
  }

  /** Reads the active map from the ranks and creates the leader's state. */
  async #initialize(): Promise<void> {
    const { peers, group, epoch, log } = this.#options;
    if (this.#isInitializing) {
      return;
    }
    this.#isInitializing = true;
    try {
      const snapshots = await Promise.all(peers.ranks.map((rank) => this.#fetchSnapshot(rank, false)));
      const available = snapshots.filter((snapshot) => snapshot !== null);
      const source = available.find(({ status }) => status.isJoined) ?? available[0];
      if (source === undefined) {
        return;
      }
      const map = await this.#fetchMap(source.status.rank, source.status.schedule.at(-1)?.version ?? 0);
      if (map !== null && !this.#isStopped) {
        this.#leader = this.#createLeader(map);
        log({ group, epoch, mapVersion: map.version }, "leading the rank group");
      }
    } finally {
      this.#isInitializing = false;
    }
  }

  #createLeader(map: ExpertMap): RankGroupLeader {
    const { settings, epoch, decidedVersion, startAtMs, getGroups, peers } = this.#options;
    const ranks = Array.from({ length: settings.rankCount }, (_, rank) => rank);
    const leaderSettings = createLeaderSettings({
      settings,
      epoch,
      decidedVersion,
      startAtMs,
      getGroups,
      failureDomains: ranks.map((rank) => peers.getFailureDomain(rank)),
      getGroupCount: () => peers.groupCount,
    });
    return new RankGroupLeader(leaderSettings, map, this.#leaseEndsAtMs);
  }

  #advance(): void {
    if (this.#isStopped || this.#leader === null) {
      return;
    }
    for (const action of this.#leader.step(this.#getTime())) {
      if (action.kind === LeaderActionKind.CommitDecision) {
        this.#runInBackground(this.#commit(action));
      } else {
        this.#sendWhenDue(action.order);
      }
    }
  }

  #sendWhenDue(order: OutgoingOrder): void {
    const sent = this.#lastOrders.get(order.rank);
    const key = getOrderKey(order);
    if (this.#busyRanks.has(order.rank) || (sent?.key === key && this.#nowMs < sent.retryAtMs)) {
      return;
    }
    this.#lastOrders.set(order.rank, { key, retryAtMs: this.#nowMs + this.#options.settings.stepIntervalMs });
    this.#runInBackground(this.#exchange(order.rank, () => this.#send(order)));
  }

  /** Runs one exchange per rank at a time, so that a later order cannot overtake an earlier one. */
  async #exchange(rank: number, work: () => Promise<void>): Promise<void> {
    if (this.#busyRanks.has(rank) || this.#isStopped) {
      return;
    }
    this.#busyRanks.add(rank);
    try {
      await work();
    } finally {
      this.#busyRanks.delete(rank);
    }
    this.#advance();
  }

  async #send(order: RankOrder): Promise<void> {
    const { rank } = order;
    const client = this.#options.peers.getClient(rank);
    const snapshot = await this.#fetchSnapshot(rank, false);
    if (client === null || snapshot === null) {
      return;
    }
    this.#leader?.handleStatus(snapshot.status);
    // Only a lease that is still valid after the stamp was fetched proves that the order is from the current
    // leader.
    if (snapshot.status.stamp.incarnation !== order.stamp.incarnation || this.#nowMs >= this.#leaseEndsAtMs) {
      return;
    }
    const body = {
      epoch: this.#options.epoch,
      stamp: snapshot.stamp,
      order: { ...order, stamp: snapshot.status.stamp },
    };
    const { status, text } = await client.send({
      method: "POST",
      path: "/agent/order",
      body: JSON.stringify(body),
      headers: { "content-type": "application/json" },
      timeoutMs: peerTimeoutMs,
    });
    if (status === 200) {
      // A rank that has accepted the order needs time to execute it, since maps are large.
      const retryAtMs = this.#nowMs + this.#options.settings.statusIntervalMs;
      this.#lastOrders.set(rank, { key: getOrderKey(order), retryAtMs });
    } else {
      this.#countRefusal(text);
    }
    const updated = await this.#fetchSnapshot(rank, false);
    if (updated !== null) {
      this.#leader?.handleStatus(updated.status);
    }
  }

  #countRefusal(text: string): void {
    let reason = "unknown";
    try {
      const body = JSON.parse(text) as { readonly reason?: unknown };
      reason = typeof body.reason === "string" ? body.reason : reason;
    } catch {
      // A response without a readable reason is counted as unknown.
    }
    this.#refusedOrders[reason] = (this.#refusedOrders[reason] ?? 0) + 1;
  }

  async #pollRank(rank: number): Promise<void> {
    const { settings } = this.#options;
    this.#polledAtMs.set(rank, this.#nowMs);
    const sentAtMs = this.#nowMs;
    const withReport = sentAtMs - (this.#reportedAtMs.get(rank) ?? -Infinity) >= settings.reportIntervalMs;
    const snapshot = await this.#fetchSnapshot(rank, withReport);
    if (snapshot === null) {
      return;
    }
    this.#leader?.handleStatus(snapshot.status);
    if (snapshot.report !== null) {
      this.#reportedAtMs.set(rank, sentAtMs);
      const { ageMs, ...window } = snapshot.report;
      const { incarnation } = snapshot.status.stamp;
      const report = { rank, incarnation, measuredAtMs: sentAtMs - ageMs, ...window };
      this.#leader?.handleReport(report, this.#nowMs);
    }
  }

  async #fetchSnapshot(rank: number, withReport: boolean): Promise<RankSnapshot | null> {
    const text = await this.#get(rank, withReport ? "/agent/rank?report=1" : "/agent/rank");
    const snapshot = text === null ? null : (JSON.parse(text) as RankSnapshot);
    return snapshot?.status.rank === rank ? snapshot : null;
  }

  async #fetchMap(rank: number, version: number): Promise<ExpertMap | null> {
    const text = await this.#get(rank, `/agent/rank/map?version=${version}`);
    return text === null ? null : (JSON.parse(text) as ExpertMap);
  }

  async #fetchMissingMap(leader: RankGroupLeader, version: number): Promise<void> {
    for (const rank of this.#options.peers.ranks) {
      const map = await this.#fetchMap(rank, version);
      if (map !== null) {
        leader.adoptMap(map);
        return;
      }
    }
  }

  /** Null when the rank's agent or its engine does not respond. */
  async #get(rank: number, path: string): Promise<string | null> {
    const client = this.#options.peers.getClient(rank);
    try {
      const answer = await client?.send({ method: "GET", path, timeoutMs: peerTimeoutMs });
      return answer?.status === 200 ? answer.text : null;
    } catch {
      return null;
    }
  }

  async #commit({ version, epoch, decision }: CommitAction): Promise<void> {
    if (this.#isCommitting) {
      return;
    }
    this.#isCommitting = true;
    const { control, group, log } = this.#options;
    try {
      const answer = await control.decideMap({ group, version, epoch, decision }, decideDeadlineMs);
      const response = answer.toMaybe().extractNullable();
      if (response?.version === version) {
        this.#leader?.handleDecision(version, response.decision);
        log({ group, epoch, mapVersion: version, decision: response.decision }, "map decided");
      }
    } finally {
      this.#isCommitting = false;
    }
    this.#advance();
  }
}

function summarize(plan: Plan): PlanSummary {
  const { reason, isChanged, moves, presentSkew, splitSkew, predictedSkew } = plan;
  const { bytes, transferMs, savedMs, delayedMs } = plan;
  return {
    ...{ reason, isChanged, moves, presentSkew, splitSkew, predictedSkew },
    ...{ bytes, transferMs, savedMs, delayedMs },
  };
}

function getOrderKey(order: RankOrder): string {
  const version = "version" in order ? order.version : "map" in order ? order.map.version : "";
  return `${order.stamp.incarnation} ${order.kind} ${version}`;
}
