import { Counters } from "@clementinemux/metrics/Counters";
import { TimeHistogram } from "@clementinemux/metrics/TimeHistogram";
import { renderCounters } from "@clementinemux/metrics/renderCounters";
import { ConnectionCloseReason } from "@clementinemux/wire/ConnectionCloseReason";
import { AttemptRetryReason } from "./AttemptRetryReason";
import { PermitOutcome } from "./PermitOutcome";
import { RequestOutcome } from "./RequestOutcome";

/** Counters and histograms of a gateway's requests. */
export class GatewayMetrics {
  readonly outcomes = new Counters("clementinemux_gateway_ends", "end", Object.values(RequestOutcome));
  readonly retries = new Counters(
    "clementinemux_gateway_repeats",
    "reason",
    Object.values(AttemptRetryReason),
  );
  readonly permits = new Counters("clementinemux_gateway_permits", "outcome", Object.values(PermitOutcome));
  /** Connections of callers and health checks that were closed because of a limit. */
  readonly closedConnections = new Counters(
    "clementinemux_gateway_closed_connections",
    "reason",
    Object.values(ConnectionCloseReason),
  );
  /** From the arrival of a request to the first event of its stream. */
  readonly firstEvents = new TimeHistogram("clementinemux_gateway_first_event_seconds");
  /** From the arrival of a request to its complete response. */
  readonly responses = new TimeHistogram("clementinemux_gateway_answer_seconds");
  /** Between two events of a stream, as they arrive from the target. */
  readonly pauses = new TimeHistogram("clementinemux_gateway_pause_seconds");
  /** Longest pause of each stream, as seen by its caller. */
  readonly longestPauses = new TimeHistogram("clementinemux_gateway_longest_pause_seconds");
  /** From the arrival of a request to the first send to a target. */
  readonly slotWaits = new TimeHistogram("clementinemux_gateway_place_wait_seconds");

  render(): string {
    const times = [this.firstEvents, this.responses, this.pauses, this.longestPauses, this.slotWaits];
    return [
      renderCounters(this.outcomes),
      renderCounters(this.retries),
      renderCounters(this.permits),
      renderCounters(this.closedConnections),
      ...times.map((histogram) => histogram.render()),
    ].join("");
  }
}
