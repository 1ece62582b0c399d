import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import type { ReplicatedGroup } from "../ReplicatedGroup";
import type { PeerTable } from "./PeerTable";
import { chooseMembershipChange } from "./chooseMembershipChange";

interface MembershipManagerOptions {
  readonly group: ReplicatedGroup;
  readonly peers: PeerTable;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly targetVoters: number;
}

/**
 * Replaces lost replicas automatically, one membership change at a time, while this process leads the log.
 */
export class MembershipManager {
  readonly #options: MembershipManagerOptions;
  #isBusy = false;
  /** Number of voters of the last warning; null while there are enough. */
  #warnedVoters: number | null = null;

  constructor(options: MembershipManagerOptions) {
    this.#options = options;
  }

  /** Proposes the next membership change, if one is needed and the last one has completed. */
  async step(): Promise<void> {
    const { group, peers, clock, logger, targetVoters } = this.#options;
    if (this.#isBusy || !group.hasLease) {
      return;
    }
    const nowMs = clock.monotonicMs();
    const { core, membership } = group;
    const members = Object.keys({ ...membership.voters, ...membership.learners });
    const others = members.filter((id) => id !== core.id);
    const change = chooseMembershipChange({
      membership,
      announced: peers.listAnnounced(nowMs),
      silenceMs: new Map(others.map((id) => [id, core.getSilenceMs(id, nowMs) ?? 0])),
      matchIndexes: new Map(others.map((id) => [id, core.getMatchIndex(id) ?? 0])),
      commitIndex: core.commitIndex,
      targetVoters,
    });
    if (change === null) {
      this.#checkVoters(Object.keys(membership.voters).length);
      return;
    }
    this.#isBusy = true;
    const result = await group.changeMembership(change);
    this.#isBusy = false;
    const error = result.swap().toMaybe().extractNullable();
    logger.info(
      { kind: change.kind, replicaId: change.replicaId, error: error?.message ?? null },
      "member changed",
    );
  }

  /** Warns when there are fewer voters than the tolerated losses need, and no replica that could become one. */
  #checkVoters(voters: number): void {
    const { logger, targetVoters } = this.#options;
    const missing = voters < targetVoters ? voters : null;
    if (missing !== null && missing !== this.#warnedVoters) {
      logger.warn({ voters, targetVoters }, "too few coordinators with a disk for the tolerated losses");
    }
    this.#warnedVoters = missing;
  }
}
