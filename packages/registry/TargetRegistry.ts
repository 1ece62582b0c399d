import { matchAddress } from "@clementinemux/wire/matchAddress";
import { ColdTable } from "./ColdTable";
import type { ColdTarget } from "./ColdTarget";
import type { RegistryRecord } from "./RegistryRecord";
import type { TargetIncarnation } from "./TargetIncarnation";
import type { TargetRecord } from "./TargetRecord";
import { isTargetId } from "./isTargetId";

interface EndedIncarnation extends TargetIncarnation {
  /** Whether the target has unregistered; otherwise it is draining. */
  readonly isGone: boolean;
  /** Sequence of the heartbeat that reported the drain. */
  readonly sequence: number;
}

/**
 * A target without a heartbeat for this long is no longer listed to gateways: three intervals of 1.2 s and a
 * margin.
 */
const targetTimeoutMs = 4500;
/** Records of unregistered targets are kept for this long, so that late heartbeats cannot restore them. */
const tombstoneRetentionMs = 60_000;

/** Soft state of the registered targets. Has no I/O and takes the current time as a parameter. */
export class TargetRegistry {
  readonly #records = new Map<string, RegistryRecord>();
  /** Ids of the records, since a search of all of them for each new target takes seconds with thousands of targets. */
  readonly #idsByAddress = new Map<string, Set<string>>();
  /** Cold targets are listed apart from the records, so that a change is sent without the list of all targets. */
  readonly #cold = new ColdTable();
  #lastColdChangeNumber = 0;
  #lastChangeNumber = 0;

  /** Number of the last change that must be sent to gateways. */
  get lastChangeNumber(): number {
    return this.#lastChangeNumber;
  }

  /** Number of the last change of a target from warm to cold, or of its cold time. */
  get lastColdChangeNumber(): number {
    return this.#lastColdChangeNumber;
  }

