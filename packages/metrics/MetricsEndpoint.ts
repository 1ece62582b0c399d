import type { Server } from "node:http";
import type { Clock } from "@clementinemux/common/Clock";
import { LoopDelayMeter } from "./LoopDelayMeter";
import { renderProcess } from "./renderProcess";
import { serveMetrics } from "./serveMetrics";

interface MetricsPageOptions {
  /** Role of the process; part of the name of the event loop delay metric. */
  readonly role: string;
  readonly host: string;
  /** Port of the endpoint; null disables it. */
  readonly port: number | null;
  readonly clock: Clock;
  /** Renders the metrics other than the event loop delay. */
  readonly render: () => string;
}

/** Metrics endpoint of a process, which includes the delay of its event loop. */
export class MetricsEndpoint {
  readonly #options: MetricsPageOptions;
  readonly #loopDelay: LoopDelayMeter;
  #server: Server | null = null;

  constructor(options: MetricsPageOptions) {
    this.#options = options;
    this.#loopDelay = new LoopDelayMeter(`clementinemux_${options.role}_loop_delay_seconds`, options.clock);
  }

  /** Rejects when the server cannot listen on the address. */
  async start(): Promise<void> {
    const { host, port, render } = this.#options;
    if (port !== null) {
      this.#server = await serveMetrics({
        host,
        port,
        render: () => renderProcess() + render() + this.#loopDelay.histogram.render(),
      });
      this.#loopDelay.start();
    }
  }

  stop(): void {
    this.#server?.close();
    this.#loopDelay.stop();
  }
}
