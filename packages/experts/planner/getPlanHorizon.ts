const hourMs = 3_600_000;
const dayMs = 24 * hourMs;

/**
 * Horizon of a plan made at a time of day. A plan shortly before busy hours must also serve through them, since
 * no weights move then; its moves may pay off until they end.
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
