import type { ShiftDay } from "./ShiftDay";

/** Day with the kinds of requests and the shifts of the users' sites; rates and lengths are the caller's. */
export const usualShiftDay: Omit<ShiftDay, "seed" | "durationMs" | "streamsPerS"> = {
  meanEvents: 16,
  meanPromptTokens: 840,
  objectiveMs: 500,
  gapObjectiveMs: 120,
  shiftEveryMs: 3400,
  shiftShare: 0.65,
};
