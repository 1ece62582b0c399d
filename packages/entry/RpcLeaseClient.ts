import { completeRenewal } from "@clementinemux/control/completeRenewal";
import type { ConfigPart } from "@clementinemux/messages/ConfigPart";
import type { FetchConfigRequest } from "@clementinemux/messages/FetchConfigRequest";
import type { RenewRequest } from "@clementinemux/messages/RenewRequest";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { LeaseClient } from "./LeaseClient";
import type { RelayCaller } from "./RelayCaller";

/** Renews the serving lease through the relays. */
export class RpcLeaseClient implements LeaseClient {
  readonly #relays: RelayCaller;
  readonly #timeoutMs: number;
  #isFetching = false;

  constructor(relays: RelayCaller, timeoutMs: number) {
    this.#relays = relays;
    this.#timeoutMs = timeoutMs;
  }

  async renew(request: RenewRequest): Promise<RenewResponse | null> {
    const reply = await this.#relays.call(MessageName.Renew, request, this.#timeoutMs);
    if (reply === null) {
      return null;
    }
    const response = reply.body as RenewResponse;
    // A fetch may take longer than the renewal interval. A concurrent second one would only slow it down.
    if (response.inParts !== true || this.#isFetching) {
      return response;
    }
    this.#isFetching = true;
    try {
      return await completeRenewal(response, (part) => this.#fetchPart(part));
    } finally {
      this.#isFetching = false;
    }
  }

  async #fetchPart(request: FetchConfigRequest): Promise<ConfigPart | null> {
    const response = await this.#relays.call(MessageName.FetchConfig, request, this.#timeoutMs);
    return response === null ? null : (response.body as ConfigPart);
  }
}
