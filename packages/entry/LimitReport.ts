import type { LimitSharesRequest } from "@clementinemux/messages/LimitSharesRequest";

/** Report of this entry's demand to one relay. */
export interface LimitReport {
  readonly relay: string;
  readonly sentAtMs: number;
  readonly request: LimitSharesRequest;
}
