import { Counters } from "@clementinemux/metrics/Counters";
import { TimeHistogram } from "@clementinemux/metrics/TimeHistogram";
import { renderCounters } from "@clementinemux/metrics/renderCounters";
import { ConnectionCloseReason } from "@clementinemux/wire/ConnectionCloseReason";
import { AttemptRetryReason } from "./AttemptRetryReason";
import { CallFailure } from "./CallFailure";
import { ColdPermitOutcome } from "./ColdPermitOutcome";
import { PermitOutcome } from "./PermitOutcome";
import { QueueEnd } from "./QueueEnd";
import { ReceivedUnit } from "./ReceivedUnit";
import { RequestOutcome } from "./RequestOutcome";
import { WorkError } from "./WorkError";

/** Counters and histograms of a gateway's requests. */
export class GatewayMetrics {
  readonly outcomes = new Counters("clementinemux_gateway_ends", "end", Object.values(RequestOutcome));
  readonly retries = new Counters(
    "clementinemux_gateway_repeats",
    "reason",
    Object.values(AttemptRetryReason),
  );
  /** Attempts that ended without a usable response. */
  readonly failedAttempts = new Counters(
    "clementinemux_gateway_failed_attempts",
    "failure",
    Object.values(CallFailure),
  );
  /** Responses of targets, as they arrive: a faulty target may send many small pieces. */
  readonly received = new Counters("clementinemux_gateway_received", "unit", Object.values(ReceivedUnit));
  readonly permits = new Counters("clementinemux_gateway_permits", "outcome", Object.values(PermitOutcome));
  /** Those of the permits that were asked for cold targets. */
  readonly coldPermits = new Counters(
    "clementinemux_gateway_cold_permits",
    "outcome",
    Object.values(ColdPermitOutcome),
  );
  /** How requests left the queue of their service, by priority. */
  readonly #queueEnds = new Map<QueueEnd, Counters<string>>(
    Object.values(QueueEnd).map((end) => [
      end,
      new Counters(`clementinemux_gateway_queue_${end}`, "priority", ["0", "1", "2"]),
    ]),
  );
  /** Completed requests by how their work compares with what was expected. */
  readonly workErrors = new Counters("clementinemux_gateway_work_errors", "error", Object.values(WorkError));
  /** Work of completed requests, in the target's time, as expected when they were sent and as it was. */
  readonly expectedWork = new TimeHistogram("clementinemux_gateway_expected_work_seconds");
  readonly actualWork = new TimeHistogram("clementinemux_gateway_actual_work_seconds");
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

  noteQueueEnd(end: QueueEnd, priority: number): void {
    this.#queueEnds.get(end)?.add(String(priority));
  }

  render(): string {
    const times = [
      ...[this.firstEvents, this.responses, this.pauses, this.longestPauses, this.slotWaits],
      ...[this.expectedWork, this.actualWork],
    ];
    return [
      renderCounters(this.outcomes),
      renderCounters(this.retries),
      renderCounters(this.failedAttempts),
      renderCounters(this.received),
      renderCounters(this.permits),
      renderCounters(this.coldPermits),
      ...[...this.#queueEnds.values()].map(renderCounters),
      renderCounters(this.workErrors),
      renderCounters(this.closedConnections),
      ...times.map((histogram) => histogram.render()),
    ].join("");
  }
}
