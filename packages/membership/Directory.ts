import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import type { EntryAnnouncement } from "@clementinemux/messages/EntryAnnouncement";
import type { AnnounceResult } from "./AnnounceResult";
import type { DirectoryRecord } from "./DirectoryRecord";
import type { DirectorySyncRequest } from "./DirectorySyncRequest";
import type { DirectorySyncResponse } from "./DirectorySyncResponse";
import type { OriginState } from "./OriginState";
import { RecordKind } from "./RecordKind";
import { RecordInterner } from "./RecordInterner";
import { isNewerRecord } from "./isNewerRecord";
import { isSameAnnouncement } from "./isSameAnnouncement";

interface StoredRecord {
  readonly record: DirectoryRecord;
  /** Position among the changes of this directory, for clients that fetch only changes. */
  readonly version: number;
  readonly changedAtMs: number;
}

interface OriginProgress {
  sequence: number;
  beat: number;
  lastBeatAtMs: number;
}

interface DirectoryOptions {
  /** Name and incarnation of the relay; the origin of its changes. */
  readonly origin: string;
  /** Most records in one response to another relay. */
  readonly maxSyncRecords?: number;
  /** Must exceed the longest partition after which relays should converge without a restart. */
  readonly tombstoneRetentionMs?: number;
  /** An origin whose `beat` has not advanced for this long counts as gone, and its records as orphaned. */
  readonly originTimeoutMs?: number;
}

const defaultMaxSyncRecords = 1000;
// A partition between regions lasts up to an hour. If a tombstone were dropped earlier, the other side could
// bring back a target that has left.
const defaultTombstoneRetentionMs = 2 * 3_600_000;
const defaultOriginTimeoutMs = 15_000;

/**
 * Soft-state directory of announced processes. Performs no I/O; relays exchange it with `sync` and `apply`.
 */
export class Directory {
  readonly origin: string;
  readonly #options: Required<DirectoryOptions>;
  readonly #records = new Map<string, StoredRecord>();
  readonly #origins = new Map<string, OriginProgress>();
  readonly #interner = new RecordInterner();
  #version = 0;
  /** Tombstones with this version or a lower one may have been dropped. */
  #oldestVersion = 0;

