import { renderLabeledGauge } from "@clementinemux/metrics/renderLabeledGauge";
import type { AdmissionQueues } from "./AdmissionQueues";

const msPerS = 1000;

/** Renders the length and the longest wait of each queue in the Prometheus text format. */
export function renderAdmissionQueues(admissions: AdmissionQueues): string {
  const queues = admissions.list();
  const lengths = queues.map(({ service, queue }) => [service, queue.size] as const);
  const agesS = queues.map(({ service, queue }) => [service, queue.oldestAgeMs / msPerS] as const);
  return (
    renderLabeledGauge("clementinemux_gateway_queue_length", "service", lengths) +
    renderLabeledGauge("clementinemux_gateway_queue_oldest_seconds", "service", agesS)
  );
}
