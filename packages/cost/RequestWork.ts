/** Expected work of a request. Work is in ms of a target's time while all of its slots are in use. */
export interface RequestWork {
  readonly prefillMs: number;
  readonly decodeMs: number;
  /** `prefillMs` and `decodeMs` together. */
  readonly totalMs: number;
  /** Time that the request takes at a target without other requests. */
  readonly aloneMs: number;
  /** Time that each other request adds, if it runs for as long as this one. */
  readonly perOtherMs: number;
  /** Share of the remaining work at a target that delays other requests there. */
  readonly delayingShare: number;
  readonly promptTokens: number;
  /** Expected length of the answer; 0 when work is not counted in tokens. */
  readonly answerTokens: number;
  /** Expected rest of the answer while it is not longer than expected: the less sure the length, the more. */
  readonly minLeftTokens: number;
  /** Longest answer; infinite for no limit. */
  readonly maxTokens: number;
  /** Tokens of one event. */
  readonly stride: number;
  /** Work of one token of the answer. */
  readonly tokenMs: number;
}
