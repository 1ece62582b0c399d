import type { ShiftDay } from "./ShiftDay";

/** Request sizes and popularity shifts as at the users' sites. The caller sets the rate and duration. */
export const usualShiftDay: Omit<ShiftDay, "seed" | "durationMs" | "streamsPerS"> = {
  meanEvents: 16,
  meanPromptTokens: 840,
  objectiveMs: 500,
  gapObjectiveMs: 120,
  shiftEveryMs: 3400,
  shiftShare: 0.65,
};
