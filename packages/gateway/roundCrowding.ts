import type { Crowding } from "./Crowding";

/** Rounds the numbers for a log line. */
export function roundCrowding({
  targets,
  meanLoad,
  slots,
  cap,
  slowPlaces,
  pauseMs,
  meanGapMs,
}: Crowding): Crowding {
  return {
    targets,
    meanLoad: round(meanLoad),
    slots,
    cap: round(cap),
    slowPlaces: Math.floor(slowPlaces),
    pauseMs: pauseMs === null ? null : Math.round(pauseMs),
    meanGapMs: meanGapMs === null ? null : Math.round(meanGapMs),
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
