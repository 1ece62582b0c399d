import { decode, encode } from "cbor-x";
import { Left, Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import type { LogEntry } from "@clementinemux/consensus/LogEntry";
import type { Membership } from "@clementinemux/consensus/Membership";
import type { MembershipChange } from "@clementinemux/consensus/MembershipChange";
import { ProposeRefusal } from "@clementinemux/consensus/ProposeRefusal";
import type { RaftAction } from "@clementinemux/consensus/RaftAction";
import { RaftActionKind } from "@clementinemux/consensus/RaftActionKind";
import { RaftCore } from "@clementinemux/consensus/RaftCore";
import type { RaftMessage } from "@clementinemux/consensus/RaftMessage";
import type { RaftOptions } from "@clementinemux/consensus/RaftOptions";
import { RaftRole } from "@clementinemux/consensus/RaftRole";
import type { ReplicaStorage } from "@clementinemux/storage/ReplicaStorage";
import { ControlError } from "./ControlError";
import { ControlErrorCode } from "./ControlErrorCode";
import type { StateMachine } from "./StateMachine";
import { getTransferTimeMs } from "./getTransferTimeMs";

interface ReplicatedGroupOptions {
  readonly name: string;
  readonly storage: ReplicaStorage;
  readonly machine: StateMachine;
  readonly raft: RaftOptions;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly snapshotEntries: number;
  /**
   * Whether a leader with a full disk rejects new commands. Otherwise it still replicates them, and they are
   * committed when a majority of the other replicas has stored them.
   */
  readonly refusesWhenFull: boolean;
  /** The address is null when the receiver is not in this replica's membership. */
  readonly send: (address: string | null, to: string, message: RaftMessage) => void;
  /**
   * Called when this replica has become the leader, before it handles any request. What it proposes is synced and sent
   * together with the first entry of the term.
   */
  readonly onElected: () => void;
}

interface Waiter {
  readonly term: number;
  readonly resolve: (result: Either<ControlError, unknown>) => void;
  readonly timer: NodeJS.Timeout;
}

const commitTimeoutMs = 3000;
/** Applied entries are kept in memory for members that lag; above this size, those get a snapshot. */
const maxAppliedBytes = 8_388_608;

/** Replica of one log group: Raft core, storage and state machine. */
export class ReplicatedGroup {
  readonly name: string;
  readonly #options: ReplicatedGroupOptions;
  readonly #core: RaftCore;
  readonly #waiters = new Map<number, Waiter>();
  #snapshotIndex: number;
  /** Size of the entries that were applied since the last snapshot. */
  #appliedBytes = 0;
  /** Latest term in which this replica has become the leader. */
  #electedTerm = 0;
  #isScheduled = false;

  constructor(options: ReplicatedGroupOptions) {
    this.name = options.name;
    this.#options = options;
    this.#core = new RaftCore(options.storage.state, options.raft, options.clock.monotonicMs());
    this.#snapshotIndex = options.storage.state.snapshot?.index ?? 0;
    this.#flush();
  }

  get core(): RaftCore {
    return this.#core;
  }

  get isLeader(): boolean {
    return this.#core.role === RaftRole.Leader;
  }

  /**
   * Whether this replica may serve reads: it leads with a valid lease and has applied all committed entries.
   */
  get hasLease(): boolean {
    const isApplied = this.#core.appliedIndex === this.#core.commitIndex;
    return isApplied && this.#core.hasLease(this.#now());
  }

  /** Whether the disk is full, so that no new entries are acknowledged. */
  get isStorageFull(): boolean {
    return this.#options.storage.isFull;
  }

  /** Whether this replica took the place of one whose files were set aside. */
  get isReplacement(): boolean {
    return this.#options.storage.isReplacement;
  }

  get membership(): Membership {
    return this.#core.membership;
  }

  getLeaderAddress(): string | null {
    const { leader, membership } = this.#core;
    return leader === null ? null : (membership.voters[leader]?.address ?? null);
  }

  /** Address of a member in the membership known to this replica. */
  getAddress(replicaId: string): string | null {
    const { voters, learners } = this.#core.membership;
    return (voters[replicaId] ?? learners[replicaId])?.address ?? null;
  }

  tick(): void {
    this.#core.tick(this.#now());
    this.#flush();
  }

  receive(from: string, message: RaftMessage): void {
    this.#core.receive(from, message, this.#now());
    this.#schedule();
  }

  bootstrap(membership: Membership): void {
    this.#core.bootstrap(membership, this.#now());
    this.#flush();
  }

  /** Commits a command and returns the state machine's result. After a timeout the outcome is unknown. */
  propose(command: unknown): Promise<Either<ControlError, unknown>> {
    if (this.#options.refusesWhenFull && this.#options.storage.isFull) {
      const error = new ControlError(ControlErrorCode.StorageFull, "the disk of the leader is full");
      return Promise.resolve(Left(error));
    }
    const data = encode(command);
    const timeoutMs = commitTimeoutMs + getTransferTimeMs(data.length);
    return this.#commit((nowMs) => this.#core.propose(data, nowMs), timeoutMs);
  }

  changeMembership(change: MembershipChange): Promise<Either<ControlError, unknown>> {
    return this.#commit((nowMs) => this.#core.proposeMembership(change, nowMs));
  }

  /** Creates the error for a request that only the leader can handle. */
  createNotLeaderError(): ControlError {
    const leader = this.getLeaderAddress();
    const text = `this replica does not lead group "${this.name}"`;
    return new ControlError(ControlErrorCode.NotLeader, text, { leader });
  }

  #commit(
    propose: (nowMs: number) => Either<ProposeRefusal, { index: number; term: number }>,
    timeoutMs = commitTimeoutMs,
  ): Promise<Either<ControlError, unknown>> {
    const proposed = propose(this.#now());
    this.#schedule();
    return proposed.caseOf({
      Left: (refusal) =>
        Promise.resolve(
          Left(
            refusal === ProposeRefusal.NotLeader
              ? this.createNotLeaderError()
              : new ControlError(ControlErrorCode.Refused, `change rejected: ${refusal}`),
          ),
        ),
      Right: ({ index, term }) =>
        new Promise((resolve) => {
          const timer = setTimeout(() => {
            this.#finish(index, Left(createUnknownError()));
          }, timeoutMs);
          this.#waiters.set(index, { term, resolve, timer });
        }),
    });
  }

  #finish(index: number, result: Either<ControlError, unknown>): void {
    const waiter = this.#waiters.get(index);
    if (waiter !== undefined) {
      clearTimeout(waiter.timer);
      this.#waiters.delete(index);
      waiter.resolve(result);
    }
  }

  /**
   * Performs the actions after the current turn of the event loop, so that its proposals share one disk sync.
   */
  #schedule(): void {
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      setImmediate(() => {
        this.#isScheduled = false;
        this.#flush();
      });
    }
  }

  #flush(): void {
    if (this.isLeader && this.#core.term !== this.#electedTerm) {
      this.#electedTerm = this.#core.term;
      this.#options.onElected();
    }
    for (const action of this.#core.takeActions()) {
      this.#perform(action);
    }
    const { appliedIndex } = this.#core;
    const isLong = appliedIndex - this.#snapshotIndex >= this.#options.snapshotEntries;
    if (isLong || this.#appliedBytes >= maxAppliedBytes) {
      this.#snapshotIndex = appliedIndex;
      this.#appliedBytes = 0;
      this.#core.compact(appliedIndex, this.#options.machine.createSnapshot());
      this.#schedule();
    }
  }

  #perform(action: RaftAction): void {
    const { storage, machine, logger } = this.#options;
    switch (action.kind) {
      case RaftActionKind.Persist:
        storage.persist(action, () => {
          this.#core.persisted(action.id, this.#now());
          this.#flush();
        });
        break;
      case RaftActionKind.Send:
        this.#options.send(this.getAddress(action.to), action.to, action.message);
        break;
      case RaftActionKind.Apply:
        action.entries.forEach((entry) => {
          this.#apply(entry);
        });
        break;
      case RaftActionKind.Restore:
        machine.restore(action.snapshot.data);
        this.#snapshotIndex = action.snapshot.index;
        this.#appliedBytes = 0;
        break;
      case RaftActionKind.Role:
        logger.info({ group: this.name, role: action.role, term: action.term }, "role changed");
        break;
    }
  }

  #apply(entry: LogEntry): void {
    this.#appliedBytes += entry.data?.length ?? 0;
    const result = entry.data === null ? null : this.#options.machine.apply(decode(entry.data));
    const waiter = this.#waiters.get(entry.index);
    if (waiter !== undefined) {
      this.#finish(entry.index, waiter.term === entry.term ? Right(result) : Left(createUnknownError()));
    }
  }

  #now(): number {
    return this.#options.clock.monotonicMs();
  }
}

function createUnknownError(): ControlError {
  const text =
    "the leader changed or lost its majority before the command was committed; its outcome is unknown";
  return new ControlError(ControlErrorCode.OutcomeUnknown, text);
}
