/** Renders gauges in Prometheus text format; a gauge without a value is omitted. */
export function renderGauges(gauges: Readonly<Record<string, number | null>>): string {
  return Object.entries(gauges)
    .filter(([, value]) => value !== null)
    .map(([name, value]) => `# TYPE ${name} gauge\n${name} ${value === Infinity ? "+Inf" : value}\n`)
    .join("");
}