  constructor(options: DirectoryOptions) {
    this.origin = options.origin;
    this.#options = {
      maxSyncRecords: defaultMaxSyncRecords,
      tombstoneRetentionMs: defaultTombstoneRetentionMs,
      originTimeoutMs: defaultOriginTimeoutMs,
      ...options,
    };
    this.#origins.set(this.origin, { sequence: 0, beat: 0, lastBeatAtMs: 0 });
  }

  get version(): number {
    return this.#version;
  }

  /** Clients that hold this version or a later one can get a delta; the others need a full list. */
  get oldestVersion(): number {
    return this.#oldestVersion;
  }

  get size(): number {
    return this.#records.size;
  }

  get(kind: RecordKind, name: string): DirectoryRecord | undefined {
    return this.#records.get(getKey(kind, name))?.record;
  }

  /** Live announcements of targets. */
  targets(): TargetAnnouncement[] {
    return this.#announcements(RecordKind.Target) as TargetAnnouncement[];
  }

  /** Announcements of entries, including those that are leaving. */
  entries(): EntryAnnouncement[] {
    return this.#announcements(RecordKind.Entry) as EntryAnnouncement[];
  }

  /** Records changed after a version, oldest change first. */
  changedSince(version: number, kind: RecordKind): { record: DirectoryRecord; version: number }[] {
    if (version >= this.#version) {
      return [];
    }
    return [...this.#records.values()]
      .filter((stored) => stored.version > version && stored.record.kind === kind)
      .sort((left, right) => left.version - right.version);
  }

  announceTarget(announcement: TargetAnnouncement, leaving: boolean, nowMs: number): AnnounceResult {
    const { target: name, incarnation } = announcement;
    return this.#announce(RecordKind.Target, name, incarnation, leaving ? null : announcement, nowMs);
  }

  announceEntry(announcement: EntryAnnouncement, nowMs: number): AnnounceResult {
    const { entry: name, incarnation } = announcement;
    return this.#announce(RecordKind.Entry, name, incarnation, announcement, nowMs);
  }

  /**
   * Checks a heartbeat against the record. A heartbeat does not restore a removed record; an announcement
   * does.
   */
  checkHeartbeat(kind: RecordKind, name: string, incarnation: string): AnnounceResult {
    const record = this.get(kind, name);
    const superseded = record !== undefined && record.incarnation > incarnation;
    const unknown = !superseded && (record?.incarnation !== incarnation || record.announcement === null);
    return { accepted: !superseded && !unknown, superseded, unknown };
  }

  /** Replaces a record by a tombstone, unless a newer incarnation has been announced meanwhile. */
  remove(kind: RecordKind, name: string, incarnation: string, nowMs: number): boolean {
    const record = this.get(kind, name);
    if (record === undefined || record.announcement === null || record.incarnation !== incarnation) {
      return false;
    }
    this.#storeOwnChange({ ...record, announcement: null, weight: 1 }, nowMs);
    return true;
  }

  setWeight(name: string, incarnation: string, weight: number, nowMs: number): boolean {
    const record = this.get(RecordKind.Target, name);
    if (
      record === undefined ||
      record.announcement === null ||
      record.incarnation !== incarnation ||
      record.weight === weight
    ) {
      return false;
    }
    this.#storeOwnChange({ ...record, weight }, nowMs);
    return true;
  }

  /** Makes this relay the origin of a record whose origin is gone. */
  takeOver(kind: RecordKind, name: string, nowMs: number): void {
    const record = this.get(kind, name);
    if (record !== undefined && record.origin !== this.origin) {
      this.#storeOwnChange(record, nowMs);
    }
  }

  /** Advances this relay's `beat`, which shows the other relays that it is alive. */
  beat(nowMs: number): void {
    const own = this.#getOrAddOrigin(this.origin, nowMs);
    own.beat += 1;
    own.lastBeatAtMs = nowMs;
  }

  /** Whether the `beat` of a record's origin has not advanced for `timeoutCount` timeouts. */
  isOrphaned(record: DirectoryRecord, nowMs: number, timeoutCount = 1): boolean {
    const origin = this.#origins.get(record.origin);
    return origin === undefined || nowMs - origin.lastBeatAtMs > this.#options.originTimeoutMs * timeoutCount;
  }

  createSyncRequest(): DirectorySyncRequest {
    return { relay: this.origin, origins: this.#describeOrigins() };
  }

  /** Returns records that another relay is missing, oldest changes of each origin first. */
  sync(request: DirectorySyncRequest): DirectorySyncResponse {
    const origins: Record<string, OriginState> = { ...this.#describeOrigins() };
    const behind = Object.keys(origins).filter(
      (origin) => (request.origins[origin]?.sequence ?? 0) < (origins[origin]?.sequence ?? 0),
    );
    if (behind.length === 0) {
      return { relay: this.origin, records: [], origins, more: false };
    }
    const missing = this.#collectMissing(new Set(behind), request);
    const records = missing.slice(0, this.#options.maxSyncRecords);
    const unsent = missing.slice(records.length);
    for (const { origin, sequence } of unsent) {
      // Records beyond the limit are not sent, so the requesting relay must not count them as applied.
      const state = origins[origin];
      if (state !== undefined && sequence <= state.sequence) {
        origins[origin] = { sequence: sequence - 1, beat: state.beat };
      }
    }
    return { relay: this.origin, records, origins, more: unsent.length > 0 };
  }

  /** Applies the response of another relay. Returns the number of records that were new. */
  apply(response: DirectorySyncResponse, nowMs: number): number {
    let newCount = 0;
    for (const record of response.records) {
      const key = getKey(record.kind, record.name);
      const present = this.#records.get(key)?.record;
      if (present === undefined || isNewerRecord(record, present)) {
        this.#store(record, nowMs);
        newCount += 1;
      }
    }
    for (const [name, { sequence, beat }] of Object.entries(response.origins)) {
      const origin = this.#getOrAddOrigin(name, nowMs);
      origin.sequence = Math.max(origin.sequence, sequence);
      if (beat > origin.beat) {
        origin.beat = beat;
        origin.lastBeatAtMs = nowMs;
      }
    }
    return newCount;
  }

  /** Drops tombstones after their retention, and origins that are gone and have no records. */
  collectGarbage(nowMs: number): void {
    const { tombstoneRetentionMs } = this.#options;
    const used = new Set<string>([this.origin]);
    for (const [key, { record, version, changedAtMs }] of this.#records) {
      if (record.announcement === null && nowMs - changedAtMs > tombstoneRetentionMs) {
        this.#records.delete(key);
        this.#oldestVersion = Math.max(this.#oldestVersion, version);
      } else {
        used.add(record.origin);
      }
    }
    for (const [name, { lastBeatAtMs }] of this.#origins) {
      if (!used.has(name) && nowMs - lastBeatAtMs > tombstoneRetentionMs) {
        this.#origins.delete(name);
      }
    }
  }

  #announce(
    kind: RecordKind,
    name: string,
    incarnation: string,
    announcement: TargetAnnouncement | EntryAnnouncement | null,
    nowMs: number,
  ): AnnounceResult {
    const present = this.get(kind, name);
    if (present !== undefined && present.incarnation > incarnation) {
      return { accepted: false, superseded: true, unknown: false };
    }
    const isSame =
      present?.incarnation === incarnation && isSameAnnouncement(present.announcement, announcement);
    if (!isSame) {
      const edit = present?.incarnation === incarnation ? present.edit : 0;
      this.#storeOwnChange(
        { kind, name, incarnation, edit, origin: "", sequence: 0, announcement, weight: 1 },
        nowMs,
      );
    }
    return { accepted: true, superseded: false, unknown: false };
  }

  /** Stores a change made by this relay. */
  #storeOwnChange(base: DirectoryRecord, nowMs: number): void {
    const own = this.#getOrAddOrigin(this.origin, nowMs);
    own.sequence += 1;
    this.#store({ ...base, edit: base.edit + 1, origin: this.origin, sequence: own.sequence }, nowMs);
  }

  #store(record: DirectoryRecord, nowMs: number): void {
    this.#version += 1;
    this.#records.set(getKey(record.kind, record.name), {
      record: this.#interner.intern(record),
      version: this.#version,
      changedAtMs: nowMs,
    });
  }

  #getOrAddOrigin(name: string, nowMs: number): OriginProgress {
    const known = this.#origins.get(name);
    if (known !== undefined) {
      return known;
    }
    const created = { sequence: 0, beat: 0, lastBeatAtMs: nowMs };
    this.#origins.set(name, created);
    return created;
  }

  #describeOrigins(): Record<string, OriginState> {
    return Object.fromEntries(
      [...this.#origins].map(([name, { sequence, beat }]) => [name, { sequence, beat }]),
    );
  }

  #collectMissing(behind: ReadonlySet<string>, request: DirectorySyncRequest): DirectoryRecord[] {
    return [...this.#records.values()]
      .map(({ record }) => record)
      .filter(
        ({ origin, sequence }) => behind.has(origin) && sequence > (request.origins[origin]?.sequence ?? 0),
      )
      .sort((left, right) => left.sequence - right.sequence);
  }

  #announcements(kind: RecordKind): (TargetAnnouncement | EntryAnnouncement)[] {
    const found: (TargetAnnouncement | EntryAnnouncement)[] = [];
    for (const { record } of this.#records.values()) {
      if (record.kind === kind && record.announcement !== null) {
        found.push(record.announcement);
      }
    }
    return found;
  }
}

function getKey(kind: RecordKind, name: string): string {
  return `${kind}/${name}`;
}
