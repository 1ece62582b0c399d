import type { StoryLine } from "./StoryLine";

/** Events that change what the processes believe; they explain decisions about requests that follow. */
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
/** Events of the fleet this long before a request still bear on it. */
const beforeMs = 2000;
/** Keys of a line's context that name a request. */
const idKeys: readonly string[] = ["id", "requestId"];
/** Keys that name the process, the most telling one first. */
const instanceKeys: readonly string[] = ["name", "entry", "program"];
const hiddenKeys: ReadonlySet<string> = new Set([...instanceKeys, "logLevel"]);

/** Lines about a request and what the fleet went through meanwhile, in order of time; empty when nothing names it. */
export function findRequestStory(text: string, requestId: string): StoryLine[] {
  const lines = text.split("\n").flatMap((line) => parseLine(line, requestId));
  const own = lines.filter(({ isOwn }) => isOwn).map(({ timeMs, details }) => timeMs - getTookMs(details));
  if (own.length === 0) {
    return [];
  }
  const fromMs = Math.min(...own) - beforeMs;
  const toMs = Math.max(...lines.filter(({ isOwn }) => isOwn).map(({ timeMs }) => timeMs));
  return lines
    .filter(
      ({ isOwn, event, timeMs }) => isOwn || (fleetEvents.has(event) && timeMs >= fromMs && timeMs <= toMs),
    )
    .sort((left, right) => left.timeMs - right.timeMs);
}

/** Lines of other programs, and what a log collector puts in front of a line, are passed over. */
function parseLine(line: string, requestId: string): StoryLine[] {
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
    // Not a line of ours.
    return [];
  }
}

function getTookMs({ tookMs }: Readonly<Record<string, unknown>>): number {
  return typeof tookMs === "number" ? tookMs : 0;
}
