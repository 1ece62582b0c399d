interface LinePoint {
  readonly x: number;
  readonly y: number;
}

interface FittedLine {
  /** Change of y for each unit of x. */
  readonly slope: number;
  readonly intercept: number;
  /** Root of the mean square distance of the points from the line. */
  readonly residual: number;
}

/** Least squares line through the points. The slope is 0 when all points have the same x. */
export function fitLine(points: readonly LinePoint[]): FittedLine {
  const meanX = getMean(points.map(({ x }) => x));
  const meanY = getMean(points.map(({ y }) => y));
  const spread = getMean(points.map(({ x }) => (x - meanX) ** 2));
  const joint = getMean(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const slope = spread === 0 ? 0 : joint / spread;
  const intercept = meanY - slope * meanX;
  const residual = Math.sqrt(getMean(points.map(({ x, y }) => (y - intercept - slope * x) ** 2)));
  return { slope, intercept, residual };
}

function getMean(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0) / values.length;
}
