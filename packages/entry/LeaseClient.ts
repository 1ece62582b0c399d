import type { RenewRequest } from "@clementinemux/messages/RenewRequest";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";

/** Renews the serving lease. */
export interface LeaseClient {
  /** Resolves with null when control did not respond. */
  renew(request: RenewRequest): Promise<RenewResponse | null>;
}
