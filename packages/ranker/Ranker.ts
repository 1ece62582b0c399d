import type { Logger } from "roarr";
import type { MessageHandler } from "@clementinemux/wire/MessageHandler";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RemoteError } from "@clementinemux/wire/RemoteError";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import type { InspectRequest } from "./InspectRequest";
import type { OrderRequest } from "./OrderRequest";
import type { RankClient } from "./RankClient";
import type { RankInspection } from "./RankInspection";

interface RankerOptions {
  readonly host: string;
  readonly framePort: number;
  readonly rank: RankClient;
  readonly logger: Logger;
}

/** Process beside a rank: reads its counts and gives it orders, which is free or cheap only from its own machine. */
export class Ranker {
  readonly #options: RankerOptions;
  readonly #server: RpcServer;
  #highestFence = 0;

  constructor(options: RankerOptions) {
    this.#options = options;
    this.#server = new RpcServer({ handlers: this.#createHandlers() });
  }

  async start(): Promise<void> {
    const { host, framePort, logger } = this.#options;
    await this.#server.listen(host, framePort);
    logger.info({ address: `${host}:${framePort}` }, "ranker started");
  }

  #createHandlers(): Record<string, MessageHandler> {
    return {
      [MessageName.InspectRank]: (body) => this.#inspect(body as InspectRequest),
      [MessageName.OrderRank]: (body) => this.#order(body as OrderRequest),
    };
  }

  #inspect({ fence, withExperts }: InspectRequest): Promise<RankInspection | null> {
    this.#check(fence);
    return this.#options.rank.inspect(withExperts);
  }

  async #order({ fence, order }: OrderRequest): Promise<boolean | null> {
    this.#check(fence);
    const isConfirmed = await this.#options.rank.order(order, fence);
    const { kind, rank, epoch } = order;
    this.#options.logger.info({ kind, rank, epoch, fence, isConfirmed }, "order given");
    return isConfirmed;
  }

  /** A lead that was deposed must not order anything after its successor has begun to. */
  #check(fence: number): void {
    if (fence < this.#highestFence) {
      throw new RemoteError("deposed", `a lead of term ${this.#highestFence} is at work`);
    }
    this.#highestFence = fence;
  }
}
