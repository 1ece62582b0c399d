const name = "clementinemux_gateway_remaining_work_seconds";
const msPerS = 1000;

/** Renders the remaining work of targets, in ms, in Prometheus text format. */
export function renderTargetWork(workMs: Iterable<readonly [string, number]>): string {
  const lines = Array.from(workMs, ([id, leftMs]) => {
    const label = id.replaceAll("\\", "\\\\").replaceAll('"', '\\"');
    return `${name}{target="${label}"} ${leftMs / msPerS}\n`;
  });
  return lines.length === 0 ? "" : `# TYPE ${name} gauge\n${lines.join("")}`;
}