  /** Applies a record received from the target or from another coordinator. Returns whether it is new. */
  put(received: TargetRecord, seenAtMs: number, via: string | null = null): boolean {
    // A coordinator of an earlier release may pass on a target whose id or address cannot be used.
    if (!isTargetId(received.id) || matchAddress(received.address) === null) {
      return false;
    }
    const known = this.#records.get(received.id);
    if (known !== undefined && !isNewer(received, known.target)) {
      if (isSameHeartbeat(received, known.target) && seenAtMs > known.lastSeenAtMs) {
        this.#refresh({ ...known, via }, seenAtMs);
      }
      return received.isLeaving && this.markLeaving(received);
    }
    const target = { ...received, isLeaving: received.isLeaving || wasLeaving(known, received) };
    if (this.#isSuperseded(target)) {
      return false;
    }
    this.#noteCold(target, seenAtMs);
    if (known !== undefined && hasSameState(known.target, target)) {
      this.#refresh({ ...known, target, via }, seenAtMs);
      return true;
    }
    this.#lastChangeNumber += 1;
    this.#moveAddress(target, known?.target.address ?? null);
    this.#records.set(target.id, {
      target,
      lastSeenAtMs: seenAtMs,
      via,
      changeNumber: this.#lastChangeNumber,
      isSilent: false,
    });
    return true;
  }

  /** Marks a target as leaving. Returns whether that is new for its current incarnation. */
  markLeaving({ id, bornMs }: TargetIncarnation): boolean {
    const known = this.#records.get(id);
    if (known?.target.bornMs !== bornMs || known.target.isLeaving) {
      return false;
    }
    this.#lastChangeNumber += 1;
    const target = { ...known.target, isLeaving: true };
    this.#records.set(id, { ...known, target, changeNumber: this.#lastChangeNumber });
    return true;
  }

  /** Marks a target as unregistered. Returns null for an unknown target. */
  remove(id: string, seenAtMs: number): TargetRecord | null {
    const known = this.#records.get(id);
    if (known === undefined) {
      return null;
    }
    const target = { ...known.target, isGone: true, isDraining: true };
    this.#lastChangeNumber += 1;
    this.#records.set(id, {
      ...known,
      target,
      lastSeenAtMs: seenAtMs,
      via: null,
      changeNumber: this.#lastChangeNumber,
    });
    return target;
  }

  /** Applies a recorded end to the known incarnation of a target, unless that started later. */
  end({ id, bornMs, isGone, sequence }: EndedIncarnation): void {
    const known = this.#records.get(id);
    if (known === undefined || known.target.bornMs > bornMs || known.target.isGone) {
      return;
    }
    const isOver = isGone || known.target.bornMs < bornMs;
    if (!isOver && (known.target.isDraining || known.target.sequence > sequence)) {
      return;
    }
    this.#lastChangeNumber += 1;
    const target = { ...known.target, isDraining: true, isGone: isOver };
    this.#records.set(id, { ...known, target, changeNumber: this.#lastChangeNumber });
  }

  /**
   * Marks targets that have timed out, each of which is a change. `lastChangeNumber` must be read afterwards
   * to identify the list.
   */
  markSilent(nowMs: number): void {
    for (const [id, record] of this.#records) {
      if (!record.isSilent && nowMs - record.lastSeenAtMs >= targetTimeoutMs) {
        this.#lastChangeNumber += record.target.isGone ? 0 : 1;
        this.#records.set(id, { ...record, isSilent: true });
      }
    }
  }

  /** Targets that gateways may use or must drain. */
  list(nowMs: number): TargetRecord[] {
    this.markSilent(nowMs);
    return [...this.#records.values()]
      .filter(({ target, isSilent }) => !target.isGone && !isSilent)
      .map(({ target }) => target);
  }

  /** Targets that are cold, or were until just now. */
  listCold(nowMs: number): ColdTarget[] {
    return this.#cold.list(nowMs);
  }

  /** Number of cold targets. */
  countCold(nowMs: number): number {
    return this.#cold.count(nowMs);
  }

  /** Time for which an incarnation stays cold, in ms; 0 when it is warm. */
  getColdLeftMs(target: TargetIncarnation, nowMs: number): number {
    return this.#cold.getLeftMs(target, nowMs);
  }

  /** Targets that have unregistered, or whose address is used by a later target. */
  listGone(): TargetRecord[] {
    return [...this.#records.values()].filter(({ target }) => target.isGone).map(({ target }) => target);
  }

  /** The incarnation of a target that is known, also when it has timed out or unregistered. */
  find(id: string): TargetRecord | null {
    return this.#records.get(id)?.target ?? null;
  }

  /** Failure domains of all targets that are remembered, also of those that have timed out or unregistered. */
  listFailureDomains(): Set<string> {
    return new Set([...this.#records.values()].map(({ target }) => target.failureDomain));
  }

  /** Records changed after change number `change`, including those of targets that have timed out. */
  changedSince(change: number): RegistryRecord[] {
    return [...this.#records.values()].filter(({ changeNumber: recordChange }) => recordChange > change);
  }

  /** Records updated since a time, except for those whose last update came from `peer`. */
  seenSince(sinceMs: number, peer: string | null): RegistryRecord[] {
    return [...this.#records.values()].filter(
      ({ lastSeenAtMs: seenAtMs, via }) => seenAtMs > sinceMs && via !== peer,
    );
  }

  /** Marks targets that have timed out and drops old records. */
  expire(nowMs: number): void {
    this.markSilent(nowMs);
    for (const [id, { target, lastSeenAtMs: seenAtMs }] of this.#records) {
      if (nowMs - seenAtMs > tombstoneRetentionMs) {
        this.#records.delete(id);
        this.#removeAddress(id, target.address);
      }
    }
  }

  #noteCold({ id, bornMs, sequence, coldLeftMs }: TargetRecord, seenAtMs: number): void {
    const hasChanged =
      coldLeftMs !== undefined && this.#cold.note({ id, bornMs, sequence, leftMs: coldLeftMs }, seenAtMs);
    this.#lastColdChangeNumber += hasChanged ? 1 : 0;
  }

  /**
   * Stores a record whose target was seen. A target that had timed out is listed again, which is a change.
   */
  #refresh(record: RegistryRecord, seenAtMs: number): void {
    const isBack = record.isSilent && seenAtMs > record.lastSeenAtMs;
    this.#lastChangeNumber += isBack && !record.target.isGone ? 1 : 0;
    this.#records.set(record.target.id, {
      ...record,
      lastSeenAtMs: Math.max(seenAtMs, record.lastSeenAtMs),
      isSilent: record.isSilent && !isBack,
    });
  }

  /**
   * Whether a target that started later uses the same address. Otherwise marks targets that started earlier
   * and use the address as unregistered.
   */
  #isSuperseded({ id, address, bornMs }: TargetRecord): boolean {
    const others = [...(this.#idsByAddress.get(address) ?? [])].filter((otherId) => otherId !== id);
    const records = others.flatMap((otherId) => this.#records.get(otherId) ?? []);
    if (records.some(({ target }) => target.bornMs > bornMs)) {
      return true;
    }
    for (const record of records) {
      const { target } = record;
      if (target.bornMs < bornMs && !target.isGone) {
        this.#lastChangeNumber += 1;
        this.#records.set(target.id, {
          ...record,
          target: { ...target, isGone: true },
          changeNumber: this.#lastChangeNumber,
        });
      }
    }
    return false;
  }

  #moveAddress({ id, address }: TargetRecord, previousAddress: string | null): void {
    if (previousAddress !== null) {
      this.#removeAddress(id, previousAddress);
    }
    const ids = this.#idsByAddress.get(address) ?? new Set();
    this.#idsByAddress.set(address, ids.add(id));
  }

  #removeAddress(id: string, address: string): void {
    const ids = this.#idsByAddress.get(address);
    ids?.delete(id);
    if (ids?.size === 0) {
      this.#idsByAddress.delete(address);
    }
  }
}

function isNewer(left: TargetRecord, right: TargetRecord): boolean {
  if (left.bornMs !== right.bornMs) {
    return left.bornMs > right.bornMs;
  }
  // A target that has unregistered does not return within the same incarnation.
  if (left.isGone !== right.isGone) {
    return left.isGone;
  }
  return left.sequence > right.sequence;
}

/** Whether two records come from the same heartbeat, received through different coordinators. */
function isSameHeartbeat(left: TargetRecord, right: TargetRecord): boolean {
  return left.bornMs === right.bornMs && left.sequence === right.sequence;
}

function wasLeaving(known: RegistryRecord | undefined, { bornMs }: TargetRecord): boolean {
  return known?.target.bornMs === bornMs && known.target.isLeaving;
}

function hasSameState(left: TargetRecord, right: TargetRecord): boolean {
  return (
    left.bornMs === right.bornMs &&
    left.address === right.address &&
    left.service === right.service &&
    left.isDraining === right.isDraining &&
    left.isLeaving === right.isLeaving &&
    left.isGone === right.isGone &&
    left.slots === right.slots
  );
}
