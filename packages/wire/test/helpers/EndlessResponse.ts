/** Response that never ends. */
export interface EndlessResponse {
  /** First bytes of the response, with these header lines where it gets to any. */
  readonly first: (fields: string) => string;
  /** Written repeatedly at full speed. */
  readonly full: string;
  /** Written repeatedly at intervals. */
  readonly slow: string;
  /** Whether the endless part is one event of a stream. */
  readonly isOneEvent?: boolean;
}
