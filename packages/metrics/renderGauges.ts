/** Renders gauges in Prometheus text form; one without a value is left out. */
export function renderGauges(gauges: Readonly<Record<string, number | null>>): string {
  return Object.entries(gauges)
    .filter(([, value]) => value !== null)
    .map(([name, value]) => `# TYPE ${name} gauge\n${name} ${value === Infinity ? "+Inf" : value}\n`)
    .join("");
}
