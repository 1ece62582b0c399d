import type { TraceLine } from "./TraceLine";

/** Log messages about state changes of the fleet, which explain later decisions about requests. */
const fleetEvents: ReadonlySet<string> = new Set([
  "coordinator",
  "coordinator started",
  "gateway started",
  "gateway stopping",
  "document proposed",
  "log lines left out",
  "map abandoned",
  "map in force",
  "map planned",
  "member changed",
  "no answer to an order",
  "order refused",
  "role changed",
  "target changed",
  "target removed",
]);
/** Fleet events up to this long before a request belong to its trace. */
const fleetEventLeadMs = 2000;
/** Fields of a line's context that hold a request id. */
const idKeys: readonly string[] = ["id", "requestId"];
/** Fields that name the process, the most specific one first. */
const instanceKeys: readonly string[] = ["name", "entry", "program"];
const hiddenKeys: ReadonlySet<string> = new Set([...instanceKeys, "logLevel"]);

/**
 * Returns the lines about a request and the fleet events around it, by time; empty if no line names the
 * request.
 */
export function findRequestTrace(text: string, requestId: string): TraceLine[] {
  const lines = text.split("\n").flatMap((line) => parseLine(line, requestId));
  const own = lines.filter(({ isOwn }) => isOwn).map(({ timeMs, details }) => timeMs - getTookMs(details));
  if (own.length === 0) {
    return [];
  }
  const fromMs = Math.min(...own) - fleetEventLeadMs;
  const toMs = Math.max(...lines.filter(({ isOwn }) => isOwn).map(({ timeMs }) => timeMs));
  return lines
    .filter(
      ({ isOwn, event, timeMs }) => isOwn || (fleetEvents.has(event) && timeMs >= fromMs && timeMs <= toMs),
    )
    .sort((left, right) => left.timeMs - right.timeMs);
}

/** Skips lines of other programs, and any prefix that a log collector puts before the JSON. */
function parseLine(line: string, requestId: string): TraceLine[] {
  const start = line.indexOf("{");
  try {
    const { context, message, time } = JSON.parse(line.slice(Math.max(0, start))) as {
      readonly context: Readonly<Record<string, unknown>>;
      readonly message: string;
      readonly time: number;
    };
    const instance = instanceKeys.map((key) => context[key]).find((value) => typeof value === "string");
    const isOwn = idKeys.some((key) => context[key] === requestId);
    const details = Object.fromEntries(Object.entries(context).filter(([key]) => !hiddenKeys.has(key)));
    return [{ timeMs: time, instance: instance ?? "", event: message, details, isOwn }];
  } catch {
    // Not a log line of this project.
    return [];
  }
}

function getTookMs({ tookMs }: Readonly<Record<string, unknown>>): number {
  return typeof tookMs === "number" ? tookMs : 0;
}
