const unitsBySuffix: readonly (readonly [string, string])[] = [
  ["BytesPerS", "bytes per second"],
  ["PerS", "per second"],
  ["Ms", "milliseconds"],
  ["Bytes", "bytes"],
  ["Share", "share from 0 to 1"],
  ["Count", "count"],
];

/** Derives the unit of a field from the suffix of its name; empty when it has none. */
export function getFieldUnit(field: string): string {
  return unitsBySuffix.find(([suffix]) => field.endsWith(suffix))?.[1] ?? "";
}
