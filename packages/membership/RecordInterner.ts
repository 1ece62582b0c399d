import type { DirectoryRecord } from "./DirectoryRecord";

/** Fields with few distinct values in a fleet. The values of the other fields are unique to their process. */
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
 * Makes records that were decoded from frames share equal strings and lists. Without this, each record has
 * its own copies, which then take up most of the directory's memory.
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
    // The announcement shares the name and the incarnation strings of its record.
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

function getOrAdd<Value>(values: Map<string, Value>, key: string, value: Value): Value {
  const known = values.get(key);
  if (known === undefined) {
    values.set(key, value);
    return value;
  }
  return known;
}
