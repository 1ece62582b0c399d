import type { AdmissionQueues } from "./AdmissionQueues";

/** Renders the length and the longest wait of each queue in the Prometheus text format. */
export function renderAdmissionQueues(admissions: AdmissionQueues): string {
  const queues = admissions.list();
  const lengths = queues.map(({ service, queue }) => ({ service, value: queue.size }));
  const ages = queues.map(({ service, queue }) => ({ service, value: queue.oldestAgeMs / 1000 }));
  return (
    renderByService("clementinemux_gateway_queue_length", lengths) +
    renderByService("clementinemux_gateway_queue_oldest_seconds", ages)
  );
}

function renderByService(name: string, values: readonly { service: string; value: number }[]): string {
  const lines = values.map(({ service, value }) => `${name}{service=${JSON.stringify(service)}} ${value}`);
  return values.length === 0 ? "" : [`# TYPE ${name} gauge`, ...lines, ""].join("\n");
}
