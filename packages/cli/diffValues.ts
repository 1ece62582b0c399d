import type { ValueDifference } from "./ValueDifference";

/** Lists the fields in which two JSON values differ, by dotted path. Arrays are compared as a whole. */
export function diffValues(before: unknown, after: unknown, path = ""): readonly ValueDifference[] {
  if (isObject(before) && isObject(after)) {
    const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
    return keys.flatMap((key) => diffValues(before[key], after[key], path === "" ? key : `${path}.${key}`));
  }
  return JSON.stringify(before) === JSON.stringify(after) ? [] : [{ path, before, after }];
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
