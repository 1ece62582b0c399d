import { hashString } from "@clementinemux/common/hashString";
import type { LimitSharesRequest } from "@clementinemux/messages/LimitSharesRequest";
import type { LimitSharesResponse } from "@clementinemux/messages/LimitSharesResponse";
import { shareParts } from "@clementinemux/messages/shareParts";
import type { LimitShare } from "@clementinemux/policy/admission/LimitShare";
import type { TeamDemand } from "@clementinemux/policy/admission/TeamDemand";
import type { LimitReport } from "./LimitReport";

interface RelayState {
  readonly address: string;
  start: string;
  ackedSequence: number;
  /** Sending time of the first report since the last answer; null while the relay answers. */
  failingSinceMs: number | null;
  pending: LimitReport | null;
}

interface TeamState {
  relay: string;
  /** Until then other entries may hold shares from another relay. */
  movedUntilMs: number;
  activeAtMs: number;
}

interface ReportRound {
  readonly reports: readonly LimitReport[];
  /** Teams whose relay has changed: the shares from the earlier one must not be used beside the new one's. */
  readonly droppedTeams: readonly string[];
}

// As long as the leases of the relays; a relay without an answer for this long has no share in force here.
const relayDownAfterMs = 4000;
// Keeps a message small when callers ask far beyond the limit; the proportions among entries stay useful.
const maxDemandParts = 1000 * shareParts;

/**
 * Chooses each team's relay and composes one report per relay. The relay is the first of the team's rendezvous
 * order that answers. A relay counts as down after a lease without an answer; it is asked with every round, and
 * its teams return when it answers. Without I/O.
 */
export class LimitReporter {
  readonly #holder: string;
  readonly #relays: readonly RelayState[];
  readonly #teams = new Map<string, TeamState>();

  constructor(holder: string, relays: readonly string[]) {
    this.#holder = holder;
    this.#relays = relays.map((address) => ({
      address,
      start: "",
      ackedSequence: 0,
      failingSinceMs: null,
      pending: null,
    }));
  }

  /** Whether a relay grants leases: one has answered, and at least one within the last lease. */
  isLeasing(nowMs: number): boolean {
    return this.#relays.some((relay) => relay.start !== "" && !isDown(relay, nowMs));
  }

  createReports(demands: readonly TeamDemand[], nowMs: number): ReportRound {
    const droppedTeams: string[] = [];
    const teamsByRelay = new Map<string, LimitSharesRequest[3][number][]>();
    for (const { team, demand, held } of demands) {
      const isDropped = this.#place(team, nowMs);
      if (isDropped) {
        droppedTeams.push(team);
      }
      const { relay, movedUntilMs } = this.#teams.get(team) ?? { relay: "", movedUntilMs: 0 };
      const entry = [
        team,
        Math.min(maxDemandParts, Math.round(demand * shareParts)),
        isDropped ? 0 : Math.round(held * shareParts),
        movedUntilMs > nowMs ? 1 : 0,
      ] as const;
      teamsByRelay.set(relay, [...(teamsByRelay.get(relay) ?? []), entry]);
    }
    this.#forgetTeams(nowMs);
    const reports = this.#relays
      .filter(
        (relay) =>
          relay.pending === null &&
          (teamsByRelay.has(relay.address) || relay.start === "" || isDown(relay, nowMs)),
      )
      .map((relay) => this.#createReport(relay, teamsByRelay.get(relay.address) ?? [], nowMs));
    return { reports, droppedTeams };
  }

  /** Takes the answer to a report, or null when none came in time, and returns the shares to apply. */
  onAnswer(report: LimitReport, response: LimitSharesResponse | null): readonly LimitShare[] {
    const relay = this.#relays.find(({ address }) => address === report.relay);
    if (relay?.pending !== report) {
      return [];
    }
    relay.pending = null;
    if (response === null) {
      relay.failingSinceMs ??= report.sentAtMs;
      return [];
    }
    relay.failingSinceMs = null;
    const [relayStart, sequence, leaseMs, shares] = response;
    relay.start = relayStart;
    relay.ackedSequence = sequence;
    return report.request[3].flatMap(([team], index) => {
      // The team may have moved to another relay since the report was sent.
      const isCurrent = this.#teams.get(team)?.relay === report.relay;
      const share = isCurrent ? (shares[index] ?? 0) / shareParts : 0;
      const leaseEndMs = report.sentAtMs + leaseMs;
      return isCurrent ? [{ team, share, leaseStartMs: report.sentAtMs, leaseEndMs }] : [];
    });
  }

  /** The relay is of a release without limit shares: its teams go to another one at once. */
  onUnsupported(report: LimitReport): void {
    this.onAnswer(report, null);
    const relay = this.#relays.find(({ address }) => address === report.relay);
    if (relay !== undefined) {
      relay.failingSinceMs = -Infinity;
    }
  }

  #createReport(relay: RelayState, teams: LimitSharesRequest[3], nowMs: number): LimitReport {
    const { start, ackedSequence, address } = relay;
    const request = [this.#holder, start, ackedSequence, teams] as const;
    const report: LimitReport = { relay: address, sentAtMs: nowMs, request };
    relay.pending = report;
    return report;
  }

  /** Chooses the relay of a team; returns whether it has changed. */
  #place(team: string, nowMs: number): boolean {
    const order = [...this.#relays].sort(
      (left, right) => hashString(`${team}|${right.address}`) - hashString(`${team}|${left.address}`),
    );
    const chosen = order.find((relay) => !isDown(relay, nowMs)) ?? order[0];
    const state = this.#teams.get(team);
    const relay = chosen?.address ?? "";
    if (state === undefined) {
      this.#teams.set(team, { relay, movedUntilMs: chosen === order[0] ? 0 : Infinity, activeAtMs: nowMs });
      return false;
    }
    state.activeAtMs = nowMs;
    const hasMoved = state.relay !== relay;
    if (hasMoved) {
      state.relay = relay;
      state.movedUntilMs = chosen === order[0] ? nowMs + relayDownAfterMs : Infinity;
    }
    return hasMoved;
  }

  /** A share may be in force for one lease after the last report of its team. */
  #forgetTeams(nowMs: number): void {
    for (const [team, { activeAtMs }] of this.#teams) {
      if (nowMs - activeAtMs > relayDownAfterMs) {
        this.#teams.delete(team);
      }
    }
  }
}

function isDown({ failingSinceMs }: RelayState, nowMs: number): boolean {
  return failingSinceMs !== null && nowMs - failingSinceMs >= relayDownAfterMs;
}
