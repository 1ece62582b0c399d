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
import type { RankLook } from "../rank/RankLook";
import type { GroupPeers } from "./GroupPeers";
import type { LeadReport } from "./LeadReport";
import type { PlanSummary } from "./PlanSummary";
import type { RebalanceAnswer } from "./RebalanceAnswer";
import { ZoneClock } from "./ZoneClock";
import { createLeadSettings } from "./createLeadSettings";

interface GroupLeaderOptions {
  readonly group: string;
  readonly settings: z.output<typeof RankGroupSettings>;
  readonly epoch: number;
  /** Last version that was decided when the lease was granted. */
  readonly decidedVersion: number;
  readonly startAtMs: number;
  readonly leaseEndsAtMs: number;
  readonly clock: Clock;
  readonly getGroups: () => GroupDefaults;
  readonly control: ControlClient;
  readonly peers: GroupPeers;
  readonly log: (fields: Readonly<Record<string, string | number>>, text: string) => void;
}

type SendOrder = Extract<LeaderAction, { kind: LeaderActionKind.SendOrder }>["order"];
type Commit = Extract<LeaderAction, { kind: LeaderActionKind.CommitDecision }>;

const peerTimeoutMs = 1500;
const decideDeadlineMs = 2000;
// Statuses must be recent when the step is chosen before which ranks are armed.
const preparingPolls = 4;

