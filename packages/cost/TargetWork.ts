/** Remaining work of the requests that one gateway runs at a target. */
export interface TargetWork {
  requests: number;
  /** Work that remains, in ms of the target's time. */
  leftMs: number;
  /** Part of `leftMs` that belongs to prompts of which no event has arrived. */
  prefillMs: number;
  /** Tokens that the requests hold in the memory of the engine at their end. */
  heldTokens: number;
}
