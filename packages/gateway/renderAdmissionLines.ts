import type { AdmissionLines } from "./AdmissionLines";

/** Renders the length and the longest wait of each queue in the Prometheus text format. */
export function renderAdmissionLines(admissions: AdmissionLines): string {
  const lines = admissions.list();
  const lengths = lines.map(({ service, line }) => ({ service, value: line.size }));
  const ages = lines.map(({ service, line }) => ({ service, value: line.oldestAgeMs / 1000 }));
  return (
    renderByService("clementinemux_gateway_queue_length", lengths) +
    renderByService("clementinemux_gateway_queue_oldest_seconds", ages)
  );
}

function renderByService(name: string, values: readonly { service: string; value: number }[]): string {
  const lines = values.map(({ service, value }) => `${name}{service=${JSON.stringify(service)}} ${value}`);
  return values.length === 0 ? "" : [`# TYPE ${name} gauge`, ...lines, ""].join("\n");
}
