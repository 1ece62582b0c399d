import { setTimeout as delay } from "node:timers/promises";
import type * as z from "zod";
import type { Clock } from "@clementinemux/common/Clock";
import type { Random } from "@clementinemux/common/Random";
import type { ControlClient } from "@clementinemux/control/ControlClient";
import type { GroupLeaseResponse } from "@clementinemux/messages/GroupLeaseResponse";
import type { RankGroupSettings } from "../RankGroupSettings";
import type { RankGroupStatus } from "./RankGroupStatus";
import type { GroupLeader } from "./GroupLeader";
import type { GroupLeaseHolder } from "./GroupLeaseHolder";
import { formatGroupLeaseHolder } from "./formatGroupLeaseHolder";
import { parseGroupLeaseHolder } from "./parseGroupLeaseHolder";

interface LeaderTerms {
  readonly epoch: number;
  readonly decidedVersion: number;
  readonly leaseEndsAtMs: number;
}

interface GroupElectionOptions {
  readonly group: string;
  readonly self: GroupLeaseHolder;
  readonly incarnation: string;
  readonly settings: z.output<typeof RankGroupSettings>;
  readonly control: ControlClient;
  readonly clock: Clock;
  readonly random: Random;
  /** Loads and creates the leader. Called only once this agent is elected. */
  readonly createLeader: (terms: LeaderTerms) => Promise<GroupLeader>;
}

const leaseDeadlineMs = 1000;

/** Requests the group lease from control and runs the leader while this agent holds the lease. */
export class GroupElection {
  readonly #options: GroupElectionOptions;
  #lastResponse: GroupLeaseResponse | null = null;
  #leader: GroupLeader | null = null;
  #isStopped = false;

  constructor(options: GroupElectionOptions) {
    this.#options = options;
  }

  get leader(): GroupLeader | null {
    return this.#leader;
  }

  /** Requests or renews the lease until stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const isHolder = await this.#requestLease();
      await delay(this.#getDelayMs(isHolder), undefined, { ref: false });
    }
  }

  stop(): void {
    this.#isStopped = true;
    this.#stopLeader();
  }

  getStatus(): RankGroupStatus {
    const { group } = this.#options;
    const { target, address } = parseGroupLeaseHolder(this.#lastResponse?.holder ?? "");
    return {
      group,
      lead: target,
      leadAddress: address,
      epoch: this.#lastResponse?.epoch ?? 0,
      report: this.#leader?.getReport() ?? null,
    };
  }

  /** Returns whether this agent runs the leader. */
  async #requestLease(): Promise<boolean> {
    const { group, self, incarnation, control, clock } = this.#options;
    const sentAtMs = clock.monotonicMs();
    const result = await control.groupLease(
      { group, holder: formatGroupLeaseHolder(self), incarnation },
      leaseDeadlineMs,
    );
    const response = result.toMaybe().extractNullable();
    if (response === null || this.#isStopped) {
      // Without a response the lease expires, and the leader sends no orders after that.
      return this.#leader !== null;
    }
    this.#lastResponse = response;
    const { granted, epoch, leaseMs, mapVersion } = response;
    if (!granted || this.#leader?.epoch !== epoch) {
      this.#stopLeader();
    }
    if (!granted) {
      return false;
    }
    const leaseEndsAtMs = sentAtMs + leaseMs;
    if (this.#leader === null) {
      const leader = await this.#options.createLeader({ epoch, decidedVersion: mapVersion, leaseEndsAtMs });
      if (this.#hasStopped()) {
        return false;
      }
      this.#leader = leader;
      leader.start();
    } else {
      this.#leader.renew(leaseEndsAtMs);
    }
    return true;
  }

  #hasStopped(): boolean {
    return this.#isStopped;
  }

  #stopLeader(): void {
    this.#leader?.stop();
    this.#leader = null;
  }

  /** Each candidate's interval grows with the number of ranks, so that control's load does not. */
  #getDelayMs(isHolder: boolean): number {
    const { settings, random } = this.#options;
    const { renewIntervalMs, candidateIntervalMs, rankCount } = settings;
    const meanMs = isHolder ? renewIntervalMs : candidateIntervalMs * rankCount;
    return meanMs * (0.5 + random());
  }
}
