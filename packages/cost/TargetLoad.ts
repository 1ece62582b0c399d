/** What all gateways together run at a target, as far as it is known. */
export interface TargetLoad {
  readonly requests: number;
  /** Remaining work in ms of the target's time. */
  readonly leftMs: number;
  /** Part of `leftMs` that is known to belong to prompts. */
  readonly prefillMs: number;
}
