import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { RefusalReason } from "@clementinemux/common/RefusalReason";
import { RequestClass } from "@clementinemux/common/RequestClass";
import { RetryReason } from "@clementinemux/common/RetryReason";
import { Counters } from "@clementinemux/metrics/Counters";
import { renderProcess } from "@clementinemux/metrics/renderProcess";
import { renderCounters } from "@clementinemux/metrics/renderCounters";
import { StreamFault } from "./StreamFault";

type Timing = "first_token" | "token_gap" | "queueing";

const timings: readonly Timing[] = ["first_token", "token_gap", "queueing"];
const quantiles: readonly number[] = [50, 95, 99, 99.9];
// With this range and precision, one histogram takes about 90 KB.
const microsecondsPerMs = 1000;
const highestMicroseconds = 600_000_000;

/** Counters and histograms of an entry. */
export class EntryMetrics {
  readonly refusals = new Counters("clementinemux_refusals_total", "reason", Object.values(RefusalReason));
  readonly retries = new Counters("clementinemux_retries_total", "reason", Object.values(RetryReason));
  readonly streamFaults = new Counters(
    "clementinemux_stream_faults_total",
    "fault",
    Object.values(StreamFault),
  );
  readonly #histograms = new Map<string, Histogram>();
  #tokenCount = 0;

  constructor() {
    for (const requestClass of Object.values(RequestClass)) {
      for (const timing of timings) {
        const histogram = build({
          lowestDiscernibleValue: 1,
          highestTrackableValue: highestMicroseconds,
          numberOfSignificantValueDigits: 2,
        });
        this.#histograms.set(`${timing}/${requestClass}`, histogram);
      }
    }
  }

  addTokens(count: number): void {
    this.#tokenCount += count;
  }

  recordMs(timing: Timing, requestClass: RequestClass, durationMs: number): void {
    const microseconds = Math.min(
      Math.max(Math.round(durationMs * microsecondsPerMs), 0),
      highestMicroseconds,
    );
    this.#histograms.get(`${timing}/${requestClass}`)?.recordValue(microseconds);
  }

  render(inFlightCount: number): string {
    return [
      renderProcess(),
      renderCounters(this.refusals),
      renderCounters(this.retries),
      renderCounters(this.streamFaults),
      ...timings.map((timing) => this.#renderTiming(timing)),
      "# TYPE clementinemux_tokens_total counter",
      `clementinemux_tokens_total ${this.#tokenCount}`,
      "# TYPE clementinemux_requests_in_flight gauge",
      `clementinemux_requests_in_flight ${inFlightCount}`,
      "",
    ].join("\n");
  }

  #renderTiming(timing: Timing): string {
    const name = `clementinemux_${timing}_seconds`;
    const lines = Object.values(RequestClass).flatMap((requestClass) => {
      const histogram = this.#histograms.get(`${timing}/${requestClass}`);
      if (histogram === undefined) {
        return [];
      }
      const toSeconds = (microseconds: number): number => microseconds / 1_000_000;
      return [
        ...quantiles.map((quantile) => {
          const value = toSeconds(histogram.getValueAtPercentile(quantile));
          return `${name}{class="${requestClass}",quantile="${quantile / 100}"} ${value}`;
        }),
        `${name}_sum{class="${requestClass}"} ${toSeconds(histogram.mean * histogram.totalCount) || 0}`,
        `${name}_count{class="${requestClass}"} ${histogram.totalCount}`,
      ];
    });
    return [`# TYPE ${name} summary`, ...lines].join("\n");
  }
}
