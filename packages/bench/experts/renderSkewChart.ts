import type { PolicyResult } from "./PolicyResult";

const width = 960;
const height = 360;
const margin = 40;
// Higher values are drawn at the edge, so that the differences near the bound stay visible.
const maxSkew = 2;
const colours = ["#888888", "#c0392b", "#e67e22", "#2471a3", "#27ae60", "#8e44ad"];

function renderLine(values: readonly number[], colour: string): string {
  const points = values.map((skew, index) => {
    const x = margin + (index / Math.max(1, values.length - 1)) * (width - 2 * margin);
    const share = (Math.min(maxSkew, skew) - 1) / (maxSkew - 1);
    return `${x.toFixed(1)},${(height - margin - share * (height - 2 * margin)).toFixed(1)}`;
  });
  return `<polyline fill="none" stroke="${colour}" stroke-width="1.5" points="${points.join(" ")}"/>`;
}

/** Draws the skew of each policy over the day as SVG. */
export function renderSkewChart(title: string, policies: readonly PolicyResult[]): string {
  const lines = policies.map(({ skewSeries }, index) => renderLine(skewSeries, colours[index] ?? "#000000"));
  const labels = policies.map(
    ({ policy }, index) =>
      `<text x="${margin + index * 110}" y="20" fill="${colours[index] ?? "#000000"}">${policy}</text>`,
  );
  const axis = [1, 1.25, 1.5, 1.75, 2].map((skew) => {
    const y = height - margin - ((skew - 1) / (maxSkew - 1)) * (height - 2 * margin);
    return `<text x="4" y="${y}">${skew}</text><line x1="${margin}" x2="${width - margin}" y1="${y}" y2="${y}" stroke="#dddddd"/>`;
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">`,
    `<title>${title}: skew over 24 hours</title>`,
    ...axis,
    ...lines,
    ...labels,
    "</svg>",
  ].join("\n");
}
