/** Load of a simulated day on which the popularity of the experts shifts at regular intervals. */
export interface ShiftDay {
  readonly seed: number;
  readonly durationMs: number;
  readonly streamsPerS: number;
  readonly meanEvents: number;
  readonly meanPromptTokens: number;
  readonly objectiveMs: number;
  readonly gapObjectiveMs: number;
  readonly shiftEveryMs: number;
  /** Share of the popularity positions that are reassigned to other experts at each shift. */
  readonly shiftShare: number;
}
