import type { DirectoryRecord } from "./DirectoryRecord";

/** Fields with few distinct values in a fleet; the others are unique to their process. */
const sharedFields: ReadonlySet<string> = new Set([
  "failureDomain",
  "region",
  "kind",
  "models",
  "adapters",
  "version",
  "role",
  "service",
  "group",
]);
const maxSharedCount = 20_000;

/**
 * Makes records that were decoded from frames share their equal strings and lists. Each decoded record holds
 * its own copies otherwise, which made up most of the memory of a directory.
 */
export class RecordInterner {
  readonly #strings = new Map<string, string>();
  readonly #lists = new Map<string, readonly unknown[]>();

  intern(record: DirectoryRecord): DirectoryRecord {
    const { kind, name, incarnation, edit, sequence, announcement, weight } = record;
    const origin = this.#share(record.origin) as string;
    if (announcement === null) {
      return { kind, name, incarnation, edit, origin, sequence, announcement, weight };
    }
    const copied: Record<string, unknown> = {};
    for (const [field, value] of Object.entries(announcement)) {
      copied[field] = sharedFields.has(field) ? this.#share(value) : value;
    }
    // The record and its announcement name the process and its incarnation with the same strings.
    copied[kind] = name;
    copied.incarnation = incarnation;
    const shared = copied as unknown as typeof announcement;
    return { kind, name, incarnation, edit, origin, sequence, announcement: shared, weight };
  }

  #share(value: unknown): unknown {
    if (this.#strings.size + this.#lists.size > maxSharedCount) {
      this.#strings.clear();
      this.#lists.clear();
    }
    if (typeof value === "string") {
      return getOrAdd(this.#strings, value, value);
    }
    return Array.isArray(value) ? getOrAdd(this.#lists, JSON.stringify(value), value as unknown[]) : value;
  }
}

function getOrAdd<Value>(held: Map<string, Value>, key: string, value: Value): Value {
  const known = held.get(key);
  if (known === undefined) {
    held.set(key, value);
    return value;
  }
  return known;
}
