/** Answer of a non-repeatable request, kept for resends. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}
