import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import type { Counters } from "@clementinemux/metrics/Counters";
import type { EntryRegistry } from "@clementinemux/registry/EntryRegistry";
import type { TargetRegistry } from "@clementinemux/registry/TargetRegistry";
import type { MessageHandler } from "@clementinemux/wire/MessageHandler";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { PeerLinks } from "@clementinemux/wire/PeerLinks";
import type { ReplicatedGroup } from "../ReplicatedGroup";
import type { DocumentCommand } from "../routes/DocumentCommand";
import type { PeerTable } from "../routes/PeerTable";
import type { EvacuationChange } from "./EvacuationChange";
import { EvacuationOutcome } from "./EvacuationOutcome";
import type { EvacuationReadRequest } from "./EvacuationReadRequest";
import { EvacuationService } from "./EvacuationService";
import type { EvacuationTable } from "./EvacuationTable";
import { KnownFailureDomains } from "./KnownFailureDomains";
import { failureDomainLimits } from "./failureDomainLimits";

interface EvacuationControlOptions {
  /** Failure domain of this process. */
  readonly failureDomain: string;
  readonly targets: TargetRegistry;
  readonly entries: EntryRegistry;
  readonly peers: PeerTable;
  readonly table: EvacuationTable;
  /** Failure domains that the `routes` log holds. */
  readonly recorded: KnownFailureDomains;
  /** Whether this process knows all targets. */
  readonly isComplete: () => boolean;
  readonly links: PeerLinks;
  readonly outcomes: Counters<EvacuationOutcome>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Registries keep each record for longer than this. */
const noteIntervalMs = 1000;

/** Evacuations of failure domains at one coordinator: calls of operators, and messages of other processes. */
export class EvacuationControl {
  readonly handlers: Readonly<Record<string, MessageHandler>> = {
    [MessageName.ReadEvacuations]: (body) => this.#requireService().read(body as EvacuationReadRequest),
    [MessageName.ProposeEvacuation]: (body) => this.#requireService().propose(body),
  };
  readonly #options: EvacuationControlOptions;
  readonly #failureDomains = new KnownFailureDomains();
  #group: ReplicatedGroup | null = null;
  #service: EvacuationService | null = null;
  #isRecording = false;
  #notedAtMs = -Infinity;

  constructor(options: EvacuationControlOptions) {
    this.#options = options;
    options.table.listen(({ revision, failureDomains }) => {
      options.logger.info({ revision, failureDomains }, "evacuated failure domains changed");
    });
  }

  /** Serves calls with a replica of the `routes` log from now on. */
  open(group: ReplicatedGroup): void {
    const { table, links, isComplete, clock, logger } = this.#options;
    const isKnown = (failureDomain: string): boolean => this.listFailureDomains().includes(failureDomain);
    this.#group = group;
    this.#service = new EvacuationService({ group, table, isKnown, isComplete, links, clock, logger });
  }

  /**
   * Starts or ends the evacuation of a failure domain; only while the caller is connected, since one that has left may have
   * sent a later change elsewhere. Never rejects.
   */
  async change(change: EvacuationChange, isCallerConnected: () => boolean): Promise<EvacuationOutcome> {
    const outcome = (await this.#service?.change(change, isCallerConnected)) ?? EvacuationOutcome.Unavailable;
    this.#options.outcomes.add(outcome);
    this.#options.logger.info({ ...change, outcome }, "evacuation change requested");
    return outcome;
  }

  /** Failure domains of targets, gateways and coordinators that this process has heard of, or that are recorded. */
  listFailureDomains(): readonly string[] {
    this.#note();
    return [...new Set([...this.#options.recorded.names, ...this.#failureDomains.names])];
  }

  /**
   * Remembers the failure domains of the registries before these forget them. The leader records them, so that they are known
   * after a restart while their last members are down. Never rejects.
   */
  async noteFailureDomains(): Promise<void> {
    if (this.#options.clock.monotonicMs() - this.#notedAtMs >= noteIntervalMs) {
      this.#note();
      await this.#record();
    }
  }

  async #record(): Promise<void> {
    const { recorded, logger } = this.#options;
    const failureDomains = this.#failureDomains.names.filter(
      (name) => !recorded.has(name) && name.length <= failureDomainLimits.maxNameLength,
    );
    if (this.#group?.hasLease !== true || this.#isRecording || failureDomains.length === 0) {
      return;
    }
    this.#isRecording = true;
    const command: DocumentCommand = { version: 0, bytes: new Uint8Array(), failureDomains };
    const result = await this.#group.propose(command);
    this.#isRecording = false;
    const error = result.swap().toMaybe().extractNullable()?.message ?? null;
    logger.info({ failureDomains, error }, "failure domains recorded");
  }

  #note(): void {
    const { failureDomain, targets, entries, peers, clock } = this.#options;
    this.#notedAtMs = clock.monotonicMs();
    this.#failureDomains.note([
      failureDomain,
      ...targets.listFailureDomains(),
      ...entries.listFailureDomains(this.#notedAtMs),
      ...peers.peers.map((peer) => peer.failureDomain),
    ]);
  }

  #requireService(): EvacuationService {
    if (this.#service === null) {
      throw new Error("the coordinator has not started");
    }
    return this.#service;
  }
}
