import { createHash } from "node:crypto";
import { decode, encode } from "cbor-x";
import type { CancelClaimRequest } from "@clementinemux/messages/CancelClaimRequest";
import type { ClaimRequest } from "@clementinemux/messages/ClaimRequest";
import type { ClaimResponse } from "@clementinemux/messages/ClaimResponse";
import { ClaimState } from "@clementinemux/messages/ClaimState";
import type { Claimant } from "@clementinemux/messages/Claimant";
import type { CompleteClaimRequest } from "@clementinemux/messages/CompleteClaimRequest";
import type { ClaimCommand } from "./ClaimCommand";
import { ClaimCommandKind } from "./ClaimCommandKind";
import type { ClaimRecord } from "./ClaimRecord";
import { ClaimRecordState } from "./ClaimRecordState";
import type { StateMachine } from "./StateMachine";

// No request has a longer deadline, so the claimant of a claim that has been open for longer is gone.
const maxOpenClaimMs = 3_600_000;

// Only claims that are in flight when their cancellation commits need to be recognised.
const maxCancelled = 16;

type Requester = Pick<ClaimRequest, "claimant" | "requestId">;

const responseStates = {
  [ClaimRecordState.Claimed]: ClaimState.InProgress,
  [ClaimRecordState.Cancelled]: ClaimState.InProgress,
  [ClaimRecordState.Recorded]: ClaimState.Recorded,
  [ClaimRecordState.OutcomeUnknown]: ClaimState.OutcomeUnknown,
} as const;

/** State machine of a claim group: the claims of non-repeatable requests. See section 8 of the design. */
export class ClaimStateMachine implements StateMachine {
  /** By team and key, in order of the last change. */
  #records = new Map<string, ClaimRecord>();
  #tombstones = new Map<string, number>();
  /**
   * Newest incarnation of each entry that has claimed. Outcomes of older incarnations' open claims are
   * unknown.
   */
  #incarnations = new Map<string, string>();
  #nowMs = 0;

  apply(command: unknown): unknown {
    const known = command as ClaimCommand;
    this.#advanceTime(known);
    switch (known.kind) {
      case ClaimCommandKind.Claim:
        return this.#claim(known.request, known.claimRetentionMs);
      case ClaimCommandKind.Complete:
        return this.#complete(known.request);
      case ClaimCommandKind.Cancel:
        return this.#cancel(known.request);
    }
  }

  /** Returns the response for a key without claiming it; null when the key is not known. */
  lookup(team: string, key: string): ClaimResponse | null {
    const record = this.#records.get(getRecordKey(team, key));
    if (record === undefined) {
      const isExpired = this.#tombstones.has(getTombstone(team, key));
      return isExpired ? { state: ClaimState.KeyExpired, attempt: 0, answer: null } : null;
    }
    return this.#createResponse(record, this.#getState(record));
  }

  createSnapshot(): Uint8Array {
    return encode({
      records: [...this.#records],
      tombstones: [...this.#tombstones],
      incarnations: [...this.#incarnations],
      nowMs: this.#nowMs,
    });
  }

  restore(snapshot: Uint8Array): void {
    const state = decode(snapshot) as {
      records: [string, ClaimRecord][];
      tombstones: [string, number][];
      incarnations: [string, string][];
      nowMs: number;
    };
    this.#records = new Map(state.records);
    this.#tombstones = new Map(state.tombstones);
    this.#incarnations = new Map(state.incarnations);
    this.#nowMs = state.nowMs;
  }

  #advanceTime({ nowMs, claimRetentionMs, tombstoneRetentionMs }: ClaimCommand): void {
    this.#nowMs = Math.max(this.#nowMs, nowMs);
    for (const [key, { changedAtMs, state }] of this.#records) {
      if (changedAtMs + claimRetentionMs > this.#nowMs) {
        break;
      }
      this.#records.delete(key);
      // A cancelled request was not executed, so its key may be used again.
      if (state !== ClaimRecordState.Cancelled) {
        this.#tombstones.set(digest(key), this.#nowMs);
      }
    }
    for (const [key, atMs] of this.#tombstones) {
      if (atMs + tombstoneRetentionMs > this.#nowMs) {
        break;
      }
      this.#tombstones.delete(key);
    }
  }

  #claim(request: ClaimRequest, retentionMs: number): ClaimResponse {
    const { team, key, claimant, createdAtMs, bodyDigest } = request;
    this.#recordIncarnation(claimant);
    const isOld = createdAtMs !== null && createdAtMs + retentionMs <= this.#nowMs;
    if (isOld || this.#tombstones.has(getTombstone(team, key))) {
      return { state: ClaimState.KeyExpired, attempt: 0, answer: null };
    }
    const record = this.#records.get(getRecordKey(team, key));
    if (record !== undefined && record.attempt > 0 && record.bodyDigest !== bodyDigest) {
      return { state: ClaimState.KeyReused, attempt: record.attempt, answer: null };
    }
    if (record === undefined || record.state === ClaimRecordState.Cancelled) {
      return record?.cancelled.includes(getRequestName(request)) === true
        ? this.#createResponse(record, ClaimState.InProgress)
        : this.#grant(request, record);
    }
    if (isHeldBy(record, request) && record.state === ClaimRecordState.Claimed) {
      return this.#createResponse(record, ClaimState.Granted);
    }
    const state = this.#getState(record);
    if (state === ClaimState.OutcomeUnknown && record.state === ClaimRecordState.Claimed) {
      // Stored, so that all later callers get the same response as this one.
      this.#put(team, key, { ...record, state: ClaimRecordState.OutcomeUnknown });
    }
    return this.#createResponse(record, state);
  }

  #grant(request: ClaimRequest, earlier: ClaimRecord | undefined): ClaimResponse {
    const attempt = (earlier?.attempt ?? 0) + 1;
    const cancelled = earlier?.cancelled ?? [];
    const { team, key, bodyDigest, claimant, requestId } = request;
    const state = ClaimRecordState.Claimed;
    this.#put(team, key, { bodyDigest, claimant, requestId, attempt, state, answer: null, cancelled });
    return { state: ClaimState.Granted, attempt, answer: null };
  }

