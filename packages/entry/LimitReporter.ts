import { hashString } from "@clementinemux/common/hashString";
import type { LimitSharesRequest } from "@clementinemux/messages/LimitSharesRequest";
import type { LimitSharesResponse } from "@clementinemux/messages/LimitSharesResponse";
import { partsPerLimit } from "@clementinemux/messages/partsPerLimit";
import type { LimitShare } from "@clementinemux/policy/admission/LimitShare";
import type { TeamDemand } from "@clementinemux/policy/admission/TeamDemand";
import type { LimitReport } from "./LimitReport";

interface RelayState {
  readonly address: string;
  startId: string;
  ackedSequence: number;
  /** When the first report since the last response was sent; null while the relay responds. */
  failingSinceMs: number | null;
  pending: LimitReport | null;
}

interface TeamState {
  relay: string;
  /** Until this time, other entries may still hold shares granted by another relay. */
  movedUntilMs: number;
  reportedAtMs: number;
}

interface ReportRound {
  readonly reports: readonly LimitReport[];
  /** Teams whose relay has changed. Shares of the old and the new relay must not be used together. */
  readonly droppedTeams: readonly string[];
}

// Equals the lease duration of the relays: all shares of a relay expire after this time without a response.
const relayDownAfterMs = 4000;
// Keeps messages small when demand is far above the limit. The proportions among entries remain useful.
const maxDemandParts = 1000 * partsPerLimit;

/**
 * Chooses each team's relay and creates one report per relay. A team uses the first responsive relay of its
 * rendezvous order. A relay counts as down after one lease without a response. It still receives a report in
 * every round, and its teams return to it when it responds. Does no I/O.
 */
export class LimitReporter {
  readonly #holder: string;
  readonly #relays: readonly RelayState[];
  readonly #teams = new Map<string, TeamState>();

  constructor(holder: string, relays: readonly string[]) {
    this.#holder = holder;
    this.#relays = relays.map((address) => ({
      address,
      startId: "",
      ackedSequence: 0,
      failingSinceMs: null,
      pending: null,
    }));
  }

  /** Whether any relay grants leases, that is, it has responded and is not down. */
  isLeasing(nowMs: number): boolean {
    return this.#relays.some((relay) => relay.startId !== "" && !isDown(relay, nowMs));
  }

  createReports(demands: readonly TeamDemand[], nowMs: number): ReportRound {
    const droppedTeams: string[] = [];
    const teamsByRelay = new Map<string, LimitSharesRequest[3][number][]>();
    for (const { team, demand, held } of demands) {
      const isRelayChanged = this.#assignRelay(team, nowMs);
      if (isRelayChanged) {
        droppedTeams.push(team);
      }
      const { relay, movedUntilMs } = this.#teams.get(team) ?? { relay: "", movedUntilMs: 0 };
      const entry = [
        team,
        Math.min(maxDemandParts, Math.round(demand * partsPerLimit)),
        isRelayChanged ? 0 : Math.round(held * partsPerLimit),
        movedUntilMs > nowMs ? 1 : 0,
      ] as const;
      teamsByRelay.set(relay, [...(teamsByRelay.get(relay) ?? []), entry]);
    }
    this.#removeIdleTeams(nowMs);
    const reports = this.#relays
      .filter(
        (relay) =>
          relay.pending === null &&
          (teamsByRelay.has(relay.address) || relay.startId === "" || isDown(relay, nowMs)),
      )
      .map((relay) => this.#createReport(relay, teamsByRelay.get(relay.address) ?? [], nowMs));
    return { reports, droppedTeams };
  }

  /** Handles the response to a report (null after a timeout) and returns the shares to apply. */
  onResponse(report: LimitReport, response: LimitSharesResponse | null): readonly LimitShare[] {
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
    relay.startId = relayStart;
    relay.ackedSequence = sequence;
    return report.request[3].flatMap(([team], index) => {
      // The team may have moved to another relay since the report was sent.
      const isCurrent = this.#teams.get(team)?.relay === report.relay;
      const share = isCurrent ? (shares[index] ?? 0) / partsPerLimit : 0;
      const leaseEndMs = report.sentAtMs + leaseMs;
      return isCurrent ? [{ team, share, leaseStartMs: report.sentAtMs, leaseEndMs }] : [];
    });
  }

  /** The relay runs a release without limit shares, so its teams move to another one immediately. */
  onUnsupported(report: LimitReport): void {
    this.onResponse(report, null);
    const relay = this.#relays.find(({ address }) => address === report.relay);
    if (relay !== undefined) {
      relay.failingSinceMs = -Infinity;
    }
  }

  #createReport(relay: RelayState, teams: LimitSharesRequest[3], nowMs: number): LimitReport {
    const { startId, ackedSequence, address } = relay;
    const request = [this.#holder, startId, ackedSequence, teams] as const;
    const report: LimitReport = { relay: address, sentAtMs: nowMs, request };
    relay.pending = report;
    return report;
  }

  /** Chooses the relay of a team. Returns whether it has changed. */
  #assignRelay(team: string, nowMs: number): boolean {
    const rankedRelays = [...this.#relays].sort(
      (left, right) => hashString(`${team}|${right.address}`) - hashString(`${team}|${left.address}`),
    );
    const chosen = rankedRelays.find((relay) => !isDown(relay, nowMs)) ?? rankedRelays[0];
    const state = this.#teams.get(team);
    const relay = chosen?.address ?? "";
    if (state === undefined) {
      this.#teams.set(team, {
        relay,
        movedUntilMs: chosen === rankedRelays[0] ? 0 : Infinity,
        reportedAtMs: nowMs,
      });
      return false;
    }
    state.reportedAtMs = nowMs;
    const hasMoved = state.relay !== relay;
    if (hasMoved) {
      state.relay = relay;
      state.movedUntilMs = chosen === rankedRelays[0] ? nowMs + relayDownAfterMs : Infinity;
    }
    return hasMoved;
  }

  /** A team is kept for one lease after its last report, because its share may still be active. */
  #removeIdleTeams(nowMs: number): void {
    for (const [team, { reportedAtMs }] of this.#teams) {
      if (nowMs - reportedAtMs > relayDownAfterMs) {
        this.#teams.delete(team);
      }
    }
  }
}

function isDown({ failingSinceMs }: RelayState, nowMs: number): boolean {
  return failingSinceMs !== null && nowMs - failingSinceMs >= relayDownAfterMs;
}
