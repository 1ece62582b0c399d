import type { CancelClaimRequest } from "@clementinemux/messages/CancelClaimRequest";
import type { ClaimRequest } from "@clementinemux/messages/ClaimRequest";
import type { ClaimResponse } from "@clementinemux/messages/ClaimResponse";
import type { CompleteClaimRequest } from "@clementinemux/messages/CompleteClaimRequest";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { ClaimClient } from "./ClaimClient";
import type { RelayCaller } from "./RelayCaller";

/** Claims through the relays, which pass each message to the leader of the claim's shard. */
export class RpcClaimClient implements ClaimClient {
  readonly #relays: RelayCaller;
  readonly #timeoutMs: number;

  constructor(relays: RelayCaller, timeoutMs: number) {
    this.#relays = relays;
    this.#timeoutMs = timeoutMs;
  }

  async claim(request: ClaimRequest): Promise<ClaimResponse | null> {
    const answer = await this.#relays.call(MessageName.Claim, request, this.#timeoutMs);
    return answer === null ? null : (answer.body as ClaimResponse);
  }

  async complete(request: CompleteClaimRequest): Promise<boolean> {
    return (await this.#relays.call(MessageName.CompleteClaim, request, this.#timeoutMs)) !== null;
  }

  async cancel(request: CancelClaimRequest): Promise<boolean> {
    return (await this.#relays.call(MessageName.CancelClaim, request, this.#timeoutMs)) !== null;
  }
}
