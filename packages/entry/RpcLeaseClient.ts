import type { RenewRequest } from "@clementinemux/messages/RenewRequest";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { LeaseClient } from "./LeaseClient";
import type { RelayCaller } from "./RelayCaller";

/** Renews the serving lease through the relays. */
export class RpcLeaseClient implements LeaseClient {
  readonly #relays: RelayCaller;
  readonly #timeoutMs: number;

  constructor(relays: RelayCaller, timeoutMs: number) {
    this.#relays = relays;
    this.#timeoutMs = timeoutMs;
  }

  async renew(request: RenewRequest): Promise<RenewResponse | null> {
    const answer = await this.#relays.call(MessageName.Renew, request, this.#timeoutMs);
    return answer === null ? null : (answer.body as RenewResponse);
  }
}
