/** Load of a day in which other experts come into demand again and again. */
export interface ShiftDay {
  readonly seed: number;
  readonly durationMs: number;
  readonly streamsPerS: number;
  readonly meanEvents: number;
  readonly meanPromptTokens: number;
  readonly objectiveMs: number;
  readonly gapObjectiveMs: number;
  readonly shiftEveryMs: number;
  /** Share of what is in demand that changes at each shift. */
  readonly shiftShare: number;
}
