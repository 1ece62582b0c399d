import type { Server } from "node:http";
import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import { Counters } from "@clementinemux/metrics/Counters";
import { LoopDelayMeter } from "@clementinemux/metrics/LoopDelayMeter";
import { renderCounters } from "@clementinemux/metrics/renderCounters";
import { renderGauges } from "@clementinemux/metrics/renderGauges";
import { serveMetrics } from "@clementinemux/metrics/serveMetrics";
import type { MessageHandler } from "@clementinemux/wire/MessageHandler";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RemoteError } from "@clementinemux/wire/RemoteError";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import type { InspectRequest } from "./InspectRequest";
import { OrderOutcome } from "./OrderOutcome";
import type { OrderRequest } from "./OrderRequest";
import type { RankClient } from "./RankClient";
import type { RankInspection } from "./RankInspection";
import { getOrderOutcome } from "./getOrderOutcome";

interface RankerOptions {
  readonly host: string;
  readonly framePort: number;
  /** Port of the metrics page; null serves none. */
  readonly metricsPort: number | null;
  readonly clock: Clock;
  readonly rank: RankClient;
  readonly logger: Logger;
}

/** Process beside a rank: reads its counts and gives it orders, which is free or cheap only from its own machine. */
export class Ranker {
  readonly #options: RankerOptions;
  readonly #server: RpcServer;
  readonly #orders = new Counters("clementinemux_ranker_orders", "outcome", Object.values(OrderOutcome));
  #metricsServer: Server | null = null;
  #loopDelay: LoopDelayMeter | null = null;
  #inspections = 0;
  #highestFence = 0;

  constructor(options: RankerOptions) {
    this.#options = options;
    this.#server = new RpcServer({ handlers: this.#createHandlers() });
  }

  async start(): Promise<void> {
    const { host, framePort, metricsPort, clock, logger } = this.#options;
    await this.#server.listen(host, framePort);
    if (metricsPort !== null) {
      this.#loopDelay = new LoopDelayMeter("clementinemux_ranker_loop_delay_seconds", clock);
      this.#loopDelay.start();
      const render = (): string => this.#renderMetrics();
      this.#metricsServer = await serveMetrics({ host, port: metricsPort, render });
    }
    logger.info({ address: `${host}:${framePort}` }, "ranker started");
  }

  /** Ends everything at once. */
  async close(): Promise<void> {
    this.#metricsServer?.close();
    this.#loopDelay?.stop();
    await this.#server.close();
  }

  #renderMetrics(): string {
    const gauges = {
      clementinemux_ranker_fence: this.#highestFence,
      clementinemux_ranker_inspections: this.#inspections,
    };
    const loopDelay = this.#loopDelay?.histogram.render() ?? "";
    return renderCounters(this.#orders) + renderGauges(gauges) + loopDelay;
  }

  #createHandlers(): Record<string, MessageHandler> {
    return {
      [MessageName.InspectRank]: (body) => this.#inspect(body as InspectRequest),
      [MessageName.OrderRank]: (body) => this.#order(body as OrderRequest),
    };
  }

  #inspect({ fence, withExperts }: InspectRequest): Promise<RankInspection | null> {
    this.#check(fence);
    this.#inspections += 1;
    return this.#options.rank.inspect(withExperts);
  }

  async #order({ fence, order }: OrderRequest): Promise<boolean | null> {
    this.#check(fence);
    const isConfirmed = await this.#options.rank.order(order, fence);
    this.#orders.add(getOrderOutcome(isConfirmed));
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
