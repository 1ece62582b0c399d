import type { Histogram } from "hdr-histogram-js";

/** Result of a run of the load generator. Histograms are in microseconds. */
export interface LoadRunReport {
  readonly sentCount: number;
  /** Responses with all expected tokens and the final event. */
  readonly wholeCount: number;
  /** Responses with lost, duplicated or reordered tokens, or with tokens of another request. Must be 0. */
  readonly wrongCount: number;
  /** Rejections and failures by reason. */
  readonly failures: ReadonlyMap<string, number>;
  readonly tokenCount: number;
  readonly durationMs: number;
  readonly firstToken: Histogram;
  readonly tokenGap: Histogram;
}
