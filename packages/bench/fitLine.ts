interface LinePoint {
  readonly x: number;
  readonly y: number;
}

interface FittedLine {
  /** Change of y per unit of x. */
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square error of the fit. */
  readonly residual: number;
}

/** Fits a line by least squares. The slope is 0 when all points have the same x. */
export function fitLine(points: readonly LinePoint[]): FittedLine {
  const meanX = getMean(points.map(({ x }) => x));
  const meanY = getMean(points.map(({ y }) => y));
  const variance = getMean(points.map(({ x }) => (x - meanX) ** 2));
  const covariance = getMean(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const slope = variance === 0 ? 0 : covariance / variance;
  const intercept = meanY - slope * meanX;
  const residual = Math.sqrt(getMean(points.map(({ x, y }) => (y - intercept - slope * x) ** 2)));
  return { slope, intercept, residual };
}

function getMean(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0) / values.length;
}
