/** A quantity measured at several sizes, and the line fitted to the points. */
export interface Slope {
  readonly name: string;
  /** Unit of y per unit of x. */
  readonly unit: string;
  readonly points: readonly { readonly x: number; readonly y: number }[];
  readonly slope: number;
  readonly intercept: number;
  readonly residual: number;
}
