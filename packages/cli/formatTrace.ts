import type { TraceLine } from "./TraceLine";
import { formatTable } from "./formatTable";

/** Formats a request's trace as a table; lines that name the request are marked with an asterisk. */
export function formatTrace(trace: readonly TraceLine[]): string {
  const startMs = trace.find(({ isOwn }) => isOwn)?.timeMs ?? 0;
  const rows = trace.map(({ timeMs, instance, event, details, isOwn }) => [
    isOwn ? "*" : "",
    `${timeMs >= startMs ? "+" : ""}${Math.round(timeMs - startMs)}`,
    instance,
    event,
    formatDetails(details),
  ]);
  return formatTable(["", "MS", "INSTANCE", "EVENT", "DETAILS"], rows);
}

function formatDetails(details: Readonly<Record<string, unknown>>): string {
  return Object.entries(details)
    .filter(([, value]) => value !== null)
    .map(([key, value]) => `${key}=${typeof value === "string" ? value : JSON.stringify(value)}`)
    .join(" ");
}
