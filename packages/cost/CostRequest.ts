import type { EngineParameters } from "@clementinemux/routes/EngineParameters";

/** What is known of a request before it runs. */
export interface CostRequest {
  readonly route: string;
  /** Null for targets that are not engines. */
  readonly engine: EngineParameters | null;
  /** Requests that one target runs concurrently. */
  readonly slots: number;
  /** 0 when the caller states none. */
  readonly promptTokens: number;
  /** The caller's estimate of the answer's length; 0 for none. */
  readonly hintTokens: number;
  /** 0 for no limit. */
  readonly maxAnswerTokens: number;
}
