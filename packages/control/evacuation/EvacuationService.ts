import { setImmediate as nextTurn, setTimeout as delay } from "node:timers/promises";
import type { Logger } from "roarr";
import type * as z from "zod";
import type { Clock } from "@clementinemux/common/Clock";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { PeerLinks } from "@clementinemux/wire/PeerLinks";
import type { ReplicatedGroup } from "../ReplicatedGroup";
import { callLeader } from "../callLeader";
import type { DocumentCommand } from "../routes/DocumentCommand";
import type { EvacuationChange } from "./EvacuationChange";
import { EvacuationOutcome } from "./EvacuationOutcome";
import { EvacuationProposal } from "./EvacuationProposal";
import type { EvacuationProposalResult } from "./EvacuationProposalResult";
import type { EvacuationReadRequest } from "./EvacuationReadRequest";
import type { EvacuationReadResponse } from "./EvacuationReadResponse";
import type { EvacuationState } from "./EvacuationState";
import type { EvacuationTable } from "./EvacuationTable";
import { changeEvacuations } from "./changeEvacuations";

type Proposal = z.output<typeof EvacuationProposal>;

interface EvacuationServiceOptions {
  readonly group: Pick<ReplicatedGroup, "hasLease" | "propose" | "getLeaderAddress" | "createNotLeaderError">;
  readonly table: EvacuationTable;
  /** Whether this process has heard of a failure domain. */
  readonly isKnown: (failureDomain: string) => boolean;
  /** Whether this process knows all targets. */
  readonly isComplete: () => boolean;
  readonly links: PeerLinks;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Operators ask another coordinator after a second without a response. */
const maxCallAgeMs = 900;
/** Time for one read at the leader; another one may lead by then. */
const readTimeoutMs = 300;
const retryIntervalMs = 30;
/** Turns of the event loop after which the end of a connection that was received with a call has been noticed. */
const noticeTurns = 3;

/**
 * Starts and ends evacuations at any replica of the `routes` log; followers forward reads and commands to the leader. Each
 * command is conditional on the revision that was read after its call had arrived.
 */
export class EvacuationService {
  readonly #options: EvacuationServiceOptions;

  constructor(options: EvacuationServiceOptions) {
    this.#options = options;
  }

  /**
   * Resolves with `Acknowledged` once the change is on the disks of a majority. Tries again while the caller is connected and
   * waits for the answer: a change that it no longer waits for could undo a later one. Never rejects.
   */
  async change(change: EvacuationChange, isCallerConnected: () => boolean): Promise<EvacuationOutcome> {
    const { clock } = this.#options;
    const endMs = clock.monotonicMs() + maxCallAgeMs;
    const getLeftMs = (): number => (isCallerConnected() ? endMs - clock.monotonicMs() : 0);
    while (getLeftMs() > 0) {
      const outcome = await this.#attempt(change, getLeftMs);
      if (outcome !== null) {
        return outcome;
      }
      await delay(Math.max(0, Math.min(retryIntervalMs, getLeftMs())));
    }
    return EvacuationOutcome.Unavailable;
  }

  /** Reads the state of the leader. Rejects when none is known, or without its response in time. */
  async read(request: EvacuationReadRequest, timeoutMs = readTimeoutMs): Promise<EvacuationReadResponse> {
    const { group, links, table, isComplete } = this.#options;
    const { failureDomain, isForwarded } = request;
    const isKnownHere = failureDomain !== null && this.#isKnown(failureDomain);
    if (group.hasLease) {
      return { state: table.state, isKnown: isKnownHere, isComplete: isComplete() };
    }
    this.#checkMayForward(isForwarded);
    const forwarded: EvacuationReadRequest = { failureDomain, isForwarded: true };
    const answer = await callLeader(group, links, MessageName.ReadEvacuations, forwarded, timeoutMs);
    const { state, isKnown } = answer as EvacuationReadResponse;
    // A leader that has lost state to a snapshot of an earlier release may know less than this replica.
    const latest = state.revision >= table.state.revision ? state : table.state;
    return { state: latest, isKnown: isKnown || isKnownHere, isComplete: isComplete() };
  }

  /** Commits a change. Rejects when no leader has a lease, so that nothing changes, or when the outcome is unknown. */
  async propose(body: unknown, timeoutMs = maxCallAgeMs): Promise<EvacuationProposalResult> {
    const { group, links } = this.#options;
    const proposal = EvacuationProposal.parse(body);
    if (group.hasLease) {
      return this.#commit(proposal);
    }
    this.#checkMayForward(proposal.isForwarded);
    const forwarded: Proposal = { ...proposal, isForwarded: true };
    const answer = await callLeader(group, links, MessageName.ProposeEvacuation, forwarded, timeoutMs);
    return answer as EvacuationProposalResult;
  }

  /** Resolves with null when the change was not made and may be tried again. */
  async #attempt(change: EvacuationChange, getLeftMs: () => number): Promise<EvacuationOutcome | null> {
    const { failureDomain } = change;
    try {
      const request = { failureDomain, isForwarded: false };
      const { state, isKnown, isComplete } = await this.read(request, Math.min(readTimeoutMs, getLeftMs()));
      if (!isKnown) {
        return isComplete ? EvacuationOutcome.UnknownFailureDomain : EvacuationOutcome.Unavailable;
      }
      for (let turn = 0; turn < noticeTurns; turn += 1) {
        await nextTurn();
      }
      return getLeftMs() > 0 ? await this.#proposeWithin(change, state, getLeftMs()) : null;
    } catch (error) {
      this.#options.logger.info({ ...change, error: String(error) }, "evacuation not changed yet");
      return null;
    }
  }

  async #proposeWithin(
    change: EvacuationChange,
    base: EvacuationState,
    leftMs: number,
  ): Promise<EvacuationOutcome | null> {
    const proposal: Proposal = {
      ...change,
      base: { ...base, failureDomains: [...base.failureDomains], ended: [...base.ended] },
      isForwarded: false,
    };
    const result = await Promise.race([this.propose(proposal, leftMs), delay(leftMs, null)]);
    return result?.isApplied === true ? EvacuationOutcome.Acknowledged : null;
  }

  async #commit({ base, failureDomain, isEvacuated }: Proposal): Promise<EvacuationProposalResult> {
    const { group, table, logger } = this.#options;
    const baseRevision = base.revision;
    if (baseRevision < table.state.revision) {
      return { isApplied: false };
    }
    const state = changeEvacuations(base, { failureDomain, isEvacuated });
    const command: DocumentCommand = {
      version: 0,
      bytes: new Uint8Array(),
      evacuation: { baseRevision, state },
    };
    const result = await group.propose(command);
    result.ifLeft((error) => {
      throw error;
    });
    const isApplied = result.extract() === true;
    logger.info({ failureDomain, isEvacuated, baseRevision, isApplied }, "evacuation proposed");
    return { isApplied };
  }

  #isKnown(failureDomain: string): boolean {
    const { table, isKnown } = this.#options;
    const { failureDomains, ended } = table.state;
    return failureDomains.includes(failureDomain) || ended.includes(failureDomain) || isKnown(failureDomain);
  }

  #checkMayForward(isForwarded: boolean): void {
    if (isForwarded) {
      throw this.#options.group.createNotLeaderError();
    }
  }
}
