const hourMs = 3_600_000;
const dayMs = 24 * hourMs;

/**
 * Horizon of a plan made at a time of day. No weights are moved in busy hours, so a plan shortly before them
 * is used until they end, and its moves have that long to pay off.
 */
export function getPlanHorizon(
  timeOfDayMs: number,
  horizonMs: number,
  busyHours: readonly (readonly [number, number])[],
): number {
  const ends = busyHours.map(([first, end]) => {
    const untilStartMs = (first * hourMs - timeOfDayMs + dayMs) % dayMs;
    return untilStartMs <= horizonMs ? untilStartMs + (end - first) * hourMs : 0;
  });
  return Math.max(horizonMs, ...ends);
}
