import type { ServiceLoad } from "./ServiceLoad";

/** Rounds the numbers for a log line. */
export function roundServiceLoad({
  targets,
  meanLoad,
  slots,
  cap,
  slowPlaces,
  limited,
  held,
  pauseMs,
  meanGapMs,
}: ServiceLoad): ServiceLoad {
  return {
    targets,
    meanLoad: round(meanLoad),
    slots,
    cap: round(cap),
    slowPlaces: Math.floor(slowPlaces),
    limited,
    held,
    pauseMs: pauseMs === null ? null : Math.round(pauseMs),
    meanGapMs: meanGapMs === null ? null : Math.round(meanGapMs),
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
