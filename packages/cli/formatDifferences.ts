import type { ValueDifference } from "./ValueDifference";

/** Formats differences as lines that start with - (before) and + (after). */
export function formatDifferences(differences: readonly ValueDifference[]): string {
  if (differences.length === 0) {
    return "no differences";
  }
  return differences
    .flatMap(({ path, before, after }) => [
      ...(before === undefined ? [] : [`- ${path} = ${JSON.stringify(before)}`]),
      ...(after === undefined ? [] : [`+ ${path} = ${JSON.stringify(after)}`]),
    ])
    .join("\n");
}