/** Runs the lead of a rank group for one epoch: connects it to the other agents and to control. */
export class GroupLeader {
  readonly #options: GroupLeaderOptions;
  readonly #zone = new ZoneClock();
  /** Ranks with an exchange in progress. */
  readonly #busy = new Set<number>();
  readonly #polledAtMs = new Map<number, number>();
  readonly #reportedAtMs = new Map<number, number>();
  /** Kind and version of the last order to each rank, and when it may be repeated. */
  readonly #sent = new Map<number, { readonly key: string; readonly repeatAtMs: number }>();
  readonly #refusals: Record<string, number> = {};
  #lead: RankGroupLeader | null = null;
  #leaseEndsAtMs: number;
  #refreshedAtMs = -Infinity;
  #isBeginning = false;
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
    this.#lead?.renewLease(leaseEndsAtMs);
  }

  /** Gives no order from now on. */
  stop(): void {
    this.#isStopped = true;
    this.#leaseEndsAtMs = -Infinity;
    this.#lead?.renewLease(-Infinity);
    this.#options.peers.close();
  }

  getReport(): LeadReport {
    const lead = this.#lead;
    const view = lead?.getLoadView(this.#nowMs) ?? { rankLoads: [], skew: 1 };
    const advice = lead?.lastStragglerReport ?? null;
    return {
      phase: lead?.phase ?? null,
      mapVersion: lead?.map.version ?? null,
      ...view,
      lastPlan: lead?.lastPlan === null || lead === null ? null : summarize(lead.lastPlan),
      slowRanks: [...(advice?.slowRanks ?? [])],
      suggestDrain: advice?.suggestDrain ?? false,
      droppedReports: lead?.droppedReports ?? {},
      refusedOrders: { ...this.#refusals },
    };
  }

  /** Plans now; a dry run changes nothing. */
  rebalance(isDryRun: boolean): RebalanceAnswer {
    const lead = this.#lead;
    if (lead === null || this.#nowMs >= this.#leaseEndsAtMs) {
      return { plan: null, started: false, refusal: "the lead has not taken over yet" };
    }
    if (isDryRun) {
      return { plan: summarize(lead.preview(this.#getTime())), started: false, refusal: "" };
    }
    if (!lead.requestPlan(this.#nowMs)) {
      return { plan: null, started: false, refusal: `the lead is busy: ${lead.phase}` };
    }
    const before = lead.lastPlan;
    this.#advance();
    const plan = lead.lastPlan === before ? null : lead.lastPlan;
    return {
      plan: plan === null ? null : summarize(plan),
      started: lead.phase !== LeaderPhase.Idle,
      refusal: plan === null ? "the lead may not give orders now" : "",
    };
  }

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  #getTime(): { readonly nowMs: number; readonly timeOfDayMs: number } {
    const { clock, getGroups } = this.#options;
    const timeOfDayMs = this.#zone.getTimeOfDayMs(clock.wallMs(), getGroups().busyTimeZone);
    return { nowMs: clock.monotonicMs(), timeOfDayMs };
  }

  #tick(): void {
    const { settings, peers } = this.#options;
    if (this.#nowMs - this.#refreshedAtMs >= settings.directoryIntervalMs) {
      this.#refreshedAtMs = this.#nowMs;
      this.#run(peers.refresh());
    }
    const lead = this.#lead;
    if (lead === null) {
      this.#run(this.#begin());
      return;
    }
    const preparing = lead.phase === LeaderPhase.Preparing ? preparingPolls : 1;
    for (const rank of peers.ranks) {
      if (this.#nowMs - (this.#polledAtMs.get(rank) ?? -Infinity) >= settings.statusIntervalMs / preparing) {
        this.#run(this.#exchange(rank, () => this.#look(rank)));
      }
    }
    if (lead.missingVersion !== null) {
      this.#run(this.#fetchMissingMap(lead, lead.missingVersion));
    }
    this.#advance();
  }

  /** Failures of single exchanges are expected and repeated by the next tick; they must not end the stream. */
  #run(work: Promise<unknown>): void {
    work.catch((error: unknown) => {
      const { group, log } = this.#options;
      log({ group, error: error instanceof Error ? error.message : String(error) }, "exchange failed");
    });
  }

  /** Reads the map in force from the ranks and creates the lead. */
  async #begin(): Promise<void> {
    const { peers, group, epoch, log } = this.#options;
    if (this.#isBeginning) {
      return;
    }
    this.#isBeginning = true;
    try {
      const looks = await Promise.all(peers.ranks.map((rank) => this.#fetchLook(rank, false)));
      const known = looks.filter((look) => look !== null);
      const source = known.find(({ status }) => status.isJoined) ?? known[0];
      if (source === undefined) {
        return;
      }
      const map = await this.#fetchMap(source.status.rank, source.status.schedule.at(-1)?.version ?? 0);
      if (map !== null && !this.#isStopped) {
        this.#lead = this.#createLead(map);
        log({ group, epoch, mapVersion: map.version }, "leading the group");
      }
    } finally {
      this.#isBeginning = false;
    }
  }

  #createLead(map: ExpertMap): RankGroupLeader {
    const { settings, epoch, decidedVersion, startAtMs, getGroups, peers } = this.#options;
    const ranks = Array.from({ length: settings.rankCount }, (_, rank) => rank);
    const leadSettings = createLeadSettings({
      settings,
      epoch,
      decidedVersion,
      startAtMs,
      getGroups,
      failureDomains: ranks.map((rank) => peers.getFailureDomain(rank)),
      getGroupCount: () => peers.groupCount,
    });
    return new RankGroupLeader(leadSettings, map, this.#leaseEndsAtMs);
  }

  #advance(): void {
    if (this.#isStopped || this.#lead === null) {
      return;
    }
    for (const action of this.#lead.step(this.#getTime())) {
      if (action.kind === LeaderActionKind.CommitDecision) {
        this.#run(this.#commit(action));
      } else {
        this.#sendWhenDue(action.order);
      }
    }
  }

  #sendWhenDue(order: SendOrder): void {
    const sent = this.#sent.get(order.rank);
    const key = getOrderKey(order);
    if (this.#busy.has(order.rank) || (sent?.key === key && this.#nowMs < sent.repeatAtMs)) {
      return;
    }
    this.#sent.set(order.rank, { key, repeatAtMs: this.#nowMs + this.#options.settings.stepIntervalMs });
    this.#run(this.#exchange(order.rank, () => this.#send(order)));
  }

  /** One exchange per rank at a time, so that a later order cannot overtake an earlier one. */
  async #exchange(rank: number, work: () => Promise<void>): Promise<void> {
    if (this.#busy.has(rank) || this.#isStopped) {
      return;
    }
    this.#busy.add(rank);
    try {
      await work();
    } finally {
      this.#busy.delete(rank);
    }
    this.#advance();
  }

  async #send(order: RankOrder): Promise<void> {
    const { rank } = order;
    const client = this.#options.peers.getClient(rank);
    const look = await this.#fetchLook(rank, false);
    if (client === null || look === null) {
      return;
    }
    this.#lead?.handleStatus(look.status);
    // The stamp is at hand; only a lease that holds after that proves that the order is the present lead's.
    if (look.status.stamp.incarnation !== order.stamp.incarnation || this.#nowMs >= this.#leaseEndsAtMs) {
      return;
    }
    const body = {
      epoch: this.#options.epoch,
      stamp: look.stamp,
      order: { ...order, stamp: look.status.stamp },
    };
    const { status, text } = await client.send({
      method: "POST",
      path: "/agent/order",
      body: JSON.stringify(body),
      headers: { "content-type": "application/json" },
      timeoutMs: peerTimeoutMs,
    });
    if (status === 200) {
      // A rank that has taken the order needs time to carry it out, and maps are large.
      const repeatAtMs = this.#nowMs + this.#options.settings.statusIntervalMs;
      this.#sent.set(rank, { key: getOrderKey(order), repeatAtMs });
    } else {
      this.#countRefusal(text);
    }
    const after = await this.#fetchLook(rank, false);
    if (after !== null) {
      this.#lead?.handleStatus(after.status);
    }
  }

  #countRefusal(text: string): void {
    let reason = "unknown";
    try {
      const body = JSON.parse(text) as { readonly reason?: unknown };
      reason = typeof body.reason === "string" ? body.reason : reason;
    } catch {
      // An answer without a readable reason is counted as unknown.
    }
    this.#refusals[reason] = (this.#refusals[reason] ?? 0) + 1;
  }

  async #look(rank: number): Promise<void> {
    const { settings } = this.#options;
    this.#polledAtMs.set(rank, this.#nowMs);
    const sentAtMs = this.#nowMs;
    const withReport = sentAtMs - (this.#reportedAtMs.get(rank) ?? -Infinity) >= settings.reportIntervalMs;
    const look = await this.#fetchLook(rank, withReport);
    if (look === null) {
      return;
    }
    this.#lead?.handleStatus(look.status);
    if (look.report !== null) {
      this.#reportedAtMs.set(rank, sentAtMs);
      const { ageMs, ...window } = look.report;
      const { incarnation } = look.status.stamp;
      const report = { rank, incarnation, measuredAtMs: sentAtMs - ageMs, ...window };
      this.#lead?.handleReport(report, this.#nowMs);
    }
  }

  async #fetchLook(rank: number, withReport: boolean): Promise<RankLook | null> {
    const text = await this.#get(rank, withReport ? "/agent/rank?report=1" : "/agent/rank");
    const look = text === null ? null : (JSON.parse(text) as RankLook);
    return look?.status.rank === rank ? look : null;
  }

  async #fetchMap(rank: number, version: number): Promise<ExpertMap | null> {
    const text = await this.#get(rank, `/agent/rank/map?version=${version}`);
    return text === null ? null : (JSON.parse(text) as ExpertMap);
  }

  async #fetchMissingMap(lead: RankGroupLeader, version: number): Promise<void> {
    for (const rank of this.#options.peers.ranks) {
      const map = await this.#fetchMap(rank, version);
      if (map !== null) {
        lead.adoptMap(map);
        return;
      }
    }
  }

  /** Null when the rank's agent or its engine does not answer. */
  async #get(rank: number, path: string): Promise<string | null> {
    const client = this.#options.peers.getClient(rank);
    try {
      const answer = await client?.send({ method: "GET", path, timeoutMs: peerTimeoutMs });
      return answer?.status === 200 ? answer.text : null;
    } catch {
      return null;
    }
  }

  async #commit({ version, epoch, decision }: Commit): Promise<void> {
    if (this.#isCommitting) {
      return;
    }
    this.#isCommitting = true;
    const { control, group, log } = this.#options;
    try {
      const answer = await control.decideMap({ group, version, epoch, decision }, decideDeadlineMs);
      const response = answer.toMaybe().extractNullable();
      if (response?.version === version) {
        this.#lead?.handleDecision(version, response.decision);
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
