import type { RegistryRecord } from "./RegistryRecord";
import type { TargetLife } from "./TargetLife";
import type { TargetRecord } from "./TargetRecord";

/** A target that was silent for this long is no longer named to gateways: three heartbeats of 1.2 s and a margin. */
const silenceMs = 4500;
/** Records of targets that are gone are kept this long against late heartbeats. */
const tombstoneMs = 60_000;

/** Soft state of the registered targets. Takes times as arguments; has no I/O. */
export class TargetRegistry {
  readonly #records = new Map<string, RegistryRecord>();
  #changes = 0;

  /** Number of the last change that gateways have to learn of. */
  get changes(): number {
    return this.#changes;
  }

  /** Takes over what a target said, directly or by way of another coordinator. Returns whether it is news. */
  put(news: TargetRecord, heardAtMs: number, via: string | null = null): boolean {
    const known = this.#records.get(news.id);
    if (known !== undefined && !isNewer(news, known.target)) {
      if (isSameCall(news, known.target) && heardAtMs > known.heardAtMs) {
        this.#noteHeard({ ...known, via }, heardAtMs);
      }
      return news.isLeaving && this.markLeaving(news);
    }
    const target = { ...news, isLeaving: news.isLeaving || isLeavingLife(known, news) };
    if (this.#isSuperseded(target)) {
      return false;
    }
    if (known !== undefined && isAlike(known.target, target)) {
      this.#noteHeard({ ...known, target, via }, heardAtMs);
      return true;
    }
    this.#changes += 1;
    this.#records.set(target.id, { target, heardAtMs, via, changedAt: this.#changes, isSilent: false });
    return true;
  }

  /** Takes over that a target has said that it leaves. Returns whether that is news about its present life. */
  markLeaving({ id, bornMs }: TargetLife): boolean {
    const known = this.#records.get(id);
    if (known?.target.bornMs !== bornMs || known.target.isLeaving) {
      return false;
    }
    this.#changes += 1;
    const target = { ...known.target, isLeaving: true };
    this.#records.set(id, { ...known, target, changedAt: this.#changes });
    return true;
  }

  /** Marks a target as gone. Returns null for one that is not known. */
  remove(id: string, heardAtMs: number): TargetRecord | null {
    const known = this.#records.get(id);
    if (known === undefined) {
      return null;
    }
    const target = { ...known.target, isGone: true, isDraining: true };
    this.#changes += 1;
    this.#records.set(id, { ...known, target, heardAtMs, via: null, changedAt: this.#changes });
    return target;
  }

  /** Finds targets that have fallen silent, each of which is a change; `changes`, read afterwards, names the list. */
  findSilent(nowMs: number): void {
    for (const [id, record] of this.#records) {
      if (!record.isSilent && nowMs - record.heardAtMs >= silenceMs) {
        this.#changes += record.target.isGone ? 0 : 1;
        this.#records.set(id, { ...record, isSilent: true });
      }
    }
  }

  /** Targets that gateways may use or have to drain. */
  list(nowMs: number): TargetRecord[] {
    this.findSilent(nowMs);
    return [...this.#records.values()]
      .filter(({ target, isSilent }) => !target.isGone && !isSilent)
      .map(({ target }) => target);
  }

  /** Targets that have unregistered, or whose address another one has. */
  listGone(): TargetRecord[] {
    return [...this.#records.values()].filter(({ target }) => target.isGone).map(({ target }) => target);
  }

  /** Records changed after `change`, whether or not their targets still speak. */
  changedSince(change: number): RegistryRecord[] {
    return [...this.#records.values()].filter(({ changedAt }) => changedAt > change);
  }

  /** Records heard of since a time, other than by way of `peer`. */
  heardSince(sinceMs: number, peer: string | null): RegistryRecord[] {
    return [...this.#records.values()].filter(({ heardAtMs, via }) => heardAtMs > sinceMs && via !== peer);
  }

  /** Drops old records; a target that fell silent counts as a change. */
  expire(nowMs: number): void {
    this.findSilent(nowMs);
    for (const [id, { heardAtMs }] of this.#records) {
      if (nowMs - heardAtMs > tombstoneMs) {
        this.#records.delete(id);
      }
    }
  }

  /** Stores a record whose target was heard; one that was silent returns to the list, which is a change. */
  #noteHeard(record: RegistryRecord, heardAtMs: number): void {
    const isBack = record.isSilent && heardAtMs > record.heardAtMs;
    this.#changes += isBack && !record.target.isGone ? 1 : 0;
    this.#records.set(record.target.id, {
      ...record,
      heardAtMs: Math.max(heardAtMs, record.heardAtMs),
      isSilent: record.isSilent && !isBack,
    });
  }

  /** An address belongs to the target that started last. */
  #isSuperseded({ id, address, bornMs }: TargetRecord): boolean {
    for (const { target } of this.#records.values()) {
      if (target.id !== id && target.address === address && target.bornMs > bornMs) {
        return true;
      }
    }
    for (const [otherId, record] of this.#records) {
      const { target } = record;
      if (otherId !== id && target.address === address && target.bornMs < bornMs && !target.isGone) {
        this.#changes += 1;
        this.#records.set(otherId, {
          ...record,
          target: { ...target, isGone: true },
          changedAt: this.#changes,
        });
      }
    }
    return false;
  }
}

function isNewer(left: TargetRecord, right: TargetRecord): boolean {
  if (left.bornMs !== right.bornMs) {
    return left.bornMs > right.bornMs;
  }
  // A target that has unregistered does not come back within the same life.
  if (left.isGone !== right.isGone) {
    return left.isGone;
  }
  return left.sequence > right.sequence;
}

/** Whether two records come from the same call of a target, by way of different coordinators. */
function isSameCall(left: TargetRecord, right: TargetRecord): boolean {
  return left.bornMs === right.bornMs && left.sequence === right.sequence;
}

function isLeavingLife(known: RegistryRecord | undefined, { bornMs }: TargetRecord): boolean {
  return known?.target.bornMs === bornMs && known.target.isLeaving;
}

function isAlike(left: TargetRecord, right: TargetRecord): boolean {
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
