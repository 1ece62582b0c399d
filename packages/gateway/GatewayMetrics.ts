import { Counters } from "@clementinemux/metrics/Counters";
import { TimeHistogram } from "@clementinemux/metrics/TimeHistogram";
import { renderCounters } from "@clementinemux/metrics/renderCounters";
import { RepeatReason } from "./RepeatReason";
import { RequestEnd } from "./RequestEnd";

/** Counters and times of a gateway's requests. */
export class GatewayMetrics {
  readonly ends = new Counters("clementinemux_gateway_ends", "end", Object.values(RequestEnd));
  readonly repeats = new Counters("clementinemux_gateway_repeats", "reason", Object.values(RepeatReason));
  /** From the arrival of a request to the first event of its stream. */
  readonly firstEvents = new TimeHistogram("clementinemux_gateway_first_event_seconds");
  /** From the arrival of a request to its whole answer. */
  readonly answers = new TimeHistogram("clementinemux_gateway_answer_seconds");
  /** Between two events of a stream, as its target sends them. */
  readonly pauses = new TimeHistogram("clementinemux_gateway_pause_seconds");
  /** Longest pause of each stream, as its caller sees it. */
  readonly longestPauses = new TimeHistogram("clementinemux_gateway_longest_pause_seconds");
  /** From the arrival of a request to its sending or refusal. */
  readonly placeWaits = new TimeHistogram("clementinemux_gateway_place_wait_seconds");

  render(): string {
    const times = [this.firstEvents, this.answers, this.pauses, this.longestPauses, this.placeWaits];
    return [
      renderCounters(this.ends),
      renderCounters(this.repeats),
      ...times.map((histogram) => histogram.render()),
    ].join("");
  }
}
