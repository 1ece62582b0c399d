import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "@clementinemux/common/Clock";
import { collectBody } from "@clementinemux/wire/collectBody";
import { AgentRefusal } from "./AgentRefusal";
import type { OrderGate } from "./OrderGate";
import type { OrderRequest } from "./OrderRequest";
import type { TargetClient } from "./TargetClient";
import { parseOrder } from "./parseOrder";

interface OrderQueueOptions {
  readonly gate: OrderGate;
  readonly client: TargetClient;
  /** Path on which the target accepts orders. */
  readonly path: string;
  readonly clock: Clock;
  readonly refuse: (response: ServerResponse, reason: AgentRefusal) => void;
}

const maxOrderBytes = 1_048_576;
const orderTimeoutMs = 10_000;
const fencingHeader = "clementinemux-fencing";

/** Forwards orders to the target one at a time, so that an older order cannot overtake a newer one. */
export class OrderQueue {
  readonly #options: OrderQueueOptions;
  #lastForward: Promise<void> = Promise.resolve();

  constructor(options: OrderQueueOptions) {
    this.#options = options;
  }

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await collectBody(request, maxOrderBytes);
    const order = parseOrder(body.toString("utf8")).extractNullable();
    if (order === null) {
      this.#options.refuse(response, AgentRefusal.OrderMalformed);
      return;
    }
    const forwarded = this.#lastForward.then(() => this.#forward(order, response));
    this.#lastForward = forwarded.catch(() => undefined);
    await forwarded;
  }

  async #forward(order: OrderRequest, response: ServerResponse): Promise<void> {
    const { gate, client, path, clock, refuse } = this.#options;
    // Checked here and not on arrival, since the order may have waited in the queue or for its own body.
    const refusal = gate.admit(order, clock.monotonicMs());
    if (refusal !== null) {
      refuse(response, refusal);
      return;
    }
    const { status, text } = await client.send({
      method: "POST",
      path,
      body: JSON.stringify(order.order),
      headers: { "content-type": "application/json", [fencingHeader]: String(order.epoch) },
      timeoutMs: orderTimeoutMs,
    });
    response.writeHead(status, { "content-type": "application/json" }).end(text);
  }
}
