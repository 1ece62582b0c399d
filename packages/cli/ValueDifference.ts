/** Field that differs between two values; a side without the field is undefined. */
export interface ValueDifference {
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}
