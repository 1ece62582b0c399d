import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { ControlError } from "../ControlError";
import { ControlErrorCode } from "../ControlErrorCode";
import type { ReplicatedGroup } from "../ReplicatedGroup";
import { callLeader } from "../callLeader";
import type { DocumentConfirmation } from "./DocumentConfirmation";
import type { RouteStateMachine } from "./RouteStateMachine";
import type { StoredDocument } from "./StoredDocument";

interface DocumentServiceOptions {
  readonly group: ReplicatedGroup;
  readonly machine: RouteStateMachine;
  readonly links: PeerLinks;
  readonly clock: Clock;
  readonly logger: Logger;
}

const confirmTimeoutMs = 400;

/**
 * Writes and reads of the route document at any replica of the `routes` log; followers forward them to the
 * leader.
 */
export class DocumentService {
  readonly #options: DocumentServiceOptions;
  #confirmedAtMs: number | null = null;
  #pending: { readonly sentAtMs: number; readonly index: number } | null = null;
  #isConfirming = false;
  /** The document that is being written. A caller without an answer sends it again, and then waits for the same write. */
  #proposal: { readonly document: StoredDocument; readonly outcome: Promise<void> } | null = null;

  constructor(options: DocumentServiceOptions) {
    this.#options = options;
  }

  /** Age of the latest confirmation that no newer document exists, in ms; null when there is none. */
  getAgeMs(): number | null {
    const { group, clock } = this.#options;
    if (group.hasLease) {
      return 0;
    }
    this.#applyPending();
    return this.#confirmedAtMs === null ? null : clock.monotonicMs() - this.#confirmedAtMs;
  }

  /** Stores a valid document. Resolves when it, or one with a higher version, is durable on a majority. */
  async propose(document: StoredDocument): Promise<void> {
    const { group, links } = this.#options;
    if (group.isLeader) {
      await this.proposeAsLeader(document);
    } else {
      await callLeader(group, links, MessageName.ProposeDocument, document);
    }
  }

  async proposeAsLeader(document: StoredDocument): Promise<void> {
    const { group, machine } = this.#options;
    if (!group.isLeader) {
      throw group.createNotLeaderError();
    }
    if (group.hasLease && document.version <= machine.version) {
      return;
    }
    const known = this.#proposal;
    const isProposed =
      known?.document.version === document.version &&
      Buffer.compare(known.document.bytes, document.bytes) === 0;
    const outcome = isProposed ? known.outcome : this.#commit(document);
    const proposal = { document, outcome };
    this.#proposal = proposal;
    try {
      await outcome;
    } finally {
      if (this.#proposal === proposal) {
        this.#proposal = null;
      }
    }
  }

  async #commit({ version, bytes }: StoredDocument): Promise<void> {
    const { group, machine, logger } = this.#options;
    const result = await group.propose({ version, bytes });
    result.ifLeft((error) => {
      throw error;
    });
    logger.info({ version, adopted: result.extract() === true, held: machine.version }, "document proposed");
  }

  /** Reads the newest document: no older than any that was acknowledged before the call. */
  async read(): Promise<StoredDocument> {
    const { group, links } = this.#options;
    if (group.hasLease) {
      return this.readAsLeader();
    }
    return (await callLeader(group, links, MessageName.ReadDocument, null)) as StoredDocument;
  }

  readAsLeader(): StoredDocument {
    this.#requireLease();
    const { version, bytes } = this.#options.machine;
    return { version, bytes };
  }

  confirmAsLeader(): DocumentConfirmation {
    this.#requireLease();
    return { commitIndex: this.#options.group.core.commitIndex };
  }

  /** Queries the leader for the commit index, unless a query is in flight. */
  async confirm(): Promise<void> {
    const { group, links, clock } = this.#options;
    const leader = group.getLeaderAddress();
    if (this.#isConfirming || group.isLeader || leader === null) {
      return;
    }
    this.#isConfirming = true;
    const sentAtMs = clock.monotonicMs();
    const answer = await links.call(leader, MessageName.ConfirmDocument, null, confirmTimeoutMs);
    this.#isConfirming = false;
    answer.ifRight((body) => {
      this.#applyPending();
      this.#pending = { sentAtMs, index: (body as DocumentConfirmation).commitIndex };
    });
  }

  #applyPending(): void {
    const pending = this.#pending;
    if (pending !== null && this.#options.group.core.appliedIndex >= pending.index) {
      this.#confirmedAtMs = Math.max(pending.sentAtMs, this.#confirmedAtMs ?? -Infinity);
      this.#pending = null;
    }
  }

  #requireLease(): void {
    const { group } = this.#options;
    if (!group.isLeader) {
      throw group.createNotLeaderError();
    }
    if (!group.hasLease) {
      throw new ControlError(ControlErrorCode.NoLease, "the leader has no valid lease");
    }
  }
}
