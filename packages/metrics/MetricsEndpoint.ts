import type { Server } from "node:http";
import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import { LoopDelayMeter } from "./LoopDelayMeter";
import { renderProcess } from "./renderProcess";
import { serveMetrics } from "./serveMetrics";

const retryMs = 1000;

interface MetricsPageOptions {
  /** Role of the process; part of the name of the event loop delay metric. */
  readonly role: string;
  readonly host: string;
  /** Port of the endpoint; null disables it. */
  readonly port: number | null;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Renders the metrics other than the event loop delay. */
  readonly render: () => string;
}

/** Metrics endpoint of a process, which includes the delay of its event loop. */
export class MetricsEndpoint {
  readonly #options: MetricsPageOptions;
  readonly #loopDelay: LoopDelayMeter;
  #server: Server | null = null;
  #retry: NodeJS.Timeout | null = null;

  constructor(options: MetricsPageOptions) {
    this.#options = options;
    this.#loopDelay = new LoopDelayMeter(`clementinemux_${options.role}_loop_delay_seconds`, options.clock);
  }

  /** Resolves after the first attempt to listen. While that fails, others follow; the process serves without metrics. */
  async start(): Promise<void> {
    const { port } = this.#options;
    if (port !== null) {
      this.#loopDelay.start();
      await this.#listen(port, true);
    }
  }

  async #listen(port: number, isFirst: boolean): Promise<void> {
    const { host, render, logger } = this.#options;
    try {
      this.#server = await serveMetrics({
        host,
        port,
        render: () => renderProcess() + render() + this.#loopDelay.histogram.render(),
      });
    } catch (error) {
      if (isFirst) {
        logger.warn(
          { address: `${host}:${port}`, error: String(error) },
          "no metrics until the port is free",
        );
      }
      this.#retry = setTimeout(() => void this.#listen(port, false), retryMs);
      this.#retry.unref();
    }
  }

  stop(): void {
    clearTimeout(this.#retry ?? undefined);
    this.#server?.close();
    this.#loopDelay.stop();
  }
}
