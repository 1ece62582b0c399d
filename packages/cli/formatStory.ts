import type { StoryLine } from "./StoryLine";
import { formatTable } from "./formatTable";

/** A request's story as columns of text; lines that name it are marked. */
export function formatStory(story: readonly StoryLine[]): string {
  const startMs = story.find(({ isOwn }) => isOwn)?.timeMs ?? 0;
  const rows = story.map(({ timeMs, instance, event, details, isOwn }) => [
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
