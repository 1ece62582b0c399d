import { setTimeout as sleep } from "node:timers/promises";
import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import { Counters } from "@clementinemux/metrics/Counters";
import { MetricsEndpoint } from "@clementinemux/metrics/MetricsEndpoint";
import { renderCounters } from "@clementinemux/metrics/renderCounters";
import { renderGauges } from "@clementinemux/metrics/renderGauges";
import type { MessageHandler } from "@clementinemux/wire/MessageHandler";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RemoteError } from "@clementinemux/wire/RemoteError";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import { CountEncoder } from "./CountEncoder";
import type { InspectRequest } from "./InspectRequest";
import { InspectionPart } from "./InspectionPart";
import { OrderOutcome } from "./OrderOutcome";
import type { OrderRequest } from "./OrderRequest";
import { OrderPath } from "./OrderPath";
import type { EncodedInspection } from "./EncodedInspection";
import type { PrepareRequest } from "./PrepareRequest";
import { PreparedDigestCache } from "./PreparedDigestCache";
import type { RankClient } from "./RankClient";
import { describeOrder } from "./describeOrder";
import { getOrderOutcome } from "./getOrderOutcome";
import { unpackHosting } from "./unpackHosting";

interface RankerOptions {
  readonly host: string;
  readonly framePort: number;
  /** Port of the metrics page; null for no page. */
  readonly metricsPort: number | null;
  readonly clock: Clock;
  readonly rank: RankClient;
  readonly logger: Logger;
}

/** Less than the timeout of an inspection. A digest that takes longer is reported by the next inspection. */
const maxDigestWaitMs = 60;

/**
 * Sidecar of a rank: reads its counts and forwards orders to it, which is free or cheap only from the rank's
 * own instance.
 */
export class Ranker {
  readonly #options: RankerOptions;
  readonly #server: RpcServer;
  readonly #countEncoder: CountEncoder;
  readonly #preparedDigest: PreparedDigestCache;
  readonly #metricsPage: MetricsEndpoint;
  readonly #orders = new Counters("clementinemux_ranker_orders", "outcome", Object.values(OrderOutcome));
  #inspections = 0;
  #highestTerm = 0;

  constructor(options: RankerOptions) {
    this.#options = options;
    const { host, metricsPort: port, clock, logger } = options;
    this.#countEncoder = new CountEncoder(clock.wallMs());
    this.#preparedDigest = new PreparedDigestCache(options.rank);
    const render = (): string => this.#renderMetrics();
    this.#metricsPage = new MetricsEndpoint({ role: "ranker", host, port, clock, logger, render });
    this.#server = new RpcServer({ handlers: this.#createHandlers() });
  }

  async start(): Promise<void> {
    const { host, framePort, logger } = this.#options;
    await this.#server.reserve(host, framePort, logger);
    this.#server.open();
    await this.#metricsPage.start();
    logger.info({ address: `${host}:${framePort}` }, "ranker started");
  }

  /** Answers the calls that were read, and rejects further ones; at `endAtMs` of `performance.now()` it is over. */
  drain(endAtMs: number): Promise<void> {
    return this.#server.drain(endAtMs);
  }

  /** Closes the server without draining. */
  async close(): Promise<void> {
    this.#metricsPage.stop();
    await this.#server.close();
  }

  #renderMetrics(): string {
    const gauges = {
      clementinemux_ranker_term: this.#highestTerm,
      clementinemux_ranker_inspections: this.#inspections,
    };
    return renderCounters(this.#orders) + renderGauges(gauges);
  }

  #createHandlers(): Record<string, MessageHandler> {
    return {
      [MessageName.InspectRank]: (body) => this.#inspect(body as InspectRequest),
      [MessageName.OrderRank]: (body) => this.#order(body as OrderRequest),
      [MessageName.PrepareRank]: (body) => {
        const { fence, order, packedHosting } = body as PrepareRequest;
        return this.#order({ fence, order: { ...order, hosting: unpackHosting(packedHosting) } });
      },
    };
  }

  async #inspect(request: InspectRequest): Promise<EncodedInspection | null> {
    const { fence, part, countsHeld, acceptsDeflated = false } = request;
    this.#rejectOlderTerm(fence);
    this.#inspections += 1;
    const inspection = await this.#options.rank.inspect(part === InspectionPart.Experts);
    if (inspection === null) {
      return null;
    }
    const counts =
      part === InspectionPart.Counts
        ? this.#countEncoder.encode(inspection.counts, countsHeld, acceptsDeflated)
        : null;
    const digest = this.#preparedDigest.read(inspection.state);
    const preparedDigest = await Promise.race([digest, sleep(maxDigestWaitMs, null)]);
    return { ...inspection, counts, preparedDigest };
  }

  async #order({ fence, order }: OrderRequest): Promise<boolean | null> {
    const term = FencingTokens.getTerm(fence);
    this.#rejectOlderTerm(term);
    const isConfirmed = await this.#options.rank.order(order, fence);
    this.#orders.add(getOrderOutcome(isConfirmed));
    const line = { ...describeOrder(order), term, fence, way: OrderPath.Ranker, isConfirmed };
    this.#options.logger.info(line, "order given");
    return isConfirmed;
  }

  /** Rejects requests of a leader that has been replaced, once its successor has sent a request. */
  #rejectOlderTerm(term: number): void {
    if (term < this.#highestTerm) {
      throw new RemoteError("deposed", `a leader of term ${this.#highestTerm} has taken over`);
    }
    this.#highestTerm = term;
  }
}