  /** Returns the response, or an error message if the request is rejected. */
  #complete(request: CompleteClaimRequest): ClaimResponse | string {
    const { team, key, attempt, answer } = request;
    const record = this.#records.get(getRecordKey(team, key));
    if (record?.attempt !== attempt || !isHeldBy(record, request)) {
      return "only the claimant of the current attempt may complete a claim";
    }
    if (record.state === ClaimRecordState.Cancelled) {
      return "the claim was cancelled";
    }
    if (record.state === ClaimRecordState.Recorded) {
      return this.#createResponse(record, ClaimState.Recorded);
    }
    const state = answer === null ? ClaimRecordState.OutcomeUnknown : ClaimRecordState.Recorded;
    const completed = this.#put(team, key, { ...record, state, answer });
    return this.#createResponse(completed, responseStates[state]);
  }

  /** Returns whether the claim is cancelled, or an error message if the request is rejected. */
  #cancel(request: CancelClaimRequest): { readonly cancelled: boolean } | string {
    const { team, key, attempt } = request;
    const record = this.#records.get(getRecordKey(team, key));
    const isHeld = record !== undefined && isHeldBy(record, request);
    if (attempt !== null && (!isHeld || record.attempt !== attempt)) {
      return "only the claimant of the current attempt may cancel a claim";
    }
    if (record === undefined) {
      return { cancelled: this.#recordCancellation(request) };
    }
    if (!isHeld) {
      this.#addCancelled(record, request);
      return { cancelled: true };
    }
    if (record.state === ClaimRecordState.Claimed) {
      this.#addCancelled({ ...record, state: ClaimRecordState.Cancelled }, request);
      return { cancelled: true };
    }
    return { cancelled: record.state === ClaimRecordState.Cancelled };
  }

  /** Records a cancellation that arrived before its claim, so that the claim is not granted later. */
  #recordCancellation(request: CancelClaimRequest): boolean {
    const { team, key, claimant, requestId } = request;
    if (this.#tombstones.has(getTombstone(team, key))) {
      return false;
    }
    const state = ClaimRecordState.Cancelled;
    const empty = { bodyDigest: "", claimant, requestId, attempt: 0, state, answer: null, cancelled: [] };
    this.#addCancelled(empty, request);
    return true;
  }

  #addCancelled(record: Omit<ClaimRecord, "changedAtMs">, request: CancelClaimRequest): void {
    const name = getRequestName(request);
    // A completed claim is never granted again, so late claims of its key are harmless.
    const isOpen = record.state === ClaimRecordState.Claimed || record.state === ClaimRecordState.Cancelled;
    if (isOpen && !record.cancelled.includes(name)) {
      const cancelled = [...record.cancelled, name].slice(-maxCancelled);
      this.#put(request.team, request.key, { ...record, cancelled });
    }
  }

  #put(team: string, key: string, record: Omit<ClaimRecord, "changedAtMs">): ClaimRecord {
    const recordKey = getRecordKey(team, key);
    const changed = { ...record, changedAtMs: this.#nowMs };
    this.#records.delete(recordKey);
    this.#records.set(recordKey, changed);
    return changed;
  }

  #getState(record: ClaimRecord): ClaimState {
    const { entry, incarnation } = record.claimant;
    const isGone =
      incarnation < (this.#incarnations.get(entry) ?? "") ||
      record.changedAtMs + maxOpenClaimMs < this.#nowMs;
    return record.state === ClaimRecordState.Claimed && isGone
      ? ClaimState.OutcomeUnknown
      : responseStates[record.state];
  }

  #createResponse({ attempt, answer }: ClaimRecord, state: ClaimState): ClaimResponse {
    return { state, attempt, answer };
  }

  #recordIncarnation({ entry, incarnation }: Claimant): void {
    if (incarnation > (this.#incarnations.get(entry) ?? "")) {
      this.#incarnations.set(entry, incarnation);
    }
  }
}

function isHeldBy(record: ClaimRecord, request: Requester): boolean {
  return getRequestName(record) === getRequestName(request);
}

/** Names a request unambiguously: length prefixes separate the parts, whatever characters they contain. */
function getRequestName({ claimant: { entry, incarnation }, requestId }: Requester): string {
  return `${entry.length}:${entry}${incarnation.length}:${incarnation}${requestId}`;
}

/** Key of a record: the length prefix separates team and key, whatever characters they contain. */
function getRecordKey(team: string, key: string): string {
  return `${team.length}:${team}${key}`;
}

function getTombstone(team: string, key: string): string {
  return digest(getRecordKey(team, key));
}

function digest(text: string): string {
  return createHash("sha256").update(text).digest().subarray(0, 16).toString("latin1");
}
