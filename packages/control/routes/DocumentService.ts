import { randomUUID } from "node:crypto";
import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import type { DocumentPart } from "@clementinemux/registry/DocumentPart";
import type { DocumentPartRequest } from "@clementinemux/registry/DocumentPartRequest";
import { documentLimits } from "@clementinemux/registry/documentLimits";
import { fetchDocument } from "@clementinemux/registry/fetchDocument";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { ControlError } from "../ControlError";
import { ControlErrorCode } from "../ControlErrorCode";
import type { ReplicatedGroup } from "../ReplicatedGroup";
import { callLeader } from "../callLeader";
import { callPeer } from "../callPeer";
import { getBytesDigest } from "../getBytesDigest";
import { getTransferTimeMs } from "../getTransferTimeMs";
import type { DocumentConfirmation } from "./DocumentConfirmation";
import type { DocumentReadRequest } from "./DocumentReadRequest";
import type { DocumentReadResponse } from "./DocumentReadResponse";
import type { OfferedDocument } from "./OfferedDocument";
import type { RouteStateMachine } from "./RouteStateMachine";
import type { StoredDocument } from "./StoredDocument";

interface DocumentServiceOptions {
  /** Frame address of this process, at which the leader fetches large documents. */
  readonly address: string;
  readonly group: ReplicatedGroup;
  readonly machine: RouteStateMachine;
  readonly links: PeerLinks;
  readonly clock: Clock;
  readonly logger: Logger;
}

const confirmTimeoutMs = 400;
/** Time for the leader's answer, beside that for the transfer of the document. */
const offerTimeoutMs = 900;
const partTimeoutMs = 1000;

/**
 * Writes and reads of the route document at any replica of the `routes` log; followers forward them to the
 * leader.
 */
export class DocumentService {
  readonly #options: DocumentServiceOptions;
  #confirmedAtMs: number | null = null;
  #pending: { readonly sentAtMs: number; readonly index: number } | null = null;
  #isConfirming = false;
  /** Documents that are being written. A caller without an answer sends one again, and then waits for the same write. */
  readonly #proposals = new Map<string, Promise<void>>();
  /** Documents that the leader may fetch from here, by the id of the offer. */
  readonly #offers = new Map<string, StoredDocument>();

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
    checkSize(document.bytes.length);
    if (group.isLeader) {
      await this.proposeAsLeader(document);
    } else if (document.bytes.length <= documentLimits.partBytes) {
      await callLeader(group, links, MessageName.ProposeDocument, document);
    } else {
      await this.#offer(document);
    }
  }

  /** Stores a document that was sent whole, or one that its sender offers. */
  async proposeAsLeader(proposed: StoredDocument | OfferedDocument): Promise<void> {
    const { group, machine } = this.#options;
    if (!group.isLeader) {
      throw group.createNotLeaderError();
    }
    const { version } = proposed;
    if (group.hasLease && version <= machine.version) {
      return;
    }
    const digest = "bytes" in proposed ? getBytesDigest(proposed.bytes) : proposed.digest;
    const key = `${version} ${digest}`;
    const known = this.#proposals.get(key);
    if (known !== undefined) {
      await known;
      return;
    }
    const outcome = this.#store(proposed);
    this.#proposals.set(key, outcome);
    try {
      await outcome;
    } finally {
      this.#proposals.delete(key);
    }
  }

  /** Returns a part of the stored document, or of one that this process offers to the leader. */
  readPart({ version, offerId, offsetBytes }: DocumentPartRequest): DocumentPart {
    const document = offerId === null ? this.#options.machine : this.#offers.get(offerId);
    if (document?.version !== version) {
      throw new ControlError(ControlErrorCode.Refused, `no document of version ${version} here`);
    }
    const { bytes } = document;
    const part = bytes.subarray(offsetBytes, offsetBytes + documentLimits.partBytes);
    return { totalBytes: bytes.length, bytes: part };
  }

  /** Lets the leader fetch a document that is too large for one message. */
  async #offer(document: StoredDocument): Promise<void> {
    const { address, group, links } = this.#options;
    const { version, bytes } = document;
    const offerId = randomUUID();
    const offer: OfferedDocument = {
      version,
      offerId,
      sizeBytes: bytes.length,
      digest: getBytesDigest(bytes),
      address,
    };
    this.#offers.set(offerId, document);
    try {
      const timeoutMs = offerTimeoutMs + getTransferTimeMs(bytes.length);
      await callLeader(group, links, MessageName.ProposeDocument, offer, timeoutMs);
    } finally {
      this.#offers.delete(offerId);
    }
  }

  async #store(proposed: StoredDocument | OfferedDocument): Promise<void> {
    if ("bytes" in proposed) {
      await this.#commit(proposed);
      return;
    }
    const { version, offerId, sizeBytes, address } = proposed;
    checkSize(sizeBytes);
    await this.#commit({ version, bytes: await this.#fetch(address, { version, offerId }) });
  }

  async #fetch(address: string, source: Omit<DocumentPartRequest, "offsetBytes">): Promise<Uint8Array> {
    const { links } = this.#options;
    return fetchDocument(source, async (request) => {
      const part = await callPeer(links, address, MessageName.ReadDocumentPart, request, partTimeoutMs);
      return part as DocumentPart;
    });
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
    const { group, machine, links } = this.#options;
    if (group.hasLease) {
      return this.#getStored();
    }
    const leader = group.getLeaderAddress() ?? "";
    const request: DocumentReadRequest = { maxInlineBytes: documentLimits.partBytes };
    const answer = await callLeader(group, links, MessageName.ReadDocument, request);
    const { version, bytes } = answer as DocumentReadResponse;
    if (bytes === null && machine.version >= version) {
      return this.#getStored();
    }
    return { version, bytes: bytes ?? (await this.#fetch(leader, { version, offerId: null })) };
  }

  readAsLeader(request: DocumentReadRequest | null): DocumentReadResponse {
    this.#requireLease();
    const { version, bytes } = this.#options.machine;
    return { version, bytes: bytes.length <= (request?.maxInlineBytes ?? Infinity) ? bytes : null };
  }

  #getStored(): StoredDocument {
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

function checkSize(sizeBytes: number): void {
  if (sizeBytes > documentLimits.maxBytes) {
    const text = `the document has ${sizeBytes} bytes, the limit is ${documentLimits.maxBytes}`;
    throw new ControlError(ControlErrorCode.Refused, text);
  }
}
