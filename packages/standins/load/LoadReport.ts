import type { Histogram } from "hdr-histogram-js";

/** What a load run has seen. Histograms hold microseconds. */
export interface LoadReport {
  readonly sentCount: number;
  readonly wholeCount: number;
  /** Answers with lost, doubled, reordered or foreign tokens. Must be 0. */
  readonly wrongCount: number;
  /** Refusals and failures by reason. */
  readonly failures: ReadonlyMap<string, number>;
  readonly tokenCount: number;
  readonly durationMs: number;
  readonly firstToken: Histogram;
  readonly tokenGap: Histogram;
}
