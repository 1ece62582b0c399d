import { join } from "node:path";
import type { Logger } from "roarr";
import type * as z from "zod";
import type { Clock } from "@clementinemux/common/Clock";
import type { Random } from "@clementinemux/common/Random";
import type { RaftMessage } from "@clementinemux/consensus/RaftMessage";
import type { ReplicaInfo } from "@clementinemux/messages/ReplicaInfo";
import { Counters } from "@clementinemux/metrics/Counters";
import type { DiskOperations } from "@clementinemux/storage/DiskOperations";
import { MemoryStorage } from "@clementinemux/storage/MemoryStorage";
import { openGroupStorage } from "@clementinemux/storage/openGroupStorage";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { ControlError } from "./ControlError";
import { ControlErrorCode } from "./ControlErrorCode";
import type { ControlSettings } from "./ControlSettings";
import { ReplicatedGroup } from "./ReplicatedGroup";
import type { StateMachine } from "./StateMachine";

interface GroupHostOptions {
  readonly settings: z.output<typeof ControlSettings>;
  readonly links: PeerLinks;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly onFatal: (error: Error) => void;
  /** See `ReplicatedGroup`; true by default. */
  readonly refusesWhenFull?: boolean;
  /** Whether this machine has a disk; true by default. Without one, nothing is written to the file system. */
  readonly isDurable?: boolean;
  /** The disk of this machine by default. */
  readonly disk?: DiskOperations | undefined;
}

interface RaftEnvelope {
  readonly group: string;
  readonly from: string;
  readonly to: string;
  /** Sender's address in its membership, since an unused replica has no membership to look it up in. */
  readonly replyTo: string | null;
  readonly message: RaftMessage;
}

enum DropReason {
  UnknownGroup = "unknown_group",
  WrongReplica = "wrong_replica",
  /** A message could not be sent, since it is too large. */
  Unsendable = "unsendable",
}

const infoTimeoutMs = 1000;
const messageLimits = {
  maxBatchEntries: 512,
  // Half the frame limit, so that a batch with its envelope always fits.
  maxBatchBytes: 524_288,
  // Short enough that heartbeats pass a slow link in between.
  maxPartBytes: 65_536,
} as const;

/** Hosts the log groups of this process and exchanges their messages with the other replicas. */
export class GroupHost {
  readonly dropped = new Counters("clementinemux_control_raft_dropped", "reason", Object.values(DropReason));
  readonly #options: GroupHostOptions;
  readonly #groups = new Map<string, ReplicatedGroup>();
  readonly #senders = new Map<string, string>();

  constructor(options: GroupHostOptions) {
    this.#options = options;
  }

  get groups(): readonly ReplicatedGroup[] {
    return [...this.#groups.values()];
  }

  get #isDurable(): boolean {
    return this.#options.isDurable ?? true;
  }

  /** Opens a group: on a machine with a disk, its files, by default in its subfolder of the data folder. */
  async open(
    name: string,
    machine: StateMachine,
    onLead: () => void,
    folder = join(this.#options.settings.dataFolder ?? "", name),
  ): Promise<ReplicatedGroup> {
    const { settings, clock, random, logger, links, onFatal, disk } = this.#options;
    const { electionTimeoutMs, heartbeatMs, maxClockDriftShare, snapshotEntries } = settings;
    const storage = this.#isDurable
      ? await openGroupStorage({ folder, onFatal, disk, clock, logger })
      : new MemoryStorage();
    const { replicaId } = storage.state;
    const group = new ReplicatedGroup({
      name,
      storage,
      machine,
      raft: { electionTimeoutMs, heartbeatMs, maxClockDriftShare, random, ...messageLimits },
      clock,
      logger,
      snapshotEntries,
      refusesWhenFull: this.#options.refusesWhenFull ?? true,
      send: (known, to, message) => {
        const address = known ?? this.#senders.get(to);
        if (address !== undefined) {
          const replyTo = group.getAddress(replicaId);
          const envelope: RaftEnvelope = { group: name, from: replicaId, to, replyTo, message };
          const error = links.notify(address, MessageName.Raft, envelope);
          if (error !== null) {
            this.dropped.add(DropReason.Unsendable);
            logger.error({ group: name, kind: message.kind, error: error.message }, "message dropped");
          }
        }
      },
      onElected: onLead,
    });
    this.#groups.set(name, group);
    return group;
  }

  find(name: string): ReplicatedGroup | null {
    return this.#groups.get(name) ?? null;
  }

  /** Returns the group, or throws an error that makes the client try another replica. */
  get(name: string): ReplicatedGroup {
    const group = this.#groups.get(name);
    if (group === undefined) {
      throw new ControlError(ControlErrorCode.UnknownGroup, `no replica of group "${name}" here`);
    }
    return group;
  }

  onRaft(body: unknown): void {
    const { group: name, from, to, replyTo, message } = body as RaftEnvelope;
    const group = this.#groups.get(name);
    if (group?.core.id !== to) {
      // A message to a replica whose disk was lost must not reach the new replica at the same address.
      this.dropped.add(group === undefined ? DropReason.UnknownGroup : DropReason.WrongReplica);
      return;
    }
    if (replyTo !== null) {
      this.#senders.set(from, replyTo);
    }
    group.receive(from, message);
  }

  getInfo(name: string): ReplicaInfo {
    const group = this.#groups.get(name);
    const core = group?.core;
    return {
      name: this.#options.settings.name,
      replicaId: core?.id ?? null,
      // The files of a replacement were used, though nothing of them is left in it.
      isUnused: core?.isUnused !== false && group?.isReplacement !== true,
      isDurable: this.#isDurable,
    };
  }

  async fetchInfo(address: string, group: string): Promise<ReplicaInfo | null> {
    const response = await this.#options.links.call(
      address,
      MessageName.ReplicaInfo,
      { group },
      infoTimeoutMs,
    );
    return response.toMaybe().extractNullable() as ReplicaInfo | null;
  }

  tick(): void {
    for (const group of this.#groups.values()) {
      group.tick();
    }
  }

  /**
   * Creates the groups that do not exist yet. Only the first listed replica with a disk creates a group, and
   * only when every listed process responds and none has ever voted or stored an entry. A replica that lost
   * its disk, or whose files were set aside, therefore cannot create a second group. Replicas without a disk do not become voters.
   */
  async bootstrap(): Promise<void> {
    const { replicas } = this.#options.settings;
    for (const group of this.#groups.values()) {
      if (group.core.isUnused && !group.isReplacement) {
        const infos = await Promise.all(replicas.map((address) => this.fetchInfo(address, group.name)));
        this.#create(group, infos);
      }
    }
  }

  /** `infos` are in the order of the listed replicas; null for those that did not respond. */
  #create(group: ReplicatedGroup, infos: readonly (ReplicaInfo | null)[]): void {
    const { replicas } = this.#options.settings;
    const members = infos.flatMap((info, index) => {
      const id = info?.replicaId ?? null;
      const address = replicas[index] ?? "";
      return info?.isDurable !== true || id === null ? [] : [{ id, member: { name: info.name, address } }];
    });
    // An earlier round may have created the group while this one waited for responses.
    const isReady = group.core.isUnused && infos.every((info) => info?.isUnused === true);
    if (isReady && members[0]?.id === group.core.id) {
      const voters = Object.fromEntries(members.map(({ id, member }) => [id, member]));
      this.#options.logger.info({ group: group.name, voters }, "group created");
      group.bootstrap({ voters, learners: {} });
    }
  }
}
