interface LineChart {
  readonly title: string;
  readonly series: readonly { readonly name: string; readonly values: readonly number[] }[];
  /** Values at the lower and upper edge; values outside are drawn at the edge. */
  readonly range: readonly [least: number, most: number];
  readonly ticks: readonly number[];
  /** Labels on the x axis, from left to right. */
  readonly labels?: readonly string[];
}

const width = 960;
const height = 360;
const margin = 40;
const nameWidth = 110;
const colours = ["#888888", "#c0392b", "#e67e22", "#2471a3", "#27ae60", "#8e44ad"];

/** Renders series of equally spaced values as an SVG line chart. */
export function renderLineChart({ title, series, range, ticks, labels = [] }: LineChart): string {
  const axis = ticks.map((tick) => {
    const y = getY(tick, range);
    return `<text x="4" y="${y}">${tick}</text><line x1="${margin}" x2="${width - margin}" y1="${y}" y2="${y}" stroke="#dddddd"/>`;
  });
  const lines = series.map(({ values }, index) => {
    const points = values.map((value, at) => `${getX(at, values.length)},${getY(value, range)}`);
    return `<polyline fill="none" stroke="${getColour(index)}" stroke-width="1.5" points="${points.join(" ")}"/>`;
  });
  const names = series.map(
    ({ name }, index) =>
      `<text x="${margin + index * nameWidth}" y="20" fill="${getColour(index)}">${name}</text>`,
  );
  const marks = labels.map(
    (label, at) => `<text x="${getX(at, labels.length)}" y="${height - margin / 2}">${label}</text>`,
  );
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">`,
    `<title>${title}</title>`,
    ...axis,
    ...lines,
    ...names,
    ...marks,
    "</svg>",
  ].join("\n");
}

function getColour(index: number): string {
  return colours[index] ?? "#000000";
}

function getX(at: number, count: number): string {
  return (margin + (at / Math.max(1, count - 1)) * (width - 2 * margin)).toFixed(1);
}

function getY(value: number, [least, most]: readonly [number, number]): string {
  const share = (Math.min(most, Math.max(least, value)) - least) / (most - least);
  return (height - margin - share * (height - 2 * margin)).toFixed(1);
}
