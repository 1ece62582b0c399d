/** A field that differs between two values; undefined where it is absent. */
export interface ValueDifference {
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}
