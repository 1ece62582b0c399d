/** What a target says of itself, as the registry holds it. */
export interface TargetRecord {
  readonly id: string;
  readonly service: string;
  /** `host:port` at which the target takes requests. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Whether the target has said in an answer to a request that it leaves; holds for the rest of its life. */
  readonly isLeaving: boolean;
  /** Whether the target has unregistered; kept so that a late heartbeat cannot bring it back. */
  readonly isGone: boolean;
  /** Unix time of the target's start; orders its lives under one id. */
  readonly bornMs: number;
  /** Increases with each call of one life. */
  readonly sequence: number;
}
