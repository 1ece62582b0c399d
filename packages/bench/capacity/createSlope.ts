import { fitLine } from "../fitLine";
import type { Slope } from "./Slope";

/** Measures a quantity at each size and fits a line to the points. */
export function createSlope(
  name: string,
  unit: string,
  sizes: readonly number[],
  measure: (size: number) => number,
): Slope {
  const points = sizes.map((x) => ({ x, y: measure(x) }));
  return { name, unit, points, ...fitLine(points) };
}
